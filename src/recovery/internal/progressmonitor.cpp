#include "recovery/progressmonitor.h"

#include <algorithm>
#include <string>

#include "framework/shardedmap.h"
#include "hedging/quantilewindow.h"

namespace celerybeam {

namespace {

constexpr double TimeoutQuantile = 0.99;
/// Multiple of the quantile from which a wait counts as a stall.
constexpr int StallFactor = 4;
/// Multiple of the median token gap from which a stream is moved to another
/// endpoint.
constexpr double SlowFactor = 2.5;
/// Time that a stream must have lost before it is moved, so that the move gains
/// more than the prefill costs that another endpoint repeats.
constexpr Duration MinLostTime = std::chrono::milliseconds(400);
/// Number of samples between two computations of the quantiles.
constexpr unsigned RefreshEvery = 32;

struct LatencyQuantiles {
  LatencyWindow Window;
  std::optional<Duration> Quantile;
  std::optional<Duration> Median;
  unsigned SinceRefresh = RefreshEvery - 1;

  void add(Duration D) {
    Window.add(D);
    if (++SinceRefresh < RefreshEvery && Quantile)
      return;
    SinceRefresh = 0;
    Quantile = Window.quantile(TimeoutQuantile);
    Median = Window.quantile(0.5);
  }
};

struct PoolLatencies {
  LatencyQuantiles FirstTokenShort;
  LatencyQuantiles FirstTokenLong;
  LatencyQuantiles Gap;

  LatencyQuantiles &firstToken(RequestClass Class) {
    return Class == RequestClass::Short ? FirstTokenShort : FirstTokenLong;
  }
};

} // namespace

Duration progressTimeout(std::optional<Duration> Quantile,
                         const ProgressLimits &Limits) {
  if (!Quantile)
    return Limits.Ceiling;
  return std::clamp(*Quantile * StallFactor, Limits.Floor, Limits.Ceiling);
}

class ProgressMonitor::Impl {
public:
  ShardedMap<PoolName, PoolLatencies> Pools_;
};

ProgressMonitor::ProgressMonitor() : Impl_(std::make_unique<Impl>()) {}
ProgressMonitor::~ProgressMonitor() = default;

void ProgressMonitor::observeFirstToken(const PoolName &Pool,
                                        RequestClass Class, Duration D) {
  Impl_->Pools_.upsert(Pool,
                       [&](PoolLatencies &P) { P.firstToken(Class).add(D); });
}

void ProgressMonitor::observeGap(const PoolName &Pool, Duration D) {
  Impl_->Pools_.upsert(Pool, [&](PoolLatencies &P) { P.Gap.add(D); });
}

Duration ProgressMonitor::firstTokenTimeout(const PoolName &Pool,
                                            RequestClass Class) const {
  std::optional<Duration> Quantile;
  Impl_->Pools_.update(
      Pool, [&](PoolLatencies &P) { Quantile = P.firstToken(Class).Quantile; });
  return progressTimeout(Quantile, FirstTokenLimits);
}

Duration ProgressMonitor::gapTimeout(const PoolName &Pool) const {
  std::optional<Duration> Quantile;
  Impl_->Pools_.update(Pool,
                       [&](PoolLatencies &P) { Quantile = P.Gap.Quantile; });
  return progressTimeout(Quantile, GapLimits);
}

bool ProgressMonitor::isSlow(const PoolName &Pool, std::uint32_t Tokens,
                             Duration SinceFirstToken) const {
  std::optional<Duration> Median;
  Impl_->Pools_.update(Pool, [&](PoolLatencies &P) { Median = P.Gap.Median; });
  if (!Median)
    return false;
  Duration Expected = *Median * Tokens;
  auto Limit = Duration(static_cast<Duration::rep>(
      SlowFactor * static_cast<double>(Expected.count())));
  return SinceFirstToken > Limit && SinceFirstToken - Expected > MinLostTime;
}

} // namespace celerybeam
