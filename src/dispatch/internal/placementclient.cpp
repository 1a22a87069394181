#include "dispatch/placementclient.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "dispatch/placementmap.h"

namespace celerybeam {

namespace {

enum class Phase { Requested, Queued, Assigned };

struct Placement {
  PlacementAsk Ask;
  PlacementClient::PlacedHook Placed;
  std::string Placer;
  Phase State = Phase::Requested;
  TimePoint FirstRequestedAt{};
  TimePoint RequestedAt{};
  bool IsRetried = false;
  unsigned PlacersTried = 0;
  EndpointKey Endpoint;
  RequestCost Cost;
  bool HasOutput = false;
};

} // namespace

class PlacementClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(Runtime R, FleetView &Fleet, HostRegistry &Hosts, Dispatcher &Decisions,
       PlacementServer &LocalPlacer, SendHook Send, ChangeHook Changed)
      : Runtime_(std::move(R)), Fleet_(Fleet), Hosts_(Hosts),
        Decisions_(Decisions), LocalPlacer_(LocalPlacer),
        Send_(std::move(Send)), Changed_(std::move(Changed)),
        LastId_(Runtime_.Random()) {}

  const std::string &selfIp() const { return Hosts_.self().Ip; }

  /// Map of the current placers. Follows the registry, and excludes placers
  /// that did not reply for a while.
  PlacementMap &map() {
    TimePoint Now = Runtime_.Now();
    std::size_t ExcludedBefore = ExcludedPlacers_.size();
    std::erase_if(ExcludedPlacers_,
                  [&](const auto &E) { return E.second <= Now; });
    std::uint64_t Generation = Hosts_.generation();
    if (MapBuilt_ && Generation == MapGeneration_ &&
        ExcludedBefore == ExcludedPlacers_.size() && !ExcludedPlacersChanged_)
      return Map_;
    MapBuilt_ = true;
    MapGeneration_ = Generation;
    ExcludedPlacersChanged_ = false;
    std::vector<HostState> Placers =
        Hosts_.delegates(Hosts_.self().Region).Placers;
    std::erase_if(Placers, [&](const HostState &Host) {
      return ExcludedPlacers_.contains(Host.Ip);
    });
    reportPlacers(Placers);
    Map_.setPlacers(std::move(Placers));
    return Map_;
  }

  void reportPlacers(const std::vector<HostState> &Placers) {
    std::string Ips;
    for (const HostState &Host : Placers)
      Ips += (Ips.empty() ? "" : " ") + Host.Ip;
    if (Ips == ReportedPlacers_)
      return;
    ReportedPlacers_ = Ips;
    PlacersSince_ = Runtime_.Now();
    if (Changed_)
      Changed_({"placers", Hosts_.self().Region.str(), Ips});
  }

  void excludePlacer(const std::string &Ip) {
    if (Changed_ && !ExcludedPlacers_.contains(Ip))
      Changed_({"placer", Ip, "does not answer"});
    ExcludedPlacers_[Ip] = Runtime_.Now() + HostRegistry::HoldOff;
    ExcludedPlacersChanged_ = true;
  }

  /// The placer of the endpoint that the request prefers among those it has not
  /// tried; this host if there is none.
  std::string placerOf(const PlacementAsk &Ask) {
    const auto &Usable = Fleet_.usable(Ask.Log.Pool, Hosts_.self().Region);
    const auto &Tried = Ask.Log.Tried;
    std::uint64_t Prefix = Ask.Request.Levels.empty()
                               ? Runtime_.Random()
                               : Ask.Request.Levels.back().Hash;
    const HostState *Placer = nullptr;
    if (Tried.empty()) {
      Placer = map().placerFor(Prefix, Usable);
    } else {
      std::vector<const FleetEndpoint *> Left;
      for (const FleetEndpoint *E : Usable)
        if (std::find(Tried.begin(), Tried.end(), E->Key) == Tried.end())
          Left.push_back(E);
      Placer = map().placerFor(Prefix, Left);
    }
    return Placer != nullptr ? Placer->Ip : selfIp();
  }

  void sendToPlacer(PlacementId Id) {
    Placement &P = Placements_.at(Id.Value);
    bool Enough = P.PlacersTried >= MaxPlacers;
    P.Placer = Enough ? selfIp() : placerOf(P.Ask);
    P.State = Phase::Requested;
    P.RequestedAt = Runtime_.Now();
    P.IsRetried = false;
    ++P.PlacersTried;
    if (P.Placer == selfIp())
      return LocalPlacer_.ask(selfIp(), Id, P.Ask);
    Send_(P.Placer, Id, P.Ask);
    scheduleCheck();
  }

  void scheduleCheck() {
    if (CheckScheduled_)
      return;
    CheckScheduled_ = true;
    Runtime_.After(CheckInterval, [Weak = weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->checkPending();
    });
  }

  void checkPending() {
    CheckScheduled_ = false;
    TimePoint Now = Runtime_.Now();
    bool HasPending = false;
    std::vector<PlacementId> Unanswered;
    for (auto &[Id, P] : Placements_) {
      if (P.State == Phase::Assigned || P.Placer == selfIp())
        continue;
      HasPending = true;
      if (P.State == Phase::Queued) {
        auto Silence = Hosts_.silence(P.Placer);
        if (!Silence || *Silence > PlacerSilence)
          Unanswered.push_back({Id});
      } else if (Now - P.RequestedAt >= ReplyTimeout) {
        if (std::exchange(P.IsRetried, true)) {
          Unanswered.push_back({Id});
        } else {
          P.RequestedAt = Now;
          Send_(P.Placer, {Id}, P.Ask);
        }
      }
    }
    for (PlacementId Id : Unanswered) {
      auto Found = Placements_.find(Id.Value);
      if (Found == Placements_.end())
        continue;
      excludePlacer(Found->second.Placer);
      Send_(Found->second.Placer, Id, PlacementEnd{});
      sendToPlacer(Id);
    }
    if (HasPending)
      scheduleCheck();
  }

  void answered(const std::string &Ip, PlacementId Id,
                const PlacementAnswer &Answer) {
    auto Found = Placements_.find(Id.Value);
    bool IsExpected = Found != Placements_.end() &&
                      Found->second.Placer == Ip &&
                      Found->second.State != Phase::Assigned;
    if (!IsExpected) {
      bool IsFromPlacer =
          Found != Placements_.end() && Found->second.Placer == Ip;
      bool IsGrant =
          Answer.Decision && std::holds_alternative<ServeAt>(*Answer.Decision);
      // A slot granted too late, after another placer was asked.
      if (IsGrant && !IsFromPlacer)
        releaseSlot(Ip, Id);
      return;
    }
    Placement &P = Found->second;
    if (!Answer.Decision)
      return sendToPlacer(Id);
    if (P.Ask.Request.OnlyFree && !isFreeSlot(*Answer.Decision))
      return refuseFreeSlot(Id, Answer);
    if (std::holds_alternative<Enqueue>(*Answer.Decision)) {
      P.State = Phase::Queued;
      return deliver(Id, P, Answer);
    }
    if (const auto *Local = std::get_if<ServeAt>(&*Answer.Decision))
      return accept(Id, P, *Local, Answer);
    Placement Ended = std::move(P);
    Placements_.erase(Found);
    const auto *Remote = std::get_if<ForwardTo>(&*Answer.Decision);
    if (Remote != nullptr && !Remote->LoadKnown)
      OfferingPlacers_[Id.Value] = Ended.Placer;
    deliver(Id, Ended, Answer);
  }

  /// Whether a decision is one that a request with OnlyFree may get.
  static bool isFreeSlot(const DispatchDecision &Decision) {
    if (const auto *Local = std::get_if<ServeAt>(&Decision))
      return !Local->Cold;
    return std::holds_alternative<Refusal>(Decision);
  }

  /// Refuses a placement that a placer of an earlier version, which does not
  /// know OnlyFree, has queued or decided in another way.
  void refuseFreeSlot(PlacementId Id, PlacementAnswer Answer) {
    auto Found = Placements_.find(Id.Value);
    Placement Ended = std::move(Found->second);
    Placements_.erase(Found);
    releaseSlot(Ended.Placer, Id);
    Answer.Decision = Refusal{{}, NoFreeSlotRefusal};
    deliver(Id, Ended, std::move(Answer));
  }

  void releaseSlot(const std::string &Ip, PlacementId Id) {
    if (Ip == selfIp())
      return LocalPlacer_.end(Id, {});
    Send_(Ip, Id, PlacementEnd{});
  }

  /// Whether this host would use the endpoint itself. It may know more of an
  /// endpoint than its placer, and then its own knowledge decides.
  bool isUsable(const FleetEndpoint &E) const {
    if (Fleet_.backOffOf(E.Key) > Duration::zero())
      return false;
    const auto &Usable = Fleet_.usable(E.Pool, Hosts_.self().Region);
    return std::any_of(Usable.begin(), Usable.end(),
                       [&](const auto *Known) { return Known->Key == E.Key; });
  }

  void accept(PlacementId Id, Placement &P, const ServeAt &Local,
              const PlacementAnswer &Answer) {
    if (!isUsable(Local.Endpoint)) {
      releaseSlot(P.Placer, Id);
      P.Ask.Log.Tried.push_back(Local.Endpoint.Key);
      return sendToPlacer(Id);
    }
    P.State = Phase::Assigned;
    P.Endpoint = Local.Endpoint.Key;
    P.Cost = Dispatcher::costOf(P.Ask.Request, P.Ask.Route, Local);
    deliver(Id, P, Answer);
  }

  void deliver(PlacementId Id, const Placement &P, PlacementAnswer Answer) {
    if (P.Placer != selfIp()) {
      Answer.Inputs.Placer = P.Placer;
      Answer.Inputs.PlacerReplyTime = Runtime_.Now() - P.FirstRequestedAt;
    }
    // The hook may end the placement.
    PlacedHook Placed = P.Placed;
    Placed(Id, Answer);
  }

  /// The hosts that count the request as load of the endpoint: the placer that
  /// assigned it, and the endpoint's present owner if that is another host.
  std::set<std::string> trackingPlacers(const Placement &P) {
    std::set<std::string> Trackers = {P.Placer};
    if (P.State == Phase::Assigned)
      if (const HostState *Owner = map().ownerOf(P.Endpoint))
        Trackers.insert(Owner->Ip);
    return Trackers;
  }

  void end(PlacementId Id, const PlacementEnd &End) {
    if (auto Offered = OfferingPlacers_.extract(Id.Value))
      return sendEnd(Offered.mapped(), Id, End);
    auto Found = Placements_.find(Id.Value);
    if (Found == Placements_.end())
      return;
    Placement P = std::move(Found->second);
    Placements_.erase(Found);
    for (const std::string &Ip : trackingPlacers(P))
      sendEnd(Ip, Id, End);
  }

  void sendEnd(const std::string &Ip, PlacementId Id, const PlacementEnd &End) {
    if (Ip == selfIp())
      LocalPlacer_.end(Id, End);
    else
      Send_(Ip, Id, End);
  }

  void reportFirstOutput(PlacementId Id, const FirstOutputReport &Output) {
    auto Found = Placements_.find(Id.Value);
    if (Found == Placements_.end() || Found->second.HasOutput)
      return;
    Found->second.HasOutput = true;
    for (const std::string &Ip : trackingPlacers(Found->second))
      if (Ip == selfIp())
        LocalPlacer_.reportFirstOutput(Id, Output);
      else
        Send_(Ip, Id, Output);
  }

  std::vector<std::string> listRecipients() {
    std::set<std::string> To;
    for (const HostState &Placer : map().placers())
      To.insert(Placer.Ip);
    for (const auto &[Id, P] : Placements_)
      To.insert(P.Placer);
    To.erase(selfIp());
    return {To.begin(), To.end()};
  }

  std::vector<ListedPlacement> listFor(const std::string &Ip) {
    std::vector<ListedPlacement> List;
    for (const auto &[Id, P] : Placements_) {
      if (P.State == Phase::Assigned) {
        const HostState *Owner = map().ownerOf(P.Endpoint);
        if (P.Placer == Ip || (Owner != nullptr && Owner->Ip == Ip))
          List.push_back({{Id}, P.Endpoint, P.Cost, P.HasOutput});
      } else if (P.Placer == Ip) {
        List.push_back({{Id}, std::nullopt, {}, false});
      }
    }
    return List;
  }

  Runtime Runtime_;
  FleetView &Fleet_;
  HostRegistry &Hosts_;
  Dispatcher &Decisions_;
  PlacementServer &LocalPlacer_;
  SendHook Send_;
  ChangeHook Changed_;
  std::string ReportedPlacers_;
  TimePoint PlacersSince_{};
  std::uint64_t LastId_;
  std::unordered_map<std::uint64_t, Placement> Placements_;
  /// Placers that want to know the result of a request that they had offered to
  /// a region of unknown load.
  std::unordered_map<std::uint64_t, std::string> OfferingPlacers_;
  PlacementMap Map_;
  std::uint64_t MapGeneration_ = 0;
  bool MapBuilt_ = false;
  bool ExcludedPlacersChanged_ = false;
  /// Placers that did not reply, and until when they are excluded.
  std::map<std::string, TimePoint> ExcludedPlacers_;
  bool CheckScheduled_ = false;
};

PlacementClient::PlacementClient(Runtime R, FleetView &Fleet,
                                 HostRegistry &Hosts, Dispatcher &Decisions,
                                 PlacementServer &LocalPlacer, SendHook Send,
                                 ChangeHook Changed)
    : Impl_(std::make_shared<Impl>(std::move(R), Fleet, Hosts, Decisions,
                                   LocalPlacer, std::move(Send),
                                   std::move(Changed))) {}
PlacementClient::~PlacementClient() = default;

PlacementId PlacementClient::place(const RequestDescriptor &Request,
                                   const FleetRoute &Route, AttemptLog &Log,
                                   PlacedHook Placed) {
  PlacementId Id{++Impl_->LastId_};
  if (auto Refused = Impl_->Decisions_.admit(Request, Route, Log)) {
    Placed(Id, {*Refused, {}});
    return Id;
  }
  Placement &P = Impl_->Placements_[Id.Value];
  P.Ask = {Request, Route, Log};
  P.Placed = std::move(Placed);
  P.FirstRequestedAt = Impl_->Runtime_.Now();
  Impl_->sendToPlacer(Id);
  return Id;
}

void PlacementClient::reportFirstOutput(PlacementId Id,
                                        const FirstOutputReport &Output) {
  Impl_->reportFirstOutput(Id, Output);
}
void PlacementClient::end(PlacementId Id, const PlacementEnd &End) {
  Impl_->end(Id, End);
}
void PlacementClient::answered(const std::string &Ip, PlacementId Id,
                               const PlacementAnswer &Answer) {
  Impl_->answered(Ip, Id, Answer);
}
std::vector<std::string> PlacementClient::listRecipients() {
  return Impl_->listRecipients();
}
std::vector<ListedPlacement> PlacementClient::listFor(const std::string &Ip) {
  return Impl_->listFor(Ip);
}
Duration PlacementClient::placersStableFor() {
  Impl_->map();
  return Impl_->Runtime_.Now() - Impl_->PlacersSince_;
}
bool PlacementClient::owns(const EndpointKey &Endpoint) {
  return Impl_->map().isOwner(Impl_->selfIp(), Endpoint);
}

} // namespace celerybeam
