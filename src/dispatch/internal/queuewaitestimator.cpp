#include "dispatch/queuewaitestimator.h"

#include <algorithm>
#include <cmath>

namespace celerybeam {

namespace {

/// Shorter predicted waits say little about the quality of the prediction.
constexpr Duration MinWait = std::chrono::milliseconds(20);
/// Weight and limit of one observed wait, and limits of the learned factor.
constexpr double ObservationWeight = 0.05;
constexpr double MaxRatio = 4;
constexpr double MinFactor = 0.5;
constexpr double MaxFactor = 4;

double decay(Duration Passed) {
  return std::exp(
      -static_cast<double>(Passed.count()) /
      static_cast<double>(QueueWaitEstimator::DemandMemory.count()));
}

Duration spread(Duration Occupancy, std::size_t Slots, double Factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Occupancy.count()) * Factor /
      static_cast<double>(std::max<std::size_t>(1, Slots))));
}

} // namespace

void QueueWaitEstimator::recordArrival(const PoolName &Pool,
                                       Duration Occupancy) {
  PoolState &S = Pools_[Pool];
  TimePoint Now = Runtime_.Now();
  S.RecentUs =
      S.RecentUs * decay(Now - S.At) + static_cast<double>(Occupancy.count());
  S.At = Now;
}

void QueueWaitEstimator::recordWait(const PoolName &Pool, Duration Predicted,
                                    Duration Took) {
  if (Predicted < MinWait)
    return;
  double Ratio = std::clamp(static_cast<double>(Took.count()) /
                                static_cast<double>(Predicted.count()),
                            1 / MaxRatio, MaxRatio);
  double &Factor = Pools_[Pool].Factor;
  Factor = std::clamp(Factor * std::pow(Ratio, ObservationWeight), MinFactor,
                      MaxFactor);
}

double QueueWaitEstimator::factor(const PoolName &Pool) const {
  auto Found = Pools_.find(Pool);
  return Found == Pools_.end() ? 1 : Found->second.Factor;
}

double QueueWaitEstimator::demand(const PoolName &Pool,
                                  std::size_t Slots) const {
  auto Found = Pools_.find(Pool);
  if (Found == Pools_.end() || Slots == 0)
    return 0;
  const PoolState &S = Found->second;
  return S.RecentUs * decay(Runtime_.Now() - S.At) /
         (static_cast<double>(DemandMemory.count()) *
          static_cast<double>(Slots));
}

Duration QueueWaitEstimator::onTimeWait(const PoolName &Pool,
                                        const QueuedServiceTime &Ahead,
                                        std::size_t Slots) const {
  return spread(Ahead.OnTime, Slots, factor(Pool));
}

Duration QueueWaitEstimator::lateWait(const PoolName &Pool,
                                      const QueuedServiceTime &Ahead,
                                      std::size_t Slots) const {
  double Spare = std::max(MinLateShare, 1 - demand(Pool, Slots));
  return spread(Ahead.OnTime + Ahead.Late, Slots, factor(Pool) / Spare);
}

} // namespace celerybeam
