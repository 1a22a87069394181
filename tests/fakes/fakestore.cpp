#include "fakestore.h"

#include <algorithm>
#include <fstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace celerybeam::fakes {

FakeStore::FakeStore(const std::string &File) {
  std::ifstream In(File, std::ios::binary);
  if (!In)
    return;
  const nlohmann::json All = nlohmann::json::from_cbor(In);
  for (const auto &[Key, Entry] : All.items()) {
    FakeValue &V = Values_[Key];
    V.Version = Entry.at("version");
    V.Lease = Entry.at("lease");
    if (!Entry.contains("data"))
      continue;
    const auto &Bytes = Entry.at("data").get_binary();
    V.Data = std::string(Bytes.begin(), Bytes.end());
    // The lease was not kept, so its values end now.
    if (!V.Lease.empty())
      drop(V.Lease);
  }
}

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

void FakeStore::save(const std::string &File) {
  std::lock_guard Lock(Mutex_);
  nlohmann::json All = nlohmann::json::object();
  for (const auto &[Key, V] : Values_) {
    nlohmann::json &Entry = All[Key];
    Entry["version"] = V.Version;
    Entry["lease"] = V.Lease;
    if (V.Data)
      Entry["data"] = nlohmann::json::binary({V.Data->begin(), V.Data->end()});
  }
  std::ofstream Out(File, std::ios::binary);
  nlohmann::json::to_cbor(All, Out);
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
