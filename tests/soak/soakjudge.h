#ifndef CELERYBEAM_TESTS_SOAK_SOAKJUDGE_H
#define CELERYBEAM_TESTS_SOAK_SOAKJUDGE_H

#include <map>
#include <optional>
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
  /// Whether callers need no key.
  bool Public = false;
};

/// What a caller says of itself.
struct SoakIdentity {
  /// Empty: none.
  std::string Key;
  /// The header fields that say so.
  std::string Fields;
  /// Units of the customer's limit that the request costs.
  double Cost = 0;
};

/// A customer's limit. No rate: none.
struct SoakLimit {
  double PerSecond = 0;
  double Burst = 0;
  /// Units beyond limit and tolerance in one window.
  double Slack = 0;
};

/// Holds what callers and endpoints saw against the promises, while the soak
/// runs.
class SoakJudge {
public:
  /// A caller sends a request to a start of a host.
  void sent(const std::string &Id, const SoakRoute &Route,
            const std::string &HostStart, TimePoint Now,
            const SoakIdentity &From = {});
  /// The store has acknowledged tables with these keys of a customer, and no
  /// others, and with its limit.
  void customerSet(const std::string &Name, const std::set<std::string> &Keys,
                   const SoakLimit &Limit, TimePoint Now);
  /// It is sent in parts, or not at all, and may not run before it is whole.
  void sentInPart(const std::string &Id) { Calls_.at(Id).InPart = true; }
  void sentWhole(const std::string &Id, TimePoint Now);
  /// \param Stood  for how long its host stood still meanwhile.
  void ended(const std::string &Id, const CallResult &Result, TimePoint Now,
             Duration Stood = {});
  /// An endpoint began to run a request.
  /// \param Customer  whose name the endpoint got; empty when it got none.
  void ran(const std::string &Id, const std::string &Region,
           const std::string &Customer, TimePoint Now);
  /// At the end: requests that never ended, and what ran of each customer.
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
  /// Greatest part of what a limit allows in a window that was used. Set by
  /// close.
  double mostUsed() const { return MostUsed_; }

  /// A caller waits this long for any answer.
  static constexpr Duration CallerPatience = std::chrono::seconds(8);
  /// A host may show older tables for this long after newer ones: requests
  /// pass each other.
  static constexpr Duration VersionSlack = std::chrono::milliseconds(250);
  /// A removed key may run for this long on hosts that miss its removal.
  static constexpr Duration KeyLifetime = std::chrono::seconds(4);
  /// Time in which a version that the store has accepted has to be in force.
  static constexpr Duration ConfigurationDeadline = std::chrono::seconds(3);
  /// Limits hold in each window of this length.
  static constexpr Duration LimitWindow = std::chrono::seconds(4);
  /// Part of a limit by which it may be exceeded.
  static constexpr double LimitTolerance = 0.1;

private:
  struct Call {
    SoakRoute Route;
    std::string HostStart;
    TimePoint Sent{};
    bool Ended = false;
    bool InPart = false;
    bool SaidNotRun = false;
    unsigned Runs = 0;
    SoakIdentity From;
    /// When its caller began to send it; Sent may be later.
    TimePoint Begun{};
  };
  struct Key {
    std::string Customer;
    TimePoint AddedAt{};
    std::optional<TimePoint> RemovedAt;
  };
  /// A request that ran, from its sending to its first run.
  struct Use {
    TimePoint From{};
    TimePoint To{};
    double Cost = 0;
  };
  struct LimitChange {
    TimePoint At{};
    SoakLimit Limit;
  };
  struct Shown {
    unsigned Version = 0;
    TimePoint At{};
  };

  void checkBody(const std::string &Id, const Call &C, const CallResult &R);
  void checkCustomer(const std::string &Id, const Call &C,
                     const std::string &Customer);
  void checkLimit(const std::string &Customer);
  double allowance(const std::string &Customer, TimePoint From,
                   TimePoint To) const;
  void checkVersion(const std::string &Id, const Call &C, TimePoint Now);

  std::map<std::string, Call> Calls_;
  /// Newest version that each start of a host has shown.
  std::map<std::string, Shown> Versions_;
  std::map<std::string, Key> Keys_;
  std::map<std::string, std::vector<LimitChange>> Limits_;
  std::map<std::string, std::vector<Use>> Uses_;
  std::vector<std::string> Broken_;
  unsigned Open_ = 0;
  unsigned Served_ = 0;
  unsigned Refused_ = 0;
  unsigned Runs_ = 0;
  double MostUsed_ = 0;
};

} // namespace celerybeam::testing

#endif
