#ifndef CELERYBEAM_BLACKBOARD_PEERTYPES_H
#define CELERYBEAM_BLACKBOARD_PEERTYPES_H

#include <cstdint>
#include <map>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

enum class PeerState { Alive, Suspect, Dead, Leaving };

/// Load of one pool in one region, as its hosts report it by gossip.
struct PoolLoad {
  std::uint32_t Slots = 0;
  std::uint32_t Busy = 0;
  /// Predicted queueing time of a new short request.
  Duration Wait{};
};

/// All that a host knows about another entry host.
struct PeerRecord {
  HostId Id;
  /// The address for callers.
  Address CallerAddress;
  /// The address for other entry hosts.
  Address PeerAddress;
  RegionId Region;
  ZoneId Zone;
  PeerState State = PeerState::Alive;
  Incarnation Number = 0;
  Revision InForce = 0;
  TimePoint LastHeard{};
  std::map<PoolName, PoolLoad> Pools;
};

} // namespace celerybeam

#endif
