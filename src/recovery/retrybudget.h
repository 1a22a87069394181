#ifndef CELERYBEAM_RECOVERY_RETRYBUDGET_H
#define CELERYBEAM_RECOVERY_RETRYBUDGET_H

#include <memory>

#include "blackboard/idtypes.h"
#include "framework/error.h"

namespace celerybeam {

/// Limits the retries of each pool to a share of its successes, so that retries
/// do not multiply the load of failing endpoints.
///
/// Thread-safe. Tokens are dimensionless; the rates are tokens per success.
class RetryBudget {
public:
  RetryBudget();
  ~RetryBudget();

  /// Records a success.
  /// \param TokensPerSuccess  the pool's retry_share, in (0, 1].
  void succeeded(const PoolName &Pool, double TokensPerSuccess);

  /// Takes one token, for one retry. Fails with RetryBudgetExhausted; the
  /// message names the pool's `retry_share` setting.
  Result<void> take(const PoolName &Pool);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
