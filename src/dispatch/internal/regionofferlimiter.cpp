#include "dispatch/regionofferlimiter.h"

#include <algorithm>

namespace celerybeam {

const RegionOfferLimiter::State *
RegionOfferLimiter::find(const RegionId &Region, const PoolName &Pool) const {
  auto Found = States_.find({Region, Pool});
  if (Found == States_.end() ||
      Runtime_.Now() - Found->second.ChangedAt > Memory)
    return nullptr;
  return &Found->second;
}

RegionOfferLimiter::State &RegionOfferLimiter::changed(const RegionId &Region,
                                                       const PoolName &Pool) {
  TimePoint Now = Runtime_.Now();
  std::erase_if(States_, [Now](const auto &Entry) {
    return Now - Entry.second.ChangedAt > Memory;
  });
  State &S = States_[{Region, Pool}];
  S.ChangedAt = Now;
  while (!S.Open.empty() && Now - S.Open.front() > MaxOpen)
    S.Open.pop_front();
  return S;
}

void RegionOfferLimiter::close(State &S, TimePoint OfferedAt) {
  auto Found = std::find(S.Open.begin(), S.Open.end(), OfferedAt);
  if (Found != S.Open.end())
    S.Open.erase(Found);
}

bool RegionOfferLimiter::mayOffer(const RegionId &Region,
                                  const PoolName &Pool) const {
  const State *S = find(Region, Pool);
  if (S == nullptr)
    return true;
  TimePoint Now = Runtime_.Now();
  auto Open = std::count_if(S->Open.begin(), S->Open.end(),
                            [Now](TimePoint T) { return Now - T <= MaxOpen; });
  return Now >= S->ClosedUntil && Open < S->Allowed;
}

Duration RegionOfferLimiter::closedFor(const RegionId &Region,
                                       const PoolName &Pool) const {
  const State *S = find(Region, Pool);
  return S == nullptr
             ? Duration::zero()
             : std::max(Duration::zero(), S->ClosedUntil - Runtime_.Now());
}

void RegionOfferLimiter::recordOffer(const RegionId &Region,
                                     const PoolName &Pool) {
  changed(Region, Pool).Open.push_back(Runtime_.Now());
}

void RegionOfferLimiter::recordServed(const RegionId &Region,
                                      const PoolName &Pool,
                                      TimePoint OfferedAt) {
  State &S = changed(Region, Pool);
  close(S, OfferedAt);
  S.RefusedInARow = 0;
  S.Allowed = std::min(MaxOffers, S.Allowed + 1);
}

void RegionOfferLimiter::recordRefused(const RegionId &Region,
                                       const PoolName &Pool,
                                       TimePoint OfferedAt,
                                       std::optional<Duration> RetryAfter) {
  State &S = changed(Region, Pool);
  close(S, OfferedAt);
  S.Allowed = 1;
  TimePoint Now = Runtime_.Now();
  Duration For = FirstClosed;
  if (RetryAfter)
    For = *RetryAfter;
  else
    for (unsigned I = 0; I < S.RefusedInARow && For < MaxClosed; ++I)
      For *= 2;
  // Offers that were open together are refused together, and count once.
  if (Now >= S.ClosedUntil)
    ++S.RefusedInARow;
  S.ClosedUntil =
      std::max(S.ClosedUntil, Now + std::clamp(For, MinClosed, MaxClosed));
}

void RegionOfferLimiter::recordWithdrawn(const RegionId &Region,
                                         const PoolName &Pool,
                                         TimePoint OfferedAt) {
  close(changed(Region, Pool), OfferedAt);
}

} // namespace celerybeam
