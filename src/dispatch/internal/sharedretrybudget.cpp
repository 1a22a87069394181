#include "dispatch/sharedretrybudget.h"

#include <algorithm>
#include <tuple>

namespace celerybeam {

SharedRetryBudget::SharedRetryBudget(Runtime R, RetryBudgetBounds Bounds)
    : Runtime_(std::move(R)), StartedAt_(Runtime_.Now()), Bounds_(Bounds) {}

std::int64_t SharedRetryBudget::sliceNumber() const {
  auto Length = std::max<std::int64_t>(
      1, Bounds_.Window.count() / static_cast<std::int64_t>(Slices));
  return Runtime_.Now().time_since_epoch().count() / Length;
}

SharedRetryBudget::Slice &SharedRetryBudget::current(const PoolName &Pool) {
  std::int64_t Number = sliceNumber();
  Ring &Slots = Rings_[Pool];
  Slice &S = Slots[static_cast<std::size_t>(Number) % Slots.size()];
  if (S.Number != Number)
    S = {Number, 0, 0};
  return S;
}

void SharedRetryBudget::request(const PoolName &Pool) {
  current(Pool).Requests += 1;
}

double SharedRetryBudget::slackOf(const FleetSize &Sharing) const {
  if (!Sharing.KnownSince)
    return 0;
  TimePoint Since = std::max(StartedAt_, *Sharing.KnownSince);
  if (Runtime_.Now() - Since < WindowsWithoutSlack * Bounds_.Window)
    return 0;
  return Bounds_.Slack /
         static_cast<double>(std::max<std::size_t>(1, Sharing.Hosts));
}

RetryBudgetCheck SharedRetryBudget::check(const PoolName &Pool,
                                          const FleetSize &Sharing) {
  const Slice &Now = current(Pool);
  RetryBudgetCheck Check;
  Check.Hosts = Sharing.KnownSince ? Sharing.Hosts : 0;
  Check.Slack = slackOf(Sharing);
  Check.CountedFor = Runtime_.Now() - StartedAt_;
  for (const Slice &S : Rings_[Pool]) {
    bool InWindow = S.Number > Now.Number - static_cast<std::int64_t>(Slices);
    Check.Requests += InWindow ? S.Requests : 0;
    Check.Extra += InWindow ? S.Extra : 0;
  }
  Check.Allowed = fits(Rings_[Pool], Check.Slack);
  return Check;
}

RetryBudgetCheck SharedRetryBudget::take(const PoolName &Pool,
                                         const FleetSize &Sharing) {
  RetryBudgetCheck Check = check(Pool, Sharing);
  if (Check.Allowed)
    current(Pool).Extra += 1;
  return Check;
}

bool SharedRetryBudget::fits(const Ring &Slots, double Slack) const {
  constexpr std::size_t Ages = std::tuple_size_v<Ring>;
  // Sums over the slices that are younger than an age, in slices.
  std::array<double, Ages + 1> Requests{};
  std::array<double, Ages + 1> Extra{};
  std::int64_t Newest = sliceNumber();
  for (std::size_t Age = 0; Age < Ages; ++Age) {
    std::int64_t Number = Newest - static_cast<std::int64_t>(Age);
    const Slice &S = Slots[static_cast<std::size_t>(Number) % Ages];
    bool Current = S.Number == Number;
    Requests[Age + 1] = Requests[Age] + (Current ? S.Requests : 0);
    Extra[Age + 1] = Extra[Age] + (Current ? S.Extra : 0);
  }
  // A window begins somewhere in its first slice. All extra sends of that slice
  // count, but no requests of slices that are in a whole window only in part.
  for (std::size_t First = 0; First <= Slices; ++First) {
    double Own = Requests[std::min(First + 1, Slices)];
    double Earlier = Requests[First + Slices] - Requests[First + 1];
    double Counted = (1 - EarlierShare) * Own + EarlierShare * Earlier;
    if (Extra[First + 1] + 1 > Bounds_.Ratio * Counted + Slack)
      return false;
  }
  return true;
}

} // namespace celerybeam
