#ifndef CELERYBEAM_HEDGING_HEDGEPOLICY_H
#define CELERYBEAM_HEDGING_HEDGEPOLICY_H

#include <memory>

#include "blackboard/idtypes.h"
#include "framework/error.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Decides when a short request without a first token gets a second, hedged
/// attempt, which reduces tail latency. Limits hedges to a share of each pool's
/// requests.
///
/// Thread-safe. The caller checks that the route allows hedges and that the
/// request may be repeated.
class HedgePolicy {
public:
  HedgePolicy();
  ~HedgePolicy();

  /// Records the time from dispatch to first token of a request.
  /// \param HedgeShare  the pool's hedge_share, in [0, 1].
  void observe(const PoolName &Pool, Duration FirstToken, double HedgeShare);

  /// Time after dispatch from which a request without a first token may be
  /// hedged: the pool's 95th percentile, at least MinDelay, or DefaultDelay
  /// until there are enough samples.
  Duration hedgeDelay(const PoolName &Pool) const;
  static constexpr Duration DefaultDelay = std::chrono::seconds(1);
  static constexpr Duration MinDelay = std::chrono::milliseconds(20);

  /// Takes the budget for one hedge. Fails with RetryBudgetExhausted; the
  /// message names the pool's `hedge_share` setting.
  Result<void> takeHedge(const PoolName &Pool);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
