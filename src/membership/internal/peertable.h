#ifndef CELERYBEAM_MEMBERSHIP_INTERNAL_PEERTABLE_H
#define CELERYBEAM_MEMBERSHIP_INTERNAL_PEERTABLE_H

#include <map>
#include <optional>
#include <vector>

#include "blackboard/blackboard.h"
#include "membership/membershipcontroller.h"
#include "messages/peer.pb.h"

namespace celerybeam::detail {

/// Merges the state that other hosts report into the peers of the blackboard
/// and tracks how long hosts have been suspect, dead or leaving. Not
/// thread-safe.
class PeerTable {
public:
  explicit PeerTable(Blackboard &Board) : Board_(Board) {}

  /// Merges a received state of another host. True when it changed something
  /// and should be sent on.
  bool merge(const messages::PeerState &Received, TimePoint Now);
  /// Adds a host of the platform's list.
  void addListed(const ListedEntryHost &Host, TimePoint Now);
  /// Records that a message arrived directly from the host.
  void recordMessageFrom(const HostId &Host, Revision InForce, TimePoint Now);

  /// Marks a live host suspect; true when it was live.
  bool suspect(const HostId &Host, TimePoint Now);
  /// Marks hosts dead that became suspect before the given time and from which
  /// no message has arrived since; returns them.
  std::vector<HostId> expireSuspicions(TimePoint Before);
  /// Restarts the suspicion time of all suspect hosts, since a pause of this
  /// host must not count as silence of the others.
  void restartSuspicions(TimePoint Now);
  /// Removes hosts that have been dead or leaving since before the given time.
  void forget(TimePoint Before);

  std::optional<PeerState> stateOf(const HostId &Host) const;
  std::vector<HostId> inZone(const ZoneId &Zone, PeerState State) const;
  std::vector<HostId> inRegion(const RegionId &Region, PeerState State) const;
  /// Zones other than this host's own, sorted.
  std::vector<ZoneId> otherZones() const;
  /// When the last message or newer state from a zone arrived.
  TimePoint lastUpdateFromZone(const ZoneId &Zone) const;

  /// The host's state as it is sent to other hosts; empty when the host is
  /// unknown. For dead and suspect hosts it has no addresses; it never has
  /// loads.
  std::optional<messages::PeerState> stateMessage(const HostId &Host) const;

private:
  template <typename Predicate>
  std::vector<HostId> select(Predicate Wanted) const;
  void updateTimes(const PeerRecord &Record, TimePoint Now);

  Blackboard &Board_;
  std::map<HostId, std::uint64_t> Serials_;
  std::map<HostId, TimePoint> SuspectSince_;
  std::map<HostId, TimePoint> GoneSince_;
  std::map<ZoneId, TimePoint> ZoneUpdatedAt_;
};

messages::PeerState::State toWire(PeerState State);
PeerState fromWire(messages::PeerState::State State);

} // namespace celerybeam::detail

#endif
