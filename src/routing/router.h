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

/// Chooses the endpoint, or the region, that serves a request.
///
/// Reads: tables, endpoints, peers (pool loads of other regions).
/// Writes: nothing on the blackboard; keeps the send-away state of its own.
/// Wakes: on each request, tick. Thread-safe.
class Router {
public:
  Router(Blackboard &Board, Runtime R,
         const RouterSettings &Settings = RouterSettings());
  ~Router();

  /// Chooses for one attempt. Errors: UnknownRoute, NoEndpoint (none in the
  /// pool can serve), NoCapacityInTime (none by the deadline; RetryAfter
  /// set).
  Result<RouteChoice> choose(const RouteQuery &Query);

  /// Decides before admission, while a request would wait here, whether it is
  /// worth a trip to another region; empty when it stays. Query.QueueWait
  /// counts towards the wait here.
  std::optional<SendAway> chooseAway(const RouteQuery &Query);

  /// Every candidate of the pool with its score or exclusion; changes
  /// nothing.
  std::vector<CandidateView> explain(const RouteQuery &Query) const;

  /// Renews the views of pools in use, so that decisions need not. Call every
  /// TickInterval; without it each decision that meets an old view renews it.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(50);

  /// Accounts for bytes that went over the link to another region.
  void sentAway(const RegionId &Region, std::uint64_t Bytes);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
