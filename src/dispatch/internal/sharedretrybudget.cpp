#include "dispatch/sharedretrybudget.h"

#include <algorithm>

namespace celerybeam {

SharedRetryBudget::SharedRetryBudget(Runtime R, RetryBudgetBounds Bounds)
    : Runtime_(std::move(R)), Bounds_(Bounds) {}

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

bool SharedRetryBudget::take(const PoolName &Pool, std::size_t Hosts) {
  Slice &Now = current(Pool);
  double Requests = 0;
  double Extra = 0;
  // Extra sends of the oldest slice count, its requests do not: the window
  // holds at most a part of it.
  for (const Slice &S : Rings_[Pool]) {
    std::int64_t Age = Now.Number - S.Number;
    if (Age < static_cast<std::int64_t>(Slices))
      Requests += S.Requests;
    if (Age <= static_cast<std::int64_t>(Slices))
      Extra += S.Extra;
  }
  double Share =
      Bounds_.Ratio * Requests +
      Bounds_.Slack / static_cast<double>(std::max<std::size_t>(1, Hosts));
  if (Extra + 1 > Share)
    return false;
  Now.Extra += 1;
  return true;
}

} // namespace celerybeam
