#ifndef CELERYBEAM_FLEETHOST_INTERNAL_SOURCERANKING_H
#define CELERYBEAM_FLEETHOST_INTERNAL_SOURCERANKING_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/hostregistry.h"
#include "fleethost/fleethost.h"

namespace celerybeam::detail {

/// Addresses of hosts that may have newer content of the store, in order of
/// preference.
struct RankedSources {
  /// Of this region.
  std::vector<std::string> Near;
  /// Of other regions, or of unknown ones.
  std::vector<std::string> Far;
};

/// Orders the other entry hosts for everyone who asks them about their copies
/// of the store, and remembers which of them have failed to answer.
///
/// Handles these load patterns: "the host with the newest copy is being stopped
/// and refuses", "a host that was killed or is cut off is still listed",
/// "datagrams of a host arrive and its connections fail". A host's reports do
/// not show that it hands over its copy, so one that has failed comes after all
/// others. Equal hosts are drawn at random, so that they share the load. Not
/// thread-safe.
class SourceRanking {
public:
  SourceRanking(Runtime R, const HostRegistry &Hosts);

  /// Hosts to fetch the changes after a revision from: those that report a
  /// later one first, and of these the ones that are not leaving. \param Except
  /// are left out, like hosts that failed within RetryInterval. \param
  /// AlsoLacking  whether to name hosts that report no later one: their reports
  /// may be late, or the changes may be unknown to all reports.
  RankedSources newerThan(MirrorPart Part, StoreRevision After,
                          const std::set<std::string> &Except,
                          bool AlsoLacking = true) const;
  /// Hosts that can tell whether this host's copy lacks anything: watchers of
  /// the store first. While no host counts as alive, as right after a start or
  /// standstill, Far has hosts of any region. \param Except  are left out.
  RankedSources confirmers(const std::set<std::string> &Except) const;

  /// Whether another host of this region counts as alive.
  bool hasNear() const { return !Hosts_.aliveInRegion().empty(); }
  /// Whether a host of this region reports a revision after this one.
  bool isReportedNear(MirrorPart Part, StoreRevision After) const;
  /// Whether a host that reports a revision after this one was not out of reach
  /// within FailureMemory.
  bool isOffered(MirrorPart Part, StoreRevision After) const;
  /// The revision that a host reports; zero when it is unknown.
  StoreRevision reportedBy(const std::string &Ip, MirrorPart Part) const;

  /// Records that a host did not answer, or answered with an older copy than it
  /// had reported. \param Reached  whether it is not cut off from this host: it
  /// was busy, or a part of its copy arrived.
  void recordFailure(const std::string &Ip, bool Reached = false);
  void recordSuccess(const std::string &Ip) { Failures_.erase(Ip); }

  /// Shortest time between two questions to a host that has failed.
  static constexpr Duration RetryInterval = std::chrono::milliseconds(500);
  /// How long a host that has failed comes after the others. A host that was
  /// killed or cut off is reported for about this time.
  static constexpr Duration FailureMemory = HostRegistry::ReportedSilence;
  /// Most silent hosts that are named while none counts as alive.
  static constexpr std::size_t MaxSilent = 3;

private:
  struct Candidate;
  RankedSources rank(std::vector<Candidate> All) const;
  Candidate candidate(const HostState &Host) const;

  Runtime Runtime_;
  const HostRegistry &Hosts_;
  struct Failure {
    TimePoint At{};
    bool Reached = false;
  };
  /// Latest failures, of hosts without a later success.
  std::map<std::string, Failure> Failures_;
};

} // namespace celerybeam::detail

#endif
