#ifndef CELERYBEAM_RECOVERY_HEDGEPOLICY_H
#define CELERYBEAM_RECOVERY_HEDGEPOLICY_H

#include <memory>

#include "blackboard/idtypes.h"
#include "framework/error.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Decides when a second attempt of a short request starts to cut the tail.
///
/// Thread-safe. The caller checks that the route allows hedges and that the
/// request may be repeated.
class HedgePolicy {
public:
  HedgePolicy();
  ~HedgePolicy();

  /// Counts a request and the time from its dispatch to its first token.
  /// \param HedgeShare  the pool's hedge_share, in [0, 1].
  void observe(const PoolName &Pool, Duration FirstToken, double HedgeShare);

  /// How long after its dispatch a request without a first token may be
  /// hedged: the pool's 95th percentile, or DefaultDelay before enough
  /// samples.
  Duration hedgeDelay(const PoolName &Pool) const;
  static constexpr Duration DefaultDelay = std::chrono::seconds(1);
  static constexpr Duration MinDelay = std::chrono::milliseconds(20);

  /// Takes the right to one hedge. Fails with RetryBudgetExhausted; the
  /// message names the pool's `hedge_share` setting.
  Result<void> takeHedge(const PoolName &Pool);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
