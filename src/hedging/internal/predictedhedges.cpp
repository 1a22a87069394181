#include "hedging/predictedhedges.h"

#include <algorithm>

namespace celerybeam {

namespace {

/// Number of samples between two computations of the quantile.
constexpr unsigned RefreshEvery = 16;
/// Shorter predictions count as this long, so that ratios stay bounded.
constexpr Duration MinPrediction = std::chrono::milliseconds(1);
/// Sums of shares miss whole numbers by rounding.
constexpr double OneHedge = 1 - 1e-9;

double countOf(Duration D) { return static_cast<double>(D.count()); }

} // namespace

void PredictedHedges::setShare(double Share) {
  Share_ = std::clamp(Share, 0., MaxShare);
  if (!isOn())
    Pools_.clear();
}

void PredictedHedges::countRequest(const PoolName &Pool) {
  if (!isOn())
    return;
  PoolState &S = Pools_[Pool];
  S.Available = std::min(MaxAccumulated, S.Available + Share_);
}

void PredictedHedges::observe(const PoolName &Pool, Duration Took,
                              Duration Predicted) {
  if (!isOn())
    return;
  PoolState &S = Pools_[Pool];
  S.Ratios.add(countOf(Took) / countOf(std::max(Predicted, MinPrediction)));
  if (S.Ratio && ++S.SinceRefresh < RefreshEvery)
    return;
  S.SinceRefresh = 0;
  S.Ratio = S.Ratios.quantile(Quantile);
}

std::optional<Duration> PredictedHedges::delay(const PoolName &Pool,
                                               Duration Predicted) const {
  auto Found = Pools_.find(Pool);
  if (!isOn() || Found == Pools_.end() || !Found->second.Ratio)
    return std::nullopt;
  double Count =
      countOf(std::max(Predicted, MinPrediction)) * *Found->second.Ratio;
  return std::max(MinDelay, Duration(static_cast<Duration::rep>(Count)));
}

bool PredictedHedges::canTake(const PoolName &Pool) const {
  auto Found = Pools_.find(Pool);
  return isOn() && Found != Pools_.end() && Found->second.Available >= OneHedge;
}

bool PredictedHedges::take(const PoolName &Pool) {
  if (!canTake(Pool))
    return false;
  Pools_[Pool].Available -= 1;
  return true;
}

} // namespace celerybeam
