#include "hedging/hedgepolicy.h"

#include <algorithm>

#include "framework/shardedmap.h"
#include "hedging/quantilewindow.h"

namespace celerybeam {

namespace {

/// Maximum of hedges that accumulate while none are used.
constexpr double Capacity = 5;
constexpr double HedgeQuantile = 0.95;
/// Number of samples between two computations of the quantile.
constexpr unsigned RefreshEvery = 16;

struct PoolState {
  LatencyWindow Window;
  Duration Delay = HedgePolicy::DefaultDelay;
  unsigned SinceRefresh = 0;
  double Tokens = 0;
};

void refreshDelay(PoolState &S) {
  if (++S.SinceRefresh < RefreshEvery)
    return;
  S.SinceRefresh = 0;
  if (auto Quantile = S.Window.quantile(HedgeQuantile))
    S.Delay = std::max(*Quantile, HedgePolicy::MinDelay);
}

} // namespace

class HedgePolicy::Impl {
public:
  ShardedMap<PoolName, PoolState> Pools_;
};

HedgePolicy::HedgePolicy() : Impl_(std::make_unique<Impl>()) {}
HedgePolicy::~HedgePolicy() = default;

void HedgePolicy::observe(const PoolName &Pool, Duration FirstToken,
                          double HedgeShare) {
  Impl_->Pools_.upsert(Pool, [&](PoolState &S) {
    S.Window.add(FirstToken);
    S.Tokens = std::min(Capacity, S.Tokens + HedgeShare);
    refreshDelay(S);
  });
}

Duration HedgePolicy::hedgeDelay(const PoolName &Pool) const {
  Duration Delay = DefaultDelay;
  Impl_->Pools_.update(Pool, [&](const PoolState &S) { Delay = S.Delay; });
  return Delay;
}

Result<void> HedgePolicy::takeHedge(const PoolName &Pool) {
  bool Taken = Impl_->Pools_.upsert(Pool, [](PoolState &S) {
    if (S.Tokens < 1)
      return false;
    S.Tokens -= 1;
    return true;
  });
  if (Taken)
    return {};
  return makeError(ErrorKind::RetryBudgetExhausted,
                   "The hedges of pool " + Pool.str() +
                       " are used up. Look for slow endpoints, or raise "
                       "hedge_share of the pool in pools.toml.");
}

} // namespace celerybeam
