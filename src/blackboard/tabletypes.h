#ifndef CELERYBEAM_BLACKBOARD_TABLETYPES_H
#define CELERYBEAM_BLACKBOARD_TABLETYPES_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Short questions have priority over long drafts.
enum class RequestClass { Short, Long };

/// The region in which the data of a route's requests must be handled.
enum class ResidenceRule {
  /// Anywhere.
  None,
  /// In the one region that the row names.
  Region,
  /// In the region that the caller's Celerybeam-Region header names.
  Caller,
};

/// What kind of endpoint a pool groups.
enum class PoolKind { Engine, Runner, Service };

/// What a booking runner verifies before it executes an order.
enum class RunnerCheck {
  /// Nothing: a repeated order runs again.
  None,
  /// The idempotency key: a repeated order returns the first outcome.
  Key,
  /// The fencing number: an order with an older number is refused.
  Fencing,
};

/// Admission limits of a route; 0 means no limit. Rates are per second and
/// apply to the whole region.
struct RouteLimits {
  double CustomerRequestsPerSecond = 0;
  std::uint32_t CustomerConcurrency = 0;
  double CustomerTokensPerSecond = 0;
  double RouteRequestsPerSecond = 0;
  std::uint32_t RouteConcurrency = 0;
};

/// Weights for the decision to forward a route's request to another region.
struct RouteWeights {
  /// How much cheaper, in predicted time, another region must be before a
  /// request is forwarded there; dimensionless, above 1.
  double ForwardMargin = 1.5;
  /// Greatest share of the route's requests that is forwarded, in [0, 1].
  double ForwardShareCap = 0.2;
  /// Seconds of predicted time that count as much as one unit of cost.
  double CostWeight = 0;
};

/// A row of routes.toml: the requests of a route, their pool and limits.
struct RouteRow {
  RouteName Name;
  PoolName Pool;
  /// The models that this route serves; empty for plain services.
  std::vector<ModelName> Models;
  ResidenceRule Residence = ResidenceRule::None;
  /// Set for ResidenceRule::Region.
  RegionId ResidenceRegion;
  /// Whether a POST may be retried. False: it is a booking and runs at most
  /// once.
  bool Repeatable = true;
  /// Whether requests may be served by another region.
  bool MayLeaveRegion = false;
  /// Whether repeatable short requests may be hedged.
  bool Hedge = false;
  /// Deadline for requests that carry none.
  Duration DefaultDeadline = std::chrono::seconds(60);
  RouteLimits Limits;
  RouteWeights Weights;
};

/// A row of pools.toml: endpoints that serve the same requests.
struct PoolRow {
  PoolName Name;
  PoolKind Kind = PoolKind::Engine;
  /// Endpoints belong to the pool when the platform's list gives this label.
  std::string Label;
  /// The model that engines of the pool must have loaded; empty for others.
  ModelName Model;
  RunnerCheck Checks = RunnerCheck::None;
  /// Share of each endpoint's slots that long drafts may take, in (0, 1].
  double LongShare = 0.75;
  /// Greatest share of endpoints on probation at a time, in [0, 1].
  double EjectionCap = 0.3;
  /// Retries allowed for each success, in (0, 1].
  double RetryShare = 0.1;
  /// Hedged attempts allowed for each request, in [0, 1]; they reduce the tail
  /// latency.
  double HedgeShare = 0.02;
  /// Ratio of an endpoint's load to the pool's mean above which prefix affinity
  /// is ignored; at least 1.
  double AffinityLoadBound = 1.25;
  /// Relative cost of one second of a slot, by default 1.
  double SlotCost = 1;
};

/// Both tables of one revision. Immutable once published.
struct Tables {
  Revision Number = 0;
  std::vector<RouteRow> Routes;
  std::vector<PoolRow> Pools;

  const RouteRow *findRoute(const RouteName &Name) const;
  const PoolRow *findPool(const PoolName &Name) const;
  /// The first route that serves the model.
  const RouteRow *findRouteOfModel(const ModelName &Model) const;
};

using TablesSnapshot = std::shared_ptr<const Tables>;

} // namespace celerybeam

#endif
