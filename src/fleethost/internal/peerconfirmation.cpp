#include "fleethost/internal/peerconfirmation.h"

#include <algorithm>

namespace celerybeam::detail {

namespace {

/// Hosts of this region that are asked in one round.
constexpr std::size_t ConfirmersOfRegion = 2;

} // namespace

PeerConfirmation::PeerConfirmation(Runtime R, const HostRegistry &Hosts,
                                   SourceRanking &Sources,
                                   StoreMirror &Operator,
                                   StoreMirror &Endpoints, Hooks H)
    : Runtime_(std::move(R)), Hosts_(Hosts), Sources_(Sources),
      Operator_(Operator), Endpoints_(Endpoints), Hooks_(std::move(H)) {}

void PeerConfirmation::ask(RecencyCheck::Episode Asked) {
  if (Asked != Episode_) {
    Episode_ = Asked;
    Asking_.clear();
    Fetching_.clear();
    FarFetchScheduled_ = false;
    FarFetchedAt_.reset();
  }
  for (const std::string &Ip : drawHosts()) {
    Asking_.insert(Ip);
    Hooks_.AskSummary(
        Ip, duringEpisode<MirrorSummary>([this, Ip](Result<MirrorSummary> Got) {
          Asking_.erase(Ip);
          // Another host is asked shortly.
          if (!Got)
            return Sources_.recordFailure(Ip);
          Sources_.recordSuccess(Ip);
          answered(Ip, *Got);
        }));
  }
}

template <typename Value>
std::function<void(Result<Value>)>
PeerConfirmation::duringEpisode(std::function<void(Result<Value>)> Then) {
  return [Weak = weak_from_this(), Asked = Episode_,
          Then = std::move(Then)](Result<Value> Got) {
    auto Self = Weak.lock();
    if (Self && Self->Episode_ == Asked)
      Then(std::move(Got));
  };
}

std::vector<std::string> PeerConfirmation::drawHosts() const {
  RankedSources Ranked = Sources_.confirmers(Asking_);
  std::vector<std::string> Ips = std::move(Ranked.Near);
  Ips.resize(std::min(Ips.size(), ConfirmersOfRegion));
  std::size_t FarHosts = Hosts_.alive().empty() ? Ranked.Far.size() : 1;
  Ranked.Far.resize(std::min(Ranked.Far.size(), FarHosts));
  Ips.insert(Ips.end(), Ranked.Far.begin(), Ranked.Far.end());
  return Ips;
}

bool PeerConfirmation::includes(const MirrorSummary &Got) const {
  return !Got.Settling && Operator_.revision() >= Got.Operator;
}

void PeerConfirmation::answered(const std::string &Ip,
                                const MirrorSummary &Got) {
  bool Near = Got.Region == Hosts_.self().Region;
  if (Near && Endpoints_.isLoaded() && Endpoints_.revision() < Got.Endpoints)
    fetch(Ip, MirrorPart::Endpoints);
  if (!includes(Got))
    return Near ? fetch(Ip, MirrorPart::OperatorTables)
                : fetchFromFarLater(Ip, Got);
  if (Got.Current)
    Hooks_.Confirmed(Episode_);
}

void PeerConfirmation::fetchFromFarLater(const std::string &Ip,
                                         const MirrorSummary &Got) {
  bool TooSoon = FarFetchedAt_ && Runtime_.Now() - *FarFetchedAt_ < FarInterval;
  if (!Got.Current || TooSoon || FarFetchScheduled_)
    return;
  FarFetchScheduled_ = true;
  Duration Delay = LoneFarDelay;
  if (!Hosts_.aliveInRegion().empty())
    Delay =
        FarDelay +
        Duration(static_cast<Duration::rep>(
            Runtime_.Random() % static_cast<std::uint64_t>(FarDelay.count())));
  Runtime_.After(Delay, [Weak = weak_from_this(), Asked = Episode_, Ip, Got] {
    auto Self = Weak.lock();
    if (!Self || Self->Episode_ != Asked)
      return;
    Self->FarFetchScheduled_ = false;
    if (!Self->Hooks_.IsNeeded() || Self->Episode_ != Asked)
      return;
    if (Self->includes(Got))
      return Self->Hooks_.Confirmed(Asked);
    Self->FarFetchedAt_ = Self->Runtime_.Now();
    Self->fetch(Ip, MirrorPart::OperatorTables);
  });
}

void PeerConfirmation::fetch(const std::string &Ip, MirrorPart Part) {
  bool Receiving = Hooks_.IsReceiving && Hooks_.IsReceiving(Part);
  if (Receiving || !Fetching_.insert({Ip, Part}).second)
    return;
  StoreMirror &Mirror =
      Part == MirrorPart::OperatorTables ? Operator_ : Endpoints_;
  Hooks_.FetchChanges(
      Ip, Part, Mirror.revision(),
      duringEpisode<StoreSnapshot>(
          [this, Ip, Part, &Mirror](Result<StoreSnapshot> Got) {
            Fetching_.erase({Ip, Part});
            if (!Got && Got.error().Kind == ErrorKind::Cancelled)
              return;
            if (!Got)
              return Sources_.recordFailure(Ip);
            Mirror.applyFromPeer(*Got);
            if (Got->Current && Part == MirrorPart::OperatorTables)
              Hooks_.Confirmed(Episode_);
          }));
}

} // namespace celerybeam::detail
