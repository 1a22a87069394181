#ifndef CELERYBEAM_CONFIGURATION_INTERNAL_TABLEFIELDS_H
#define CELERYBEAM_CONFIGURATION_INTERNAL_TABLEFIELDS_H

#include "blackboard/tabletypes.h"
#include "framework/tomlreader.h"

namespace celerybeam::detail {

// Each function lists the keys of a row once; the reader and the writer of
// rows are both visitors of it.

template <typename Visitor> void visitLimits(Visitor &V, RouteLimits &L) {
  V.number("customer_requests_per_second", L.CustomerRequestsPerSecond, {});
  V.count("customer_concurrency", L.CustomerConcurrency, {});
  V.number("customer_tokens_per_second", L.CustomerTokensPerSecond, {});
  V.number("route_requests_per_second", L.RouteRequestsPerSecond, {});
  V.count("route_concurrency", L.RouteConcurrency, {});
}

template <typename Visitor> void visitWeights(Visitor &V, RouteWeights &W) {
  V.number("send_away_margin", W.ForwardMargin, {1, 100});
  V.number("send_away_share_cap", W.ForwardShareCap, {0, 1});
  V.number("cost_weight", W.CostWeight, {});
}

template <typename Visitor> void visitFields(Visitor &V, RouteRow &Row) {
  V.text("name", Row.Name, Presence::Required);
  V.text("pool", Row.Pool, Presence::Required);
  V.texts("models", Row.Models);
  V.template choice<ResidenceRule>("residence", Row.Residence,
                                   {{"none", ResidenceRule::None},
                                    {"region", ResidenceRule::Region},
                                    {"caller", ResidenceRule::Caller}});
  V.text("residence_region", Row.ResidenceRegion, Presence::Optional);
  V.flag("repeatable", Row.Repeatable);
  V.flag("may_leave_region", Row.MayLeaveRegion);
  V.flag("hedge", Row.Hedge);
  V.duration("default_deadline", Row.DefaultDeadline,
             {std::chrono::milliseconds(10), std::chrono::hours(2)});
  visitLimits(V, Row.Limits);
  visitWeights(V, Row.Weights);
}

template <typename Visitor> void visitFields(Visitor &V, PoolRow &Row) {
  constexpr double MinShare = 0.01;
  constexpr double MaxFactor = 1000;
  V.text("name", Row.Name, Presence::Required);
  V.template choice<PoolKind>("kind", Row.Kind,
                              {{"engine", PoolKind::Engine},
                               {"runner", PoolKind::Runner},
                               {"service", PoolKind::Service}});
  V.text("label", Row.Label, Presence::Required);
  V.text("model", Row.Model, Presence::Optional);
  V.template choice<RunnerCheck>("checks", Row.Checks,
                                 {{"none", RunnerCheck::None},
                                  {"key", RunnerCheck::Key},
                                  {"fencing", RunnerCheck::Fencing}});
  V.number("long_share", Row.LongShare, {MinShare, 1});
  V.number("ejection_cap", Row.EjectionCap, {0, 1});
  V.number("retry_share", Row.RetryShare, {MinShare, 1});
  V.number("hedge_share", Row.HedgeShare, {0, 1});
  V.number("affinity_load_bound", Row.AffinityLoadBound, {1, MaxFactor});
  V.number("slot_cost", Row.SlotCost, {0, MaxFactor});
}

/// The TOML key of the rows of each table, as in "[[route]]".
inline constexpr const char *RouteKey = "route";
inline constexpr const char *PoolKey = "pool";

} // namespace celerybeam::detail

#endif
