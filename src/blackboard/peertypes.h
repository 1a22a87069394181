#ifndef CELERYBEAM_BLACKBOARD_PEERTYPES_H
#define CELERYBEAM_BLACKBOARD_PEERTYPES_H

#include <cstdint>
#include <map>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

enum class PeerState { Alive, Suspect, Dead, Leaving };

/// Load of one pool in one region, as its hosts gossip it.
struct PoolLoad {
  std::uint32_t Slots = 0;
  std::uint32_t Busy = 0;
  /// Predicted wait of a new short request.
  Duration Wait{};
};

/// All that a host knows of another entry host.
struct PeerRecord {
  HostId Id;
  /// Where callers reach it.
  Address CallerAddress;
  /// Where other entry hosts reach it.
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
