#ifndef CELERYBEAM_ROUTING_ROUTER_H
#define CELERYBEAM_ROUTING_ROUTER_H

#include <memory>
#include <optional>
#include <vector>

#include "blackboard/blackboard.h"
#include "framework/error.h"
#include "framework/runtime.h"
#include "routing/routersettings.h"
#include "routing/routingtypes.h"

namespace celerybeam {

/// Chooses the endpoint of this region, or the other region, that serves a
/// request. Called for each attempt of a request.
///
/// Reads: tables, endpoints, peers (pool loads of other regions).
/// Writes: nothing on the blackboard; owns the state of forwarding.
/// Wakes: on each request, tick. Thread-safe.
class Router {
public:
  Router(Blackboard &Board, Runtime R,
         const RouterSettings &Settings = RouterSettings());
  ~Router();

  /// Chooses where one attempt runs. Errors: UnknownRoute, DeadlineExpired,
  /// NoEndpoint (no endpoint of the pool can serve), NoCapacityInTime (none can
  /// serve by the deadline; RetryAfter set).
  Result<RouteChoice> choose(const RouteQuery &Query);

  /// Decides before admission, when a request would be queued on this host,
  /// whether forwarding it to another region is worthwhile; empty when it stays
  /// in this region. Query.QueueWait counts towards the local wait.
  std::optional<ForwardToRegion> chooseRemoteRegion(const RouteQuery &Query);

  /// Returns every endpoint of the pool with its score or the reason for its
  /// exclusion; changes nothing.
  std::vector<CandidateView> explain(const RouteQuery &Query) const;

  /// Renews the cached views of pools in use, so that decisions need not. Call
  /// every TickInterval; without it each decision that finds an expired view
  /// renews it.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(50);

  /// Reports that a request forwarded to another region got no response. For a
  /// back-off time no requests are forwarded to that region.
  void forwardFailed(const RegionId &Region);

  /// Counts bytes sent over the link to another region against its rate.
  void recordForwardedBytes(const RegionId &Region, std::uint64_t Bytes);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
