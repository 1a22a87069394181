#ifndef CELERYBEAM_TESTS_GATEWAY_STORESTANDIN_H
#define CELERYBEAM_TESTS_GATEWAY_STORESTANDIN_H

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "relay/httpserver.h"

namespace celerybeam::testing {

/// A small stand-in for the platform's key-value store: keys, prefixes, watches
/// and leases by its published protocol. Leases never end by themselves.
class StoreStandIn {
public:
  explicit StoreStandIn(EventLoop &Loop);

  std::string address() const { return Server_.address().str(); }

  /// Writes as the operator or an endpoint does.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);

  /// Answers all calls with 503 while it is down; watches end at once.
  void setDown(bool Down);

  /// Watches that go on from before now are told that the history is gone.
  void forgetHistory();

  /// The keys under a prefix.
  std::vector<std::string> keys(const std::string &Prefix) const;
  std::uint64_t calls() const { return Calls_; }

private:
  struct Item {
    std::string Value;
    std::uint64_t At = 0;
    bool Removed = false;
  };
  struct Change {
    std::string Key;
    Item What;
  };
  struct Watcher {
    std::string Prefix;
    std::uint64_t After = 0;
    std::shared_ptr<HttpExchange> Answer;
  };

  void serve(const HttpServerRequest &Request,
             const std::shared_ptr<HttpExchange> &Answer);
  void range(const std::string &Target, HttpExchange &Answer);
  void watch(const std::string &Target,
             const std::shared_ptr<HttpExchange> &Answer);
  void transact(const std::string &Body, HttpExchange &Answer);
  void change(const std::string &Key, Item What);
  bool answerWatcher(const Watcher &W, bool Always);

  Runtime Time_;
  HttpServer Server_;
  std::map<std::string, Item> Items_;
  std::vector<Change> History_;
  std::list<Watcher> Watchers_;
  std::uint64_t Revision_ = 1;
  /// Changes up to this revision are forgotten.
  std::uint64_t Forgotten_ = 0;
  std::uint64_t Calls_ = 0;
  bool Down_ = false;
};

} // namespace celerybeam::testing

#endif
