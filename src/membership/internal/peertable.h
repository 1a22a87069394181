#ifndef CELERYBEAM_MEMBERSHIP_INTERNAL_PEERTABLE_H
#define CELERYBEAM_MEMBERSHIP_INTERNAL_PEERTABLE_H

#include <map>
#include <optional>
#include <vector>

#include "blackboard/blackboard.h"
#include "membership/membershipcontroller.h"
#include "messages/peer.pb.h"

namespace celerybeam::detail {

/// What this host holds of the others: merges what it hears into the peers of
/// the blackboard. Not thread-safe.
class PeerTable {
public:
  explicit PeerTable(Blackboard &Board) : Board_(Board) {}

  /// Merges a state heard of another host. True when it was news.
  bool merge(const messages::PeerState &Heard, TimePoint Now);
  /// A host on the platform's list becomes known.
  void list(const ListedEntryHost &Host, TimePoint Now);
  /// Any message came straight from the host.
  void heardFrom(const HostId &Host, Revision InForce, TimePoint Now);

  /// Marks a live host suspect; true when it was live.
  bool suspect(const HostId &Host, TimePoint Now);
  /// Marks hosts dead whose suspicion began before the time and that have
  /// not been heard from since; returns them.
  std::vector<HostId> expireSuspicions(TimePoint Before);
  /// A pause of this host must not count as silence of the others.
  void restartSuspicions(TimePoint Now);
  /// Forgets hosts that were dead or had left before the time.
  void forget(TimePoint Before);

  std::optional<PeerState> stateOf(const HostId &Host) const;
  std::vector<HostId> inZone(const ZoneId &Zone, PeerState State) const;
  std::vector<HostId> inRegion(const RegionId &Region, PeerState State) const;
  /// Zones other than the own one, sorted.
  std::vector<ZoneId> otherZones() const;
  /// When last anything fresh came of a zone.
  TimePoint heardOfZone(const ZoneId &Zone) const;

  /// As it goes over the wire; empty when unknown. Dead and suspect hosts go
  /// without addresses and loads.
  std::optional<messages::PeerState> wire(const HostId &Host) const;

private:
  template <typename Predicate>
  std::vector<HostId> select(Predicate Wanted) const;
  void changed(const PeerRecord &Record, TimePoint Now);

  Blackboard &Board_;
  std::map<HostId, std::uint64_t> Serials_;
  std::map<HostId, TimePoint> SuspectSince_;
  std::map<HostId, TimePoint> GoneSince_;
  std::map<ZoneId, TimePoint> ZoneHeard_;
};

messages::PeerState::State toWire(PeerState State);
PeerState fromWire(messages::PeerState::State State);

} // namespace celerybeam::detail

#endif
