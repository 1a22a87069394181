#include "fakestore.h"

#include <algorithm>
#include <utility>

namespace celerybeam::fakes {

FakeValue FakeStore::get(const std::string &Key) {
  std::lock_guard Lock(Mutex_);
  expire();
  return Values_[Key];
}

FakeValue FakeStore::waitAfter(const std::string &Key, std::uint64_t After,
                               Millis Wait) {
  std::unique_lock Lock(Mutex_);
  const Clock::time_point End = Clock::now() + Wait;
  while (true) {
    expire();
    FakeValue &V = Values_[Key];
    if (V.Version > After || Stopping_ || Clock::now() >= End)
      return V;
    Changed_.wait_until(Lock, nextExpiry(End));
  }
}

FakeStore::PutOutcome FakeStore::put(const std::string &Key, std::string Data,
                                     std::uint64_t Expected,
                                     const std::string &Lease) {
  std::lock_guard Lock(Mutex_);
  expire();
  FakeValue &V = Values_[Key];
  if (!Lease.empty() && !Leases_.contains(Lease))
    return {PutStatus::NoLease, V.Version};
  const std::uint64_t Standing = V.Data ? V.Version : 0;
  if (Standing != Expected)
    return {PutStatus::Conflict, Standing};
  V.Data = std::move(Data);
  V.Lease = Lease;
  ++V.Version;
  Changed_.notify_all();
  return {PutStatus::Written, V.Version};
}

std::string FakeStore::grant(Millis TimeToLive) {
  std::lock_guard Lock(Mutex_);
  std::string Id = "lease-" + std::to_string(++LastLease_);
  Leases_[Id] = {TimeToLive, Clock::now() + TimeToLive};
  Changed_.notify_all();
  return Id;
}

std::optional<Millis> FakeStore::renew(const std::string &Lease) {
  std::lock_guard Lock(Mutex_);
  expire();
  auto It = Leases_.find(Lease);
  if (It == Leases_.end())
    return std::nullopt;
  It->second.Expiry = Clock::now() + It->second.TimeToLive;
  return It->second.TimeToLive;
}

void FakeStore::release(const std::string &Lease) {
  std::lock_guard Lock(Mutex_);
  if (Leases_.erase(Lease) > 0)
    drop(Lease);
}

void FakeStore::stop() {
  std::lock_guard Lock(Mutex_);
  Stopping_ = true;
  Changed_.notify_all();
}

void FakeStore::expire() {
  const Clock::time_point Now = Clock::now();
  for (auto It = Leases_.begin(); It != Leases_.end();) {
    if (It->second.Expiry > Now) {
      ++It;
      continue;
    }
    std::string Ended = It->first;
    It = Leases_.erase(It);
    drop(Ended);
  }
}

void FakeStore::drop(const std::string &Lease) {
  for (auto &[Key, V] : Values_) {
    if (!V.Data || V.Lease != Lease)
      continue;
    V.Data.reset();
    ++V.Version;
  }
  Changed_.notify_all();
}

Clock::time_point FakeStore::nextExpiry(Clock::time_point Latest) const {
  for (const auto &[Id, L] : Leases_)
    Latest = std::min(Latest, L.Expiry);
  return Latest;
}

} // namespace celerybeam::fakes
