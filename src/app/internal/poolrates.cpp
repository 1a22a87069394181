#include "app/internal/poolrates.h"

#include <optional>

namespace celerybeam {

namespace {

std::int64_t secondOf(TimePoint Now) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             Now.time_since_epoch())
      .count();
}

} // namespace

void PoolRates::count(const PoolName &Pool, bool IsForwarded, TimePoint Now) {
  std::int64_t Number = secondOf(Now);
  Pools_.upsert(Pool, [&](Window &W) {
    Second &S = W[static_cast<std::size_t>(Number) % WindowSeconds];
    if (S.Number != Number)
      S = Second{Number, 0, 0};
    ++S.Requests;
    S.Forwarded += IsForwarded ? 1 : 0;
    return true;
  });
}

PoolRates::Second PoolRates::sum(const PoolName &Pool, TimePoint Now) const {
  Second Sum;
  std::optional<Window> W = Pools_.find(Pool);
  if (!W)
    return Sum;
  std::int64_t Oldest = secondOf(Now) - WindowSeconds;
  for (const Second &S : *W) {
    if (S.Number <= Oldest)
      continue;
    Sum.Requests += S.Requests;
    Sum.Forwarded += S.Forwarded;
  }
  return Sum;
}

double PoolRates::rate(const PoolName &Pool, TimePoint Now) const {
  return static_cast<double>(sum(Pool, Now).Requests) / WindowSeconds;
}

double PoolRates::forwardedShare(const PoolName &Pool, TimePoint Now) const {
  Second Sum = sum(Pool, Now);
  return Sum.Requests == 0 ? 0
                           : static_cast<double>(Sum.Forwarded) / Sum.Requests;
}

} // namespace celerybeam
