#ifndef CELERYBEAM_FLEET_ROUTETRAFFIC_H
#define CELERYBEAM_FLEET_ROUTETRAFFIC_H

#include <unordered_map>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Counts the recent requests of each route, older ones with less weight.
class RouteTraffic {
public:
  explicit RouteTraffic(Runtime R) : Runtime_(std::move(R)) {}

  /// Counts a request that a caller sent to this host.
  void record(const RouteName &Route);
  /// Recent requests of a route; a request counts half after HalfLife.
  double weight(const RouteName &Route) const;

  static constexpr Duration HalfLife = std::chrono::seconds(20);

private:
  struct Counter {
    double Weight = 0;
    TimePoint At{};
  };

  double weightNow(const Counter &Count) const;
  void dropForgotten();

  Runtime Runtime_;
  std::unordered_map<RouteName, Counter> Counters_;
  TimePoint DroppedAt_{};
};

} // namespace celerybeam

#endif
