#include "support/fakestore.h"

#include <memory>
#include <utility>

namespace celerybeam::testing {

namespace {

constexpr Duration LateArrival = std::chrono::seconds(2);
constexpr std::size_t MaxValueBytes = 1U << 20U;

Error storeError(ErrorKind Kind) {
  return {Kind, "the fake store was told to fail; look at the test's faults"};
}

/// Completes once, whichever of reply and timeout comes first.
template <typename T> Completion<T> once(Completion<T> Done) {
  auto Fired = std::make_shared<bool>(false);
  return [Fired, Done = std::move(Done)](Result<T> R) {
    if (!std::exchange(*Fired, true))
      Done(std::move(R));
  };
}

} // namespace

FakeStore::FakeStore(VirtualTime &Time, Duration Latency)
    : Time_(Time), Latency_(Latency) {}

void FakeStore::setCutOff(const HostId &Host, bool CutOff) {
  if (CutOff)
    CutOff_.insert(Host);
  else
    CutOff_.erase(Host);
}

template <typename T>
void FakeStore::call(const VirtualHost &Host, ErrorKind OnTimeout,
                     std::function<Result<T>()> Effect, Completion<T> Done) {
  Completion<T> Reply = once<T>(std::move(Done));
  if (OnCall)
    OnCall(Host.id());
  if (Host.crashed())
    return;
  if (Down_) {
    Host.post(Latency_, [Reply] {
      Reply(tl::unexpected(storeError(ErrorKind::StoreUnreachable)));
    });
    return;
  }
  Host.post(CallTimeout, [Reply, OnTimeout] {
    Reply(tl::unexpected(storeError(OnTimeout)));
  });
  StoreFault Fault = PickFault ? PickFault() : StoreFault::None;
  if (CutOff_.count(Host.id()) > 0 || Fault == StoreFault::LoseRequest)
    return;
  Duration Arrival = Latency_ / 2;
  if (Fault == StoreFault::DelayRequest)
    Arrival = LateArrival;
  Time_.after(Arrival, [this, Host, Reply, Fault, Effect] {
    if (Down_)
      return;
    Result<T> Answer = Effect();
    if (Fault == StoreFault::DuplicateRequest)
      Effect();
    if (Fault == StoreFault::LoseReply || CutOff_.count(Host.id()) > 0)
      return;
    Host.post(Latency_ / 2, [Reply, Answer] { Reply(Answer); });
  });
}

StoreHooks FakeStore::hooks(const VirtualHost &Host) {
  constexpr ErrorKind Unreachable = ErrorKind::StoreUnreachable;
  constexpr ErrorKind Unknown = ErrorKind::StoreOutcomeUnknown;
  StoreHooks Hooks;
  Hooks.Get = [=, this](const StoreKey &Key, Completion<StoreValue> Done) {
    ++Reads_;
    call<StoreValue>(
        Host, Unreachable, [=, this] { return get(Key); }, std::move(Done));
  };
  Hooks.Put = [=, this](const StorePut &Put, Completion<StoreVersion> Done) {
    ++Writes_;
    call<StoreVersion>(
        Host, Unknown, [=, this] { return put(Put); }, std::move(Done));
  };
  Hooks.Watch = [=, this](const StoreWatch &Watch,
                          Completion<StoreValue> Done) {
    ++Reads_;
    watch(Host, Watch, std::move(Done));
  };
  Hooks.GrantLease = [=, this](Duration Ttl, Completion<StoreLease> Done) {
    ++Writes_;
    auto Grant = [=, this]() -> Result<StoreLease> {
      LeaseId Id("lease-" + std::to_string(NextLease_++));
      Leases_[Id] = {Time_.now() + Ttl, Ttl};
      return StoreLease{Id, Ttl};
    };
    call<StoreLease>(Host, Unknown, Grant, std::move(Done));
  };
  Hooks.RenewLease = [=, this](const LeaseId &Id, Completion<StoreLease> Done) {
    ++Writes_;
    call<StoreLease>(
        Host, Unknown, [=, this] { return renew(Id); }, std::move(Done));
  };
  Hooks.ReleaseLease = [=, this](const LeaseId &Id, Completion<void> Done) {
    ++Writes_;
    auto Release = [=, this]() -> Result<void> {
      Leases_.erase(Id);
      dropKeysOf(Id);
      return {};
    };
    call<void>(Host, Unknown, Release, std::move(Done));
  };
  return Hooks;
}

Result<StoreValue> FakeStore::get(const StoreKey &Key) {
  expireLeases();
  auto It = Values_.find(Key);
  if (It == Values_.end())
    return tl::unexpected(storeError(ErrorKind::NotFound));
  return It->second;
}

Result<StoreVersion> FakeStore::put(const StorePut &Put) {
  expireLeases();
  if (Put.Data.size() > MaxValueBytes)
    return tl::unexpected(storeError(ErrorKind::BodyTooLarge));
  if (Put.Lease && Leases_.count(*Put.Lease) == 0)
    return tl::unexpected(storeError(ErrorKind::LeaseLost));
  auto It = Values_.find(Put.Key);
  StoreVersion Stands = It == Values_.end() ? 0 : It->second.Version;
  if (Stands != Put.Expected)
    return tl::unexpected(storeError(ErrorKind::StoreConflict));
  Holders_.erase(Put.Key);
  if (Put.Lease)
    Holders_[Put.Key] = *Put.Lease;
  store(Put.Key, Put.Data);
  return Versions_[Put.Key];
}

Result<StoreLease> FakeStore::renew(const LeaseId &Id) {
  expireLeases();
  auto It = Leases_.find(Id);
  if (It == Leases_.end())
    return tl::unexpected(storeError(ErrorKind::LeaseLost));
  It->second.Ends = Time_.now() + It->second.TimeToLive;
  return StoreLease{Id, It->second.TimeToLive};
}

void FakeStore::watch(const VirtualHost &Host, const StoreWatch &Watch,
                      Completion<StoreValue> Done) {
  Completion<StoreValue> Reply = once<StoreValue>(std::move(Done));
  auto Answer = [=, this] {
    call<StoreValue>(
        Host, ErrorKind::StoreUnreachable, [=, this] { return get(Watch.Key); },
        Reply);
  };
  if (Down_ || Versions_[Watch.Key] > Watch.After) {
    Answer();
    return;
  }
  Watchers_.push_back({Watch.Key, Watch.After, Answer});
  Host.post(Watch.Wait, Answer);
}

std::optional<StoreValue> FakeStore::read(const StoreKey &Key) const {
  auto It = Values_.find(Key);
  if (It == Values_.end())
    return std::nullopt;
  return It->second;
}

void FakeStore::write(const StoreKey &Key, std::string Data) {
  Holders_.erase(Key);
  store(Key, std::move(Data));
}

void FakeStore::store(const StoreKey &Key, std::string Data) {
  StoreVersion Next = ++Versions_[Key];
  Values_[Key] = {std::move(Data), Next};
  for (Watcher &W : std::exchange(Watchers_, {})) {
    if (W.Key == Key && Next > W.After)
      W.Wake();
    else
      Watchers_.push_back(std::move(W));
  }
}

void FakeStore::expireLeases() {
  for (auto It = Leases_.begin(); It != Leases_.end();) {
    if (It->second.Ends > Time_.now()) {
      ++It;
      continue;
    }
    dropKeysOf(It->first);
    It = Leases_.erase(It);
  }
}

void FakeStore::dropKeysOf(const LeaseId &Id) {
  std::erase_if(Holders_, [&](const auto &Held) {
    if (Held.second != Id)
      return false;
    Values_.erase(Held.first);
    return true;
  });
}

} // namespace celerybeam::testing
