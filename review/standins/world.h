#ifndef CELERYBEAM_REVIEW_STANDINS_WORLD_H
#define CELERYBEAM_REVIEW_STANDINS_WORLD_H

#include <chrono>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

#include "relay/httpserver.h"

namespace celerybeam::review {

using nlohmann::json;

/// Writes record.txt: what was sent, answered and run, with the milliseconds
/// since the start.
class Record {
public:
  explicit Record(const std::string &Path);

  void add(const std::string &Line);
  std::int64_t millis() const;

private:
  std::ofstream Out_;
  std::chrono::steady_clock::time_point Start_;
};

/// The platform's key-value store by its published protocol: keys, pages,
/// watches, transactions and leases. Leases end only when asked.
class Store {
public:
  Store(EventLoop &Loop, const std::string &Ip);

  std::string address() const { return Server_.address().str(); }
  /// Writes as the operator or a server does.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);

  /// Takes the copy from which the store will come back.
  void takeCopy();
  /// Goes away: calls get 503, and watches end.
  void goAway();
  /// Comes back, if Older from the copy. What was written since then is gone,
  /// leases too, its revisions are given out again, and the era rises.
  void comeBack(bool Older);

private:
  struct Item {
    std::string Value;
    std::uint64_t At = 0;
    std::uint64_t Lease = 0;
    bool Removed = false;
  };
  struct Watcher {
    std::string Prefix;
    std::uint64_t After = 0;
    std::shared_ptr<HttpExchange> Answer;
  };

  /// What a copy holds.
  struct State {
    std::map<std::string, Item> Items;
    std::vector<std::pair<std::string, Item>> History;
    std::set<std::uint64_t> Leases;
    std::uint64_t Revision = 1;
  };

  void respond(HttpExchange &Answer, unsigned Status, const json &Body) const;
  void serve(const HttpServerRequest &Request,
             const std::shared_ptr<HttpExchange> &Answer);
  void range(const std::string &Target, HttpExchange &Answer);
  void watch(const std::string &Target,
             const std::shared_ptr<HttpExchange> &Answer);
  void transact(const std::string &Body, HttpExchange &Answer);
  void endLease(std::uint64_t Lease, HttpExchange &Answer);
  void change(const std::string &Key, Item What);
  bool answerWatcher(const Watcher &W, bool Always);

  Runtime Time_;
  HttpServer Server_;
  State Now_;
  State Copy_;
  std::list<Watcher> Watchers_;
  std::uint64_t LastLease_ = 0;
  std::uint64_t Era_ = 1;
  bool Away_ = false;
};

/// A gateway process with the settings of an entry host. Killed with this
/// object.
class Gateway {
public:
  Gateway(std::string Name, std::string Ip, std::string Region,
          const std::string &StoreAddress,
          const std::vector<std::string> &Seeds, const std::string &Folder);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  void signal(int Number) const;
  bool hasEnded();
  const std::string &ip() const { return Ip_; }
  const std::string &name() const { return Name_; }
  const std::string &region() const { return Region_; }
  std::string callers() const;
  std::string ready() const;

private:
  std::string Name_;
  std::string Ip_;
  std::string Region_;
  pid_t Process_ = 0;
  bool Ended_ = false;
};

/// A complete answer, or the end of a call without one.
struct Reply {
  bool Whole = false;
  unsigned Status = 0;
  std::string Stamp;
  std::string Body;
};

/// Sends one request on a connection of its own.
void call(EventLoop &Loop, const std::string &Address, const std::string &Bytes,
          Duration Timeout, std::function<void(const Reply &)> Done);

/// A server of a plain service. Runs each request that names it, and answers
/// with its receipt and id. Registers itself in the store.
class AppServer {
public:
  /// How a run goes.
  struct Run {
    Duration Takes{};
    /// 500: the server's own failure, which counts as run.
    unsigned Status = 200;
  };
  /// Called when a request begins to run.
  using RunHook = std::function<Run(const std::string &Id)>;

  AppServer(EventLoop &Loop, Store &Platform, std::string Id,
            std::string Service, const std::string &Region,
            const std::string &Ip, RunHook Begin);

private:
  void serve(const HttpServerRequest &Request,
             const std::shared_ptr<HttpExchange> &Answer);

  EventLoop &Loop_;
  std::string Id_;
  std::string Service_;
  RunHook Begin_;
  unsigned Busy_ = 0;
  HttpServer Server_;
};

/// A row of the operator's config; its limits and services as in the sites.
json routeRow(const std::string &Name, const std::string &Prefix,
              const std::string &Kind, const std::string &Service,
              unsigned MaxAttempts);
json configOf(unsigned Version, const json &Routes,
              const std::vector<std::string> &Services);

/// What all stand-ins of one run share.
class World {
public:
  /// \param Folder  for settings and logs of the processes.
  World(const std::string &RecordPath, std::string Folder);

  /// A loopback address that only this run uses. \param Number  1 to 250.
  std::string ip(unsigned Number) const;
  Gateway &start(const std::string &Name, unsigned Number,
                 const std::string &Region);
  /// Runs the loop for so long, or until something holds.
  void runFor(Duration Span);
  bool runUntil(const std::function<bool()> &Holds, Duration AtMost);
  /// Waits until all processes say that they are ready.
  bool waitReady();

  EventLoop Loop;
  Record Log;
  Store Platform;
  std::vector<std::unique_ptr<Gateway>> Gateways;

private:
  std::string Folder_;
};

} // namespace celerybeam::review

#endif
