#ifndef CELERYBEAM_FLEET_FLEETTYPES_H
#define CELERYBEAM_FLEET_FLEETTYPES_H

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// What may be repeated of a request once an endpoint may have run it.
enum class RepeatKind { Idempotent, AtMostOnce, Stream, ResumableStream };

/// Whether a request that may have run can be sent to an endpoint again.
constexpr bool mayRepeat(RepeatKind Kind) {
  return Kind == RepeatKind::Idempotent || Kind == RepeatKind::ResumableStream;
}

constexpr bool isStream(RepeatKind Kind) {
  return Kind == RepeatKind::Stream || Kind == RepeatKind::ResumableStream;
}

/// A pool with its share of a route's requests; weights are relative.
struct WeightedPool {
  PoolName Pool;
  double Weight = 1;
};

/// One row of the operator's routes.
struct FleetRoute {
  RouteName Name;
  std::string Host;
  /// Begins and ends with a slash; the longest matching one wins.
  std::string PathPrefix;
  RepeatKind Kind = RepeatKind::AtMostOnce;
  /// Longest time from the request's arrival to its final answer.
  Duration Timeout{};
  /// Time to the answer, or to a stream's first event, that is on time.
  Duration LatencyTarget{};
  /// Longest pause between events that is on time; zero for plain services.
  Duration EventGapTarget{};
  /// How long callers wait for a stream's first event before they leave; zero
  /// when only their deadline is known.
  Duration FirstOutputPatience{};
  /// 0 is the most urgent.
  unsigned Rank = 0;
  /// Endpoints that one request may run on.
  unsigned MaxEndpoints = 1;
  std::vector<WeightedPool> Pools;
  /// Regions that may handle the request; empty: all.
  std::set<RegionId> Homes;
};

/// What the operator says of a pool's model engines.
struct EngineRule {
  std::uint32_t Slots = 1;
  /// Tokens that running requests and cached prompts share.
  std::uint32_t CacheTokens = 0;
  /// Time to copy one cached token from another engine; zero when engines
  /// cannot copy from each other.
  double CopyMsPerToken = 0;
  /// Decoding steps, and so tokens, in one event of a stream.
  std::uint32_t StepsPerEvent = 1;
};

/// One row of the operator's pools.
struct FleetPool {
  PoolName Name;
  std::string HealthPath;
  /// Connections that one endpoint accepts from all callers together.
  unsigned MaxConnections = 1;
  /// How long an endpoint stays cold after its start.
  Duration ColdSpan{};
  /// Requests a second that a cold endpoint bears; zero: no limit.
  double ColdRequestsPerSecond = 0;
  /// Empty for plain services.
  std::optional<EngineRule> Engine;
};

/// What a caller may send.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint32_t BodyBytes = 4U << 20U;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// The operator's tables in one version. Immutable once published.
struct FleetTables {
  std::uint64_t Version = 0;
  std::vector<FleetRoute> Routes;
  std::map<PoolName, FleetPool> Pools;
  CallerLimits Limits;

  /// The route with the longest prefix of the path on this host, or null.
  /// \param Path  as the caller wrote it, with or without a query.
  const FleetRoute *find(std::string_view Host, std::string_view Path) const;
  const FleetPool *pool(const PoolName &Name) const;
  /// Regions that every route of a host allows; empty: all, also when no
  /// region suits them all.
  std::set<RegionId> homesOf(std::string_view Host) const;
};

using FleetTablesPtr = std::shared_ptr<const FleetTables>;

/// Names one start of an endpoint within this host and its peers.
struct EndpointKey {
  std::uint64_t Value = 0;
  auto operator<=>(const EndpointKey &) const = default;
};

/// What the platform's list says of an endpoint.
struct FleetEndpoint {
  EndpointId Id;
  /// Unix milliseconds of its start: an id that returns with another start is
  /// another endpoint.
  std::int64_t StartedAt = 0;
  EndpointKey Key;
  PoolName Pool;
  Address Where;
  ZoneId Zone;
  RegionId Region;
  std::uint32_t Slots = 1;
  bool Leaving = false;
  /// Until when it is cold, by this host's clock.
  TimePoint ColdUntil{};
  /// When a removal at short notice takes effect; unset otherwise.
  std::optional<TimePoint> EndsAt;
};

/// What an endpoint said of itself in an answer.
struct EndpointWord {
  EndpointKey Key;
  /// It takes nothing new and will end.
  bool Leaving = false;
  /// It wants no requests for this long; zero when it did not say.
  Duration RestFor{};
  /// IP number of the host that it answered.
  std::string HeardBy;
};

/// Key of an endpoint's start, the same on every host.
EndpointKey endpointKeyOf(const EndpointId &Id, std::int64_t StartedAt);

} // namespace celerybeam

template <> struct std::hash<celerybeam::EndpointKey> {
  size_t operator()(const celerybeam::EndpointKey &Key) const noexcept {
    return Key.Value;
  }
};

#endif
