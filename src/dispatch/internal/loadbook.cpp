#include "dispatch/loadbook.h"

#include "dispatch/readingduty.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace celerybeam {

namespace {

struct Dispatch {
  EndpointKey Endpoint;
  Work Asked;
  TimePoint Sent{};
  bool Waiting = true;
};

struct PeerLoads {
  std::map<EndpointKey, EndpointLoad> Loads;
  TimePoint Heard{};
};

} // namespace

class LoadBook::Impl {
public:
  Impl(Runtime R, Duration PeerAge)
      : Runtime_(std::move(R)), PeerAge_(PeerAge) {}

  void endWait(Dispatch &D) {
    if (!D.Waiting)
      return;
    D.Waiting = false;
    LastRead_[D.Endpoint] = Runtime_.Now();
    EndpointLoad &Load = Own_[D.Endpoint];
    Load.AllPrefill -= D.Asked.UncachedTokens;
    if (D.Asked.Rank == 0)
      Load.UrgentPrefill -= D.Asked.UncachedTokens;
  }

  EndpointLoad total(const EndpointKey &Endpoint) const {
    EndpointLoad Sum;
    auto Mine = Own_.find(Endpoint);
    if (Mine != Own_.end())
      Sum = Mine->second;
    Sum.Endpoint = Endpoint;
    TimePoint Now = Runtime_.Now();
    for (const auto &[Host, Peer] : Peers_) {
      auto Found = Peer.Loads.find(Endpoint);
      if (Found == Peer.Loads.end() || Now - Peer.Heard > PeerAge_)
        continue;
      Sum.InFlight += Found->second.InFlight;
      Sum.UrgentPrefill += Found->second.UrgentPrefill;
      Sum.AllPrefill += Found->second.AllPrefill;
      Sum.MemoryTokens += Found->second.MemoryTokens;
    }
    return Sum;
  }

  void noteReading(const EndpointKey &Endpoint) {
    Duties_[Endpoint].set(total(Endpoint).AllPrefill > 0, Runtime_.Now());
  }

  Runtime Runtime_;
  Duration PeerAge_;
  std::uint64_t LastId_ = 0;
  std::map<std::uint64_t, Dispatch> Dispatches_;
  std::unordered_map<EndpointKey, EndpointLoad> Own_;
  std::map<HostId, PeerLoads> Peers_;
  std::unordered_map<EndpointKey, TimePoint> LastRead_;
  std::unordered_map<EndpointKey, ReadingDuty> Duties_;
};

LoadBook::LoadBook(Runtime R, Duration PeerAge)
    : Impl_(std::make_unique<Impl>(std::move(R), PeerAge)) {}
LoadBook::~LoadBook() = default;

WorkId LoadBook::started(const EndpointKey &Endpoint, const Work &W) {
  WorkId Id{++Impl_->LastId_};
  Impl_->Dispatches_[Id.Value] = {Endpoint, W, Impl_->Runtime_.Now(), true};
  EndpointLoad &Load = Impl_->Own_[Endpoint];
  Load.Endpoint = Endpoint;
  Load.InFlight += 1;
  Load.AllPrefill += W.UncachedTokens;
  if (W.Rank == 0)
    Load.UrgentPrefill += W.UncachedTokens;
  Load.MemoryTokens += W.MemoryTokens;
  Impl_->noteReading(Endpoint);
  return Id;
}

void LoadBook::firstOutput(WorkId Id) {
  auto Found = Impl_->Dispatches_.find(Id.Value);
  if (Found == Impl_->Dispatches_.end())
    return;
  Impl_->endWait(Found->second);
  Impl_->noteReading(Found->second.Endpoint);
}

void LoadBook::ended(WorkId Id) {
  auto Found = Impl_->Dispatches_.find(Id.Value);
  if (Found == Impl_->Dispatches_.end())
    return;
  Dispatch &D = Found->second;
  Impl_->endWait(D);
  EndpointLoad &Load = Impl_->Own_[D.Endpoint];
  Load.InFlight -= 1;
  Load.MemoryTokens -= D.Asked.MemoryTokens;
  EndpointKey Key = D.Endpoint;
  if (Load.InFlight == 0)
    Impl_->Own_.erase(Key);
  Impl_->Dispatches_.erase(Found);
  Impl_->noteReading(Key);
}

void LoadBook::peerSaid(const HostId &Host,
                        const std::vector<EndpointLoad> &Loads) {
  PeerLoads &Peer = Impl_->Peers_[Host];
  Peer.Heard = Impl_->Runtime_.Now();
  std::map<EndpointKey, EndpointLoad> Before = std::move(Peer.Loads);
  Peer.Loads.clear();
  for (const EndpointLoad &Load : Loads)
    Peer.Loads[Load.Endpoint] = Load;
  for (const auto &[Key, Load] : Before) {
    auto Still = Peer.Loads.find(Key);
    std::uint32_t Left =
        Still == Peer.Loads.end() ? 0 : Still->second.AllPrefill;
    if (Left < Load.AllPrefill)
      Impl_->LastRead_[Key] = Peer.Heard;
    Impl_->noteReading(Key);
  }
  for (const EndpointLoad &Load : Loads)
    Impl_->noteReading(Load.Endpoint);
}

Duration LoadBook::newsAge() const {
  Duration Oldest{};
  for (const auto &[Host, Peer] : Impl_->Peers_) {
    Duration Age = Impl_->Runtime_.Now() - Peer.Heard;
    if (Age <= Impl_->PeerAge_)
      Oldest = std::max(Oldest, Age);
  }
  return Oldest;
}

EndpointLoad LoadBook::total(const EndpointKey &Endpoint) const {
  return Impl_->total(Endpoint);
}

double LoadBook::readingShare(const EndpointKey &Endpoint) const {
  auto Found = Impl_->Duties_.find(Endpoint);
  return Found == Impl_->Duties_.end()
             ? 0
             : Found->second.share(Impl_->Runtime_.Now());
}

std::vector<EndpointLoad> LoadBook::own() const {
  std::vector<EndpointLoad> Loads;
  for (const auto &[Key, Load] : Impl_->Own_)
    Loads.push_back(Load);
  return Loads;
}

TimePoint LoadBook::lastRead(const EndpointKey &Endpoint) const {
  auto Found = Impl_->LastRead_.find(Endpoint);
  return Found == Impl_->LastRead_.end() ? TimePoint() : Found->second;
}

std::optional<TimePoint>
LoadBook::oldestWaiting(const EndpointKey &Endpoint) const {
  for (const auto &[Id, D] : Impl_->Dispatches_)
    if (D.Waiting && D.Endpoint == Endpoint)
      return D.Sent;
  return std::nullopt;
}

} // namespace celerybeam
