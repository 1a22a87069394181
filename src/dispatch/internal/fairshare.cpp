#include "dispatch/fairshare.h"

#include <algorithm>

namespace celerybeam {

namespace {

/// Accounts are searched for expired ones this often.
constexpr Duration ExpiryInterval = std::chrono::seconds(1);

} // namespace

bool FairShare::isActive(const ShareScope &Scope) const {
  return Scopes_.contains(Scope);
}

Duration FairShare::positionIn(const ScopeState &State, const Account &Own) {
  return Own.Waiting > 0 ? Own.Finish : std::max(State.VirtualTime, Own.Finish);
}

Duration FairShare::positionIn(const ScopeState &State,
                               const CustomerId &Customer) {
  auto Found = State.Accounts.find(Customer);
  return Found == State.Accounts.end() ? State.VirtualTime
                                       : positionIn(State, Found->second);
}

Duration FairShare::position(const ShareScope &Scope,
                             const CustomerId &Customer) const {
  auto Found = Scopes_.find(Scope);
  return Found == Scopes_.end() ? Duration()
                                : positionIn(Found->second, Customer);
}

Duration FairShare::position(const ShareScope &Scope,
                             const CustomerId &Customer,
                             AccountCache &Cache) const {
  if (Cache.Own_ != nullptr && Cache.Expiry_ == Expiries_)
    return positionIn(*Cache.State_, *Cache.Own_);
  Cache.Own_ = nullptr;
  auto Found = Scopes_.find(Scope);
  if (Found == Scopes_.end())
    return {};
  const ScopeState &State = Found->second;
  auto Own = State.Accounts.find(Customer);
  if (Own == State.Accounts.end())
    return State.VirtualTime;
  Cache.State_ = &State;
  Cache.Own_ = &Own->second;
  Cache.Expiry_ = Expiries_;
  return positionIn(State, Own->second);
}

FairShare::ScopeState *FairShare::stateFor(const ShareScope &Scope,
                                           const CustomerId &Customer) {
  if (!Customer.empty())
    return &Scopes_[Scope];
  auto Found = Scopes_.find(Scope);
  return Found == Scopes_.end() ? nullptr : &Found->second;
}

void FairShare::beginWait(const ShareScope &Scope, const CustomerId &Customer,
                          TimePoint Now) {
  ScopeState *State = stateFor(Scope, Customer);
  if (State == nullptr)
    return;
  Duration Position = positionIn(*State, Customer);
  Account &Own = State->Accounts[Customer];
  Own.Finish = Position;
  ++Own.Waiting;
  Own.UsedAt = std::max(Own.UsedAt, Now);
}

void FairShare::endWait(const ShareScope &Scope, const CustomerId &Customer) {
  auto Found = Scopes_.find(Scope);
  if (Found == Scopes_.end())
    return;
  auto Own = Found->second.Accounts.find(Customer);
  // Requests without a customer may have begun to wait before the scope was
  // active.
  if (Own != Found->second.Accounts.end() && Own->second.Waiting > 0)
    --Own->second.Waiting;
}

bool FairShare::hasWaitAhead(const ShareScope &Scope,
                             const CustomerId &Customer) const {
  auto Found = Scopes_.find(Scope);
  if (Found == Scopes_.end())
    return false;
  Duration Position = positionIn(Found->second, Customer);
  const auto &Accounts = Found->second.Accounts;
  return std::any_of(Accounts.begin(), Accounts.end(), [&](const auto &Entry) {
    const auto &[Other, State] = Entry;
    return State.Waiting > 0 && (Other == Customer || State.Finish <= Position);
  });
}

void FairShare::charge(const ShareScope &Scope, const CustomerId &Customer,
                       Duration Occupancy, TimePoint Now) {
  ScopeState *State = stateFor(Scope, Customer);
  if (State == nullptr)
    return;
  Duration Start = positionIn(*State, Customer);
  State->VirtualTime = std::max(State->VirtualTime, Start);
  Account &Own = State->Accounts[Customer];
  Own.Finish = Start + Occupancy;
  Own.UsedAt = std::max(Own.UsedAt, Now);
}

void FairShare::expire(TimePoint Now) {
  if (Now - ExpiredAt_ < ExpiryInterval)
    return;
  ExpiredAt_ = Now;
  ++Expiries_;
  for (auto &[Scope, State] : Scopes_)
    std::erase_if(State.Accounts, [&](const auto &Entry) {
      return Entry.second.Waiting == 0 && Now - Entry.second.UsedAt > Retention;
    });
  std::erase_if(Scopes_, [](const auto &Entry) {
    const auto &Accounts = Entry.second.Accounts;
    return Accounts.empty() ||
           (Accounts.size() == 1 && Accounts.begin()->first.empty() &&
            Accounts.begin()->second.Waiting == 0);
  });
}

std::size_t FairShare::size() const {
  std::size_t Sum = 0;
  for (const auto &[Scope, State] : Scopes_)
    Sum += State.Accounts.size();
  return Sum;
}

} // namespace celerybeam
