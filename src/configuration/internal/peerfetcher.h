#ifndef CELERYBEAM_CONFIGURATION_INTERNAL_PEERFETCHER_H
#define CELERYBEAM_CONFIGURATION_INTERNAL_PEERFETCHER_H

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "blackboard/blackboard.h"
#include "configuration/internal/recentrevisions.h"
#include "framework/runtime.h"
#include "messages/peerhooks.h"

namespace celerybeam::detail {

/// Tracks which revisions peers have and fetches higher ones: from this host's
/// zone first, then its region, then others. Makes one request at a time.
/// Thread-safe.
class PeerFetcher {
public:
  PeerFetcher(Blackboard &Board, Runtime R, PeerHooks Peers,
              RecentRevisions &Recent);

  /// Records that a host has a revision.
  void recordRevision(const HostId &Host, Revision Number);

  /// Starts the next request when one is due.
  void tick();

  /// Applies a reply. True when it put a revision in force; false when its
  /// revision is not higher. Fails with InvalidTable.
  Result<bool> take(const HostId &From, const messages::RevisionReply &Reply);

  /// Whether at least one live peer has reported its revision and none has
  /// tables; also true when there is no live peer.
  bool noPeerHasTables() const;

  /// Whether peers have a higher revision and several requests in a row
  /// failed.
  bool isFailing() const;

private:
  struct Candidate {
    HostId Host;
    Revision Number = 0;
    int Distance = 0;
  };

  std::vector<Candidate> livePeersLocked() const;
  std::optional<HostId> chooseLocked(Revision InForce);
  bool isDueLocked(TimePoint Now);
  void failLocked();

  Blackboard &Board_;
  Runtime Runtime_;
  PeerHooks Peers_;
  RecentRevisions &RecentRevisions_;

  mutable std::mutex Mutex_;
  std::map<HostId, Revision> KnownRevisions_;
  std::optional<HostId> RequestedFrom_;
  TimePoint RequestedAt_{};
  TimePoint NextAt_{};
  /// Hosts that failed since the last success.
  std::set<HostId> FailedHosts_;
  int Failures_ = 0;
  /// Set after changes that could not be applied; the next request is for the
  /// full tables.
  bool NeedsFullTables_ = false;
};

} // namespace celerybeam::detail

#endif
