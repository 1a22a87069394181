#include "recovery/retrybudget.h"

#include <algorithm>

#include "framework/shardedmap.h"

namespace celerybeam {

namespace {

/// Maximum number of tokens of a pool. Limits the retry storm that tokens
/// accumulated during a long time without failures would allow.
constexpr double Capacity = 10;
/// Tokens of a pool before its first success.
constexpr double InitialTokens = 3;

struct Bucket {
  double Tokens = InitialTokens;
};

} // namespace

class RetryBudget::Impl {
public:
  ShardedMap<PoolName, Bucket> Buckets_;
};

RetryBudget::RetryBudget() : Impl_(std::make_unique<Impl>()) {}
RetryBudget::~RetryBudget() = default;

void RetryBudget::succeeded(const PoolName &Pool, double TokensPerSuccess) {
  Impl_->Buckets_.upsert(Pool, [&](Bucket &B) {
    B.Tokens = std::min(Capacity, B.Tokens + TokensPerSuccess);
  });
}

Result<void> RetryBudget::take(const PoolName &Pool) {
  bool Taken = Impl_->Buckets_.upsert(Pool, [](Bucket &B) {
    if (B.Tokens < 1)
      return false;
    B.Tokens -= 1;
    return true;
  });
  if (Taken)
    return {};
  return makeError(ErrorKind::RetryBudgetExhausted,
                   "The retry budget of pool " + Pool.str() +
                       " is used up; its endpoints fail often. Mend them, or "
                       "raise retry_share of the pool in pools.toml.");
}

} // namespace celerybeam
