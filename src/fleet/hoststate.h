#ifndef CELERYBEAM_FLEET_HOSTSTATE_H
#define CELERYBEAM_FLEET_HOSTSTATE_H

#include <cstdint>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "fleet/storemirror.h"

namespace celerybeam {

/// The state of an entry host as it sends it to the others.
struct HostState {
  HostId Id;
  /// IP address; ports are the same on all hosts.
  std::string Ip;
  ZoneId Zone;
  RegionId Region;
  /// Start time in Unix milliseconds; a larger one is a newer incarnation.
  std::int64_t StartedAt = 0;
  bool Ready = false;
  bool Leaving = false;
  StoreRevision OperatorRevision;
  StoreRevision EndpointRevision;
  /// Whether it watches the store itself and got a response recently.
  bool Watches = false;
  /// Whether its tables are outdated, or its right to resolve customers' keys
  /// ends soon unless they are confirmed: it refuses requests, or soon will.
  bool TablesStale = false;
  /// Processor capacity in thousandths of a core. Work is divided in proportion
  /// to it.
  std::uint32_t MilliCores = 1000;
  /// Number of hosts of the whole fleet, this one included, and the time since
  /// they were counted; 0 while the host does not know. Only in the messages of
  /// the host itself.
  std::uint32_t FleetHosts = 0;
  Duration FleetHostsAge{};
};

/// The hosts of a region that perform tasks on behalf of the others.
struct RegionDelegates {
  /// They collect the state of every host of the region and distribute it to
  /// the others.
  std::vector<HostState> Aggregators;
  /// The first of the aggregators. A placer chooses the endpoint for the
  /// requests of all hosts of the region, for its share of the endpoints.
  std::vector<HostState> Placers;
};

/// Chooses the delegates of a region: its largest hosts that are ready and not
/// leaving.
///
/// Handles this load pattern: "updates from every host to every host grow with
/// the square of the hosts". A host exchanges updates with its delegates only.
/// All hosts that see the same hosts choose the same delegates. Where they see
/// different hosts, nothing breaks: an endpoint tolerates two placers for a
/// moment. Hosts of equal size are ordered by a hash, so that the delegates are
/// not all in one zone.
/// \param Region  the alive hosts of the region, self included if it is there.
RegionDelegates chooseDelegates(std::vector<HostState> Region);

/// Hosts per placer. With more placers each sees a smaller part of the region;
/// with fewer each has more work.
inline constexpr std::size_t HostsPerPlacer = 10;
/// Aggregators beyond the placers. They can take over at once, since they
/// already know the hosts of the region.
inline constexpr std::size_t SpareAggregators = 2;
/// Number of aggregators, from the first on, that watch the store for their
/// region and send it the state of its hosts.
inline constexpr std::size_t WatchersPerRegion = 2;
/// In regions of up to this size all hosts are aggregators, since updates among
/// all of them are few enough.
inline constexpr std::size_t SmallRegion = 6;

} // namespace celerybeam

#endif
