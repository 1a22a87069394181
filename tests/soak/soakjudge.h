#ifndef CELERYBEAM_TESTS_SOAK_SOAKJUDGE_H
#define CELERYBEAM_TESTS_SOAK_SOAKJUDGE_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "soak/soakcaller.h"

namespace celerybeam::testing {

/// A route of the soak, as its checks see it.
struct SoakRoute {
  std::string Path;
  /// At most one run for each request.
  bool Once = false;
  bool Streams = false;
  /// Regions in which it may run; empty: all.
  std::set<std::string> Homes;
  /// Of a route that exists in one version of the tables only.
  unsigned Version = 0;
};

/// Holds what callers and endpoints saw against the promises, while the soak
/// runs.
class SoakJudge {
public:
  /// A caller sends a request to a start of a host.
  void sent(const std::string &Id, const SoakRoute &Route,
            const std::string &HostStart, TimePoint Now);
  /// It is sent in parts, or not at all, and may not run before it is whole.
  void sentInPart(const std::string &Id) { Calls_.at(Id).InPart = true; }
  void sentWhole(const std::string &Id, TimePoint Now);
  /// \param Stood  for how long its host stood still meanwhile.
  void ended(const std::string &Id, const CallResult &Result, TimePoint Now,
             Duration Stood = {});
  /// An endpoint began to run a request.
  void ran(const std::string &Id, const std::string &Region);
  /// At the end: requests that never ended.
  void close(TimePoint Now);
  /// Something that no caller may see.
  void fault(const std::string &Promise, const std::string &Id,
             const std::string &What);

  const std::vector<std::string> &broken() const { return Broken_; }
  /// Requests that have not ended.
  unsigned open() const { return Open_; }
  unsigned requests() const { return static_cast<unsigned>(Calls_.size()); }
  unsigned served() const { return Served_; }
  unsigned refused() const { return Refused_; }
  unsigned runs() const { return Runs_; }

  /// A caller waits this long for any answer.
  static constexpr Duration CallerPatience = std::chrono::seconds(8);
  /// A host may show older tables for this long after newer ones: requests
  /// pass each other.
  static constexpr Duration VersionSlack = std::chrono::milliseconds(250);

private:
  struct Call {
    SoakRoute Route;
    std::string HostStart;
    TimePoint Sent{};
    bool Ended = false;
    bool InPart = false;
    bool SaidNotRun = false;
    unsigned Runs = 0;
  };
  struct Shown {
    unsigned Version = 0;
    TimePoint At{};
  };

  void checkBody(const std::string &Id, const Call &C, const CallResult &R);
  void checkVersion(const std::string &Id, const Call &C, TimePoint Now);

  std::map<std::string, Call> Calls_;
  /// Newest version that each start of a host has shown.
  std::map<std::string, Shown> Versions_;
  std::vector<std::string> Broken_;
  unsigned Open_ = 0;
  unsigned Served_ = 0;
  unsigned Refused_ = 0;
  unsigned Runs_ = 0;
};

} // namespace celerybeam::testing

#endif
