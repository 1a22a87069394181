#ifndef CELERYBEAM_REVIEW_STORE_H
#define CELERYBEAM_REVIEW_STORE_H

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "relay/httpserver.h"

namespace review {

/// The platform's metadata store, as PROTOCOL.md describes it: items with
/// revisions, ranges, watches, conditions and leases. It never fails here.
class Store {
public:
  explicit Store(celerybeam::EventLoop &Loop, const std::string &Address);

  /// Writes or removes an item as the operator or a runner does.
  void put(const std::string &Key, const std::string &Value,
           std::uint64_t Lease = 0);
  void remove(const std::string &Key);
  std::uint64_t revision() const { return Revision_; }
  /// Cuts the link between the hosts and the store: what they send gets no
  /// answer. At its end their channels are reset.
  void setCut(bool Cut);

private:
  using Exchange = std::shared_ptr<celerybeam::HttpExchange>;
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Event {
    std::uint64_t Revision = 0;
    std::string Key;
    nlohmann::json Body;
  };
  struct Lease {
    celerybeam::TimePoint EndsAt{};
    celerybeam::Duration Span{};
  };
  struct Watcher {
    std::string Prefix;
    std::uint64_t After = 0;
    celerybeam::TimePoint Until{};
    Exchange Answer;
  };

  void serve(const celerybeam::HttpServerRequest &Request,
             const Exchange &Answer);
  void range(const std::string &Target, celerybeam::HttpExchange &Answer);
  void key(const std::string &Target, celerybeam::HttpExchange &Answer);
  void watch(const std::string &Target, const Exchange &Answer);
  void transact(const std::string &Body, celerybeam::HttpExchange &Answer);
  void grant(const std::string &Body, celerybeam::HttpExchange &Answer);
  void keep(std::uint64_t Id, celerybeam::HttpExchange &Answer);
  void endLease(std::uint64_t Id);
  void tick();
  void added(Event E);
  nlohmann::json eventsAfter(const Watcher &W) const;
  nlohmann::json rowOf(const std::string &Key, const Item &Of) const;

  celerybeam::Runtime Time_;
  celerybeam::HttpServer Server_;
  std::map<std::string, Item> Items_;
  std::deque<Event> History_;
  std::list<Watcher> Watchers_;
  std::map<std::uint64_t, Lease> Leases_;
  std::uint64_t Revision_ = 1;
  std::uint64_t LastLease_ = 0;
  bool Cut_ = false;
  /// Calls that came, or were waiting, while the link was cut.
  std::list<Exchange> Lost_;
};

} // namespace review

#endif
