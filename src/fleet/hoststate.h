#ifndef CELERYBEAM_FLEET_HOSTSTATE_H
#define CELERYBEAM_FLEET_HOSTSTATE_H

#include <cstdint>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "fleet/storemirror.h"

namespace celerybeam {

/// What an entry host says of itself.
struct HostState {
  HostId Id;
  /// IP number; ports are the same on all hosts.
  std::string Ip;
  ZoneId Zone;
  RegionId Region;
  /// Unix milliseconds of its start: larger is newer.
  std::int64_t StartedAt = 0;
  bool Ready = false;
  bool Leaving = false;
  StoreRevision OperatorRevision;
  StoreRevision EndpointRevision;
  /// Whether it watches the store and was answered of late.
  bool Watches = false;
  /// Thousandths of processor cores that it may use, by which work is shared
  /// out.
  std::uint32_t MilliCores = 1000;
};

/// The hosts of a region that do work for the others.
struct RegionDelegates {
  /// They hear every host of the region and tell the others of them.
  std::vector<HostState> Messengers;
  /// The first of them: each places the requests of all hosts at some of the
  /// region's endpoints.
  std::vector<HostState> Placers;
};

/// Chooses the delegates among the hosts of a region: the largest that serve.
///
/// Answers to "news of every host to every host grows with the square": a host
/// talks to its delegates only. All hosts choose alike as long as they see the
/// same hosts; where they do not, nothing breaks, since an endpoint bears that
/// two place at it for a moment. Hosts of equal size are ordered by a hash, so
/// that the delegates do not stand in one zone.
/// \param Region  hosts that are alive, with self if it is of the region.
RegionDelegates chooseDelegates(std::vector<HostState> Region);

/// Hosts for one placer: more placers see less of the region each, fewer have
/// more to do.
inline constexpr std::size_t HostsPerPlacer = 10;
/// Messengers beyond the placers, which take over without having to learn
/// first who is there.
inline constexpr std::size_t SpareMessengers = 2;
/// Messengers, the first ones, that watch the store for their region and tell
/// it of its hosts.
inline constexpr std::size_t WatchersPerRegion = 2;
/// Regions up to this size have no need of delegates for news: all hosts are
/// messengers.
inline constexpr std::size_t SmallRegion = 6;

} // namespace celerybeam

#endif
