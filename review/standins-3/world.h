#ifndef CELERYBEAM_REVIEW_WORLD_H
#define CELERYBEAM_REVIEW_WORLD_H

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

#include "relay/httpcaller.h"
#include "store.h"

namespace review {

/// A place with one entry host and some runners of one service.
struct Place {
  std::string Region;
  std::string Zone;
  std::string HostIp;
};

/// One call of a client, as the client and the runners saw it.
struct CallRecord {
  std::string Id;
  std::string What;
  celerybeam::TimePoint Sent{};
  celerybeam::TimePoint Ended{};
  /// 0 while there is no whole answer.
  unsigned Status = 0;
  bool Whole = false;
  std::vector<celerybeam::TimePoint> Runs;
};

/// A small deployment on loopback addresses: the store and the clients in this
/// process; entry hosts and runners in processes of their own.
class World {
public:
  /// \param Arguments  those of main: a runner is this program again.
  /// \param OneZone  whether there are two hosts in one zone, in place of one
  /// in each of three regions.
  World(celerybeam::EventLoop &Loop, char **Arguments, bool OneZone = false);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  /// Whether the disruption of the case is to happen.
  static bool hasTrouble();

  const std::vector<Place> &places() const { return Places_; }
  Store &store() { return *Store_; }

  void startHost(std::size_t Index);
  void killHost(std::size_t Index);
  /// Starts a runner of a service; it gets a new id and entry. When it ends by
  /// itself, its entry lapses after three heartbeats, and it starts again after
  /// some seconds with a new id.
  void addRunner(const std::string &Service, std::size_t PlaceIndex);

  /// Sends a request of a client on a new connection.
  void call(std::size_t HostIndex, const std::string &Method,
            const std::string &HostName, const std::string &Target,
            celerybeam::HttpFields Fields, const std::string &What);
  /// Whether a host says that it is ready.
  void askReady(std::size_t Index, std::function<void(bool)> Then);
  /// Calls Then once all hosts are ready, or stops with exit code 2.
  void whenReady(const std::function<void()> &Then);

  /// Reads what the runners have noted, and returns all calls by id.
  std::map<std::string, CallRecord> &results();
  /// Ids that ran and that no client sent.
  const std::set<std::string> &unknownRuns() const { return UnknownRuns_; }

  celerybeam::Runtime Time;
  std::ofstream Record;
  /// Time since the start of the case, for the record.
  std::string since(celerybeam::TimePoint At) const;
  void note(const std::string &Line);
  /// Writes one line for each call.
  void writeCalls();

  static constexpr int FrontPort = 28244;
  static constexpr int ReadyPort = 28240;
  static constexpr int DirectoryPort = 28243;

private:
  struct Runner {
    std::string Service;
    std::size_t PlaceIndex = 0;
    std::string Id;
    std::string Ip;
    pid_t Process = 0;
    unsigned Sequence = 0;
    celerybeam::TimePoint EndedAt{};
  };

  std::string settingsOf(std::size_t Index) const;
  void startRunner(Runner &R);
  void beat();
  void reap();
  pid_t spawn(const std::vector<std::string> &Arguments,
              const std::vector<std::string> &Environment,
              const std::string &Log) const;
  void pollReady(const std::function<void()> &Then, unsigned Polls);

  celerybeam::HttpCaller Caller_;
  std::string Program_;
  std::filesystem::path Folder_;
  std::string Network_;
  std::vector<Place> Places_;
  std::unique_ptr<Store> Store_;
  std::map<std::size_t, pid_t> Hosts_;
  std::vector<std::unique_ptr<Runner>> Runners_;
  unsigned LastRunner_ = 0;
  std::uint64_t LastCall_ = 0;
  std::map<std::string, CallRecord> Calls_;
  std::set<std::string> UnknownRuns_;
  celerybeam::TimePoint StartedAt_;
};

/// The main function of a runner process.
int runnerMain(int Count, char **Arguments);

} // namespace review

#endif
