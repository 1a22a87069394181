#include "fleet/routetraffic.h"

#include <cmath>

namespace celerybeam {

namespace {

/// Routes with less weight are forgotten, since tables change for as long as
/// the host runs.
constexpr double MinWeight = 0.01;

} // namespace

double RouteTraffic::weightNow(const Counter &Count) const {
  std::chrono::duration<double> Age = Runtime_.Now() - Count.At;
  std::chrono::duration<double> Half = HalfLife;
  return Count.Weight * std::exp2(-Age.count() / Half.count());
}

void RouteTraffic::dropForgotten() {
  if (Runtime_.Now() - DroppedAt_ < HalfLife)
    return;
  DroppedAt_ = Runtime_.Now();
  std::erase_if(Counters_, [this](const auto &Entry) {
    return weightNow(Entry.second) < MinWeight;
  });
}

void RouteTraffic::record(const RouteName &Route) {
  dropForgotten();
  Counter &Count = Counters_[Route];
  Count = {weightNow(Count) + 1, Runtime_.Now()};
}

double RouteTraffic::weight(const RouteName &Route) const {
  auto Found = Counters_.find(Route);
  return Found == Counters_.end() ? 0 : weightNow(Found->second);
}

} // namespace celerybeam
