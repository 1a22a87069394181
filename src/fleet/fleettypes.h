#ifndef CELERYBEAM_FLEET_FLEETTYPES_H
#define CELERYBEAM_FLEET_FLEETTYPES_H

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "fleet/customers.h"
#include "fleet/homeregions.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Whether and how a request can be sent again after an endpoint may have run
/// it.
enum class RepeatKind { Idempotent, AtMostOnce, Stream, ResumableStream };

/// Whether a request that may have run can be sent to an endpoint again.
constexpr bool mayRepeat(RepeatKind Kind) {
  return Kind == RepeatKind::Idempotent || Kind == RepeatKind::ResumableStream;
}

constexpr bool isStream(RepeatKind Kind) {
  return Kind == RepeatKind::Stream || Kind == RepeatKind::ResumableStream;
}

/// A pool and its share of a route's requests. Weights are relative to each
/// other.
struct WeightedPool {
  PoolName Pool;
  double Weight = 1;
};

/// A route of the operator's configuration: which requests it covers, their
/// deadlines and the pools that serve them.
struct FleetRoute {
  RouteName Name;
  std::string Host;
  /// Begins and ends with a slash; the longest matching prefix wins.
  std::string PathPrefix;
  RepeatKind Kind = RepeatKind::AtMostOnce;
  /// Longest time from the request's arrival to the end of its response.
  Duration Timeout{};
  /// Target for the time to the response, or to a stream's first event.
  Duration LatencyTarget{};
  /// Target for the longest pause between events; zero for plain services.
  Duration EventGapTarget{};
  /// How long callers wait for a stream's first event before they disconnect;
  /// zero when only their deadline is known.
  Duration FirstOutputPatience{};
  /// 0 is the most urgent.
  unsigned Rank = 0;
  /// How many endpoints one request may run on, retries included.
  unsigned MaxEndpoints = 1;
  std::vector<WeightedPool> Pools;
  HomeRegions Homes;
  /// Whether callers need no key.
  bool IsPublic = false;
};

/// The operator's settings for the model engines of a pool.
struct EngineSettings {
  std::uint32_t Slots = 1;
  /// Capacity in tokens that running requests and cached prompts share.
  std::uint32_t CacheTokens = 0;
  /// Milliseconds to copy one cached token from another engine; zero when
  /// engines cannot copy from each other.
  double CopyMsPerToken = 0;
  /// Decoding steps, and therefore tokens, in one event of a stream.
  std::uint32_t StepsPerEvent = 1;
};

/// A pool of the operator's configuration: the limits of its endpoints and how
/// to check their health.
struct FleetPool {
  PoolName Name;
  std::string HealthPath;
  /// Connections that one endpoint accepts from all clients together.
  unsigned MaxConnections = 1;
  /// How long an endpoint stays cold after its start.
  Duration ColdSpan{};
  /// Requests per second that a cold endpoint can take; zero means no limit.
  double ColdRequestsPerSecond = 0;
  /// Unset for plain services.
  std::optional<EngineSettings> Engine;
};

/// Limits on what a caller may send and how slowly.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint32_t BodyBytes = 4U << 20U;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// The operator's routes, pools and limits in one version. Immutable once
/// published.
struct FleetTables {
  std::uint64_t Version = 0;
  std::vector<FleetRoute> Routes;
  std::map<PoolName, FleetPool> Pools;
  CallerLimits Limits;
  /// Null when the configuration names no customers; callers need no keys then.
  CustomerTablePtr Customers;

  /// The route of this host with the longest matching path prefix, or null.
  /// \param Path  as the caller sent it, with or without a query.
  const FleetRoute *find(std::string_view Host, std::string_view Path) const;
  /// The route of this name, or null.
  const FleetRoute *route(const RouteName &Name) const;
  const FleetPool *pool(const PoolName &Name) const;
};

using FleetTablesPtr = std::shared_ptr<const FleetTables>;

/// Identifies one incarnation of an endpoint on this host and its peers.
struct EndpointKey {
  std::uint64_t Value = 0;
  auto operator<=>(const EndpointKey &) const = default;
};

/// An endpoint as the platform's store lists it.
struct FleetEndpoint {
  EndpointId Id;
  /// Start time in Unix milliseconds. The same id with another start time is
  /// another endpoint.
  std::int64_t StartedAt = 0;
  EndpointKey Key;
  PoolName Pool;
  Address Where;
  ZoneId Zone;
  RegionId Region;
  std::uint32_t Slots = 1;
  bool Leaving = false;
  /// Until when it counts as cold, by this host's clock.
  TimePoint ColdUntil{};
  /// When a removal at short notice takes effect; unset when none is announced.
  std::optional<TimePoint> EndsAt;
};

/// What an endpoint reported about itself in a response.
struct EndpointReport {
  EndpointKey Key;
  /// It accepts no new requests and will shut down.
  bool Leaving = false;
  /// It asks for no requests for this long; zero when it did not ask.
  Duration BackOffFor{};
  /// IP address of the host that received the response.
  std::string ReceivedBy;
};

/// Computes the key of an endpoint's incarnation, the same on every host.
EndpointKey endpointKeyOf(const EndpointId &Id, std::int64_t StartedAt);

} // namespace celerybeam

template <> struct std::hash<celerybeam::EndpointKey> {
  size_t operator()(const celerybeam::EndpointKey &Key) const noexcept {
    return Key.Value;
  }
};

#endif
