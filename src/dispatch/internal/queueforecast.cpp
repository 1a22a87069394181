#include "dispatch/queueforecast.h"

#include <algorithm>
#include <cmath>

namespace celerybeam {

namespace {

/// Shorter predictions of a wait say little of how good they are.
constexpr Duration LeastWait = std::chrono::milliseconds(20);
/// Weight and bound of one observed wait, and bounds of what is learned.
constexpr double ObservationWeight = 0.05;
constexpr double MostRatio = 4;
constexpr double LeastFactor = 0.5;
constexpr double MostFactor = 4;

double decay(Duration Passed) {
  return std::exp(-static_cast<double>(Passed.count()) /
                  static_cast<double>(QueueForecast::DemandMemory.count()));
}

Duration spread(Duration Work, std::size_t Places, double Factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Work.count()) * Factor /
      static_cast<double>(std::max<std::size_t>(1, Places))));
}

} // namespace

void QueueForecast::arrived(const PoolName &Pool, Duration Work) {
  PoolState &S = Pools_[Pool];
  TimePoint Now = Runtime_.Now();
  S.RecentUs =
      S.RecentUs * decay(Now - S.At) + static_cast<double>(Work.count());
  S.At = Now;
}

void QueueForecast::waited(const PoolName &Pool, Duration Predicted,
                           Duration Took) {
  if (Predicted < LeastWait)
    return;
  double Ratio = std::clamp(static_cast<double>(Took.count()) /
                                static_cast<double>(Predicted.count()),
                            1 / MostRatio, MostRatio);
  double &Factor = Pools_[Pool].Factor;
  Factor = std::clamp(Factor * std::pow(Ratio, ObservationWeight), LeastFactor,
                      MostFactor);
}

double QueueForecast::factor(const PoolName &Pool) const {
  auto Found = Pools_.find(Pool);
  return Found == Pools_.end() ? 1 : Found->second.Factor;
}

double QueueForecast::demand(const PoolName &Pool, std::size_t Places) const {
  auto Found = Pools_.find(Pool);
  if (Found == Pools_.end() || Places == 0)
    return 0;
  const PoolState &S = Found->second;
  return S.RecentUs * decay(Runtime_.Now() - S.At) /
         (static_cast<double>(DemandMemory.count()) *
          static_cast<double>(Places));
}

Duration QueueForecast::onTimeWait(const PoolName &Pool, const WorkAhead &Ahead,
                                   std::size_t Places) const {
  return spread(Ahead.OnTime, Places, factor(Pool));
}

Duration QueueForecast::lateWait(const PoolName &Pool, const WorkAhead &Ahead,
                                 std::size_t Places) const {
  double Spare = std::max(LeastLateShare, 1 - demand(Pool, Places));
  return spread(Ahead.OnTime + Ahead.Late, Places, factor(Pool) / Spare);
}

} // namespace celerybeam
