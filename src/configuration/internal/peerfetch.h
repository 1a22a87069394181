#ifndef CELERYBEAM_CONFIGURATION_INTERNAL_PEERFETCH_H
#define CELERYBEAM_CONFIGURATION_INTERNAL_PEERFETCH_H

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "blackboard/blackboard.h"
#include "configuration/internal/revisionkeep.h"
#include "framework/runtime.h"
#include "messages/peerhooks.h"

namespace celerybeam::detail {

/// Hears of revisions from peers and fetches them: from the own zone first,
/// then the own region, then others. One request at a time. Thread-safe.
class PeerFetch {
public:
  PeerFetch(Blackboard &Board, Runtime R, PeerHooks Peers, RevisionKeep &Keep);

  /// Notes that a host has a revision.
  void hear(const HostId &Host, Revision Number);

  /// Starts the next request when one is due.
  void tick();

  /// Takes a reply. True when it put a revision in force; false when its
  /// revision is not higher. Fails with InvalidTable.
  Result<bool> take(const HostId &From, const messages::RevisionReply &Reply);

  /// Whether at least one live peer was heard of and none has tables; also
  /// when there is no live peer.
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
  RevisionKeep &Keep_;

  mutable std::mutex Mutex_;
  std::map<HostId, Revision> Heard_;
  std::optional<HostId> Asked_;
  TimePoint AskedAt_{};
  TimePoint NextAt_{};
  /// Hosts that failed since the last success.
  std::set<HostId> Tried_;
  int Failures_ = 0;
  /// Set after changes that did not fit; the next request is for whole tables.
  bool WantsWhole_ = false;
};

} // namespace celerybeam::detail

#endif
