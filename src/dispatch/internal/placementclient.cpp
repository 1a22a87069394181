#include "dispatch/placementclient.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "dispatch/placementmap.h"

namespace celerybeam {

namespace {

enum class Phase { Asked, Waiting, Booked };

struct Placement {
  PlacementAsk Ask;
  PlacementClient::PlacedHook Placed;
  std::string Placer;
  Phase At = Phase::Asked;
  TimePoint FirstAsked{};
  TimePoint AskedAt{};
  bool AskedTwice = false;
  unsigned PlacersAsked = 0;
  EndpointKey Endpoint;
  Work Asked;
  bool HasOutput = false;
};

} // namespace

class PlacementClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(Runtime R, FleetView &Fleet, HostRegistry &Hosts, Dispatcher &Decisions,
       PlacementDesk &Desk, SendHook Send, BeliefHook Changed)
      : Runtime_(std::move(R)), Fleet_(Fleet), Hosts_(Hosts),
        Decisions_(Decisions), Desk_(Desk), Send_(std::move(Send)),
        Changed_(std::move(Changed)), LastId_(Runtime_.Random()) {}

  const std::string &selfIp() const { return Hosts_.self().Ip; }

  /// Follows the registry: placers come and go, and those that did not answer
  /// are left out for a while.
  PlacementMap &map() {
    TimePoint Now = Runtime_.Now();
    std::size_t Held = HeldOff_.size();
    std::erase_if(HeldOff_, [&](const auto &E) { return E.second <= Now; });
    std::uint64_t Generation = Hosts_.generation();
    if (MapMade_ && Generation == MapGeneration_ && Held == HeldOff_.size() &&
        !HeldOffChanged_)
      return Map_;
    MapMade_ = true;
    MapGeneration_ = Generation;
    HeldOffChanged_ = false;
    std::vector<HostState> Placers =
        Hosts_.delegates(Hosts_.self().Region).Placers;
    std::erase_if(Placers, [&](const HostState &Host) {
      return HeldOff_.contains(Host.Ip);
    });
    tellPlacers(Placers);
    Map_.setPlacers(std::move(Placers));
    return Map_;
  }

  void tellPlacers(const std::vector<HostState> &Placers) {
    std::string Ips;
    for (const HostState &Host : Placers)
      Ips += (Ips.empty() ? "" : " ") + Host.Ip;
    if (Ips == PlacersTold_)
      return;
    PlacersTold_ = Ips;
    PlacersSince_ = Runtime_.Now();
    if (Changed_)
      Changed_({"placers", Hosts_.self().Region.str(), Ips});
  }

  void holdOff(const std::string &Ip) {
    if (Changed_ && !HeldOff_.contains(Ip))
      Changed_({"placer", Ip, "does not answer"});
    HeldOff_[Ip] = Runtime_.Now() + HostRegistry::HoldOff;
    HeldOffChanged_ = true;
  }

  /// The placer of the endpoint that the request prefers among those it has
  /// not tried; own host when there is none.
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

  void route(PlacementId Id) {
    Placement &P = Placements_.at(Id.Value);
    bool Enough = P.PlacersAsked >= MostPlacers;
    P.Placer = Enough ? selfIp() : placerOf(P.Ask);
    P.At = Phase::Asked;
    P.AskedAt = Runtime_.Now();
    P.AskedTwice = false;
    ++P.PlacersAsked;
    if (P.Placer == selfIp())
      return Desk_.ask(selfIp(), Id, P.Ask);
    Send_(P.Placer, Id, P.Ask);
    armCheck();
  }

  void armCheck() {
    if (CheckDue_)
      return;
    CheckDue_ = true;
    Runtime_.After(CheckInterval, [Weak = weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->check();
    });
  }

  void check() {
    CheckDue_ = false;
    TimePoint Now = Runtime_.Now();
    bool Any = false;
    std::vector<PlacementId> Unanswered;
    for (auto &[Id, P] : Placements_) {
      if (P.At == Phase::Booked || P.Placer == selfIp())
        continue;
      Any = true;
      if (P.At == Phase::Waiting) {
        auto Silence = Hosts_.silence(P.Placer);
        if (!Silence || *Silence > PlacerSilence)
          Unanswered.push_back({Id});
      } else if (Now - P.AskedAt >= AnswerTimeout) {
        if (std::exchange(P.AskedTwice, true)) {
          Unanswered.push_back({Id});
        } else {
          P.AskedAt = Now;
          Send_(P.Placer, {Id}, P.Ask);
        }
      }
    }
    for (PlacementId Id : Unanswered) {
      auto Found = Placements_.find(Id.Value);
      if (Found == Placements_.end())
        continue;
      holdOff(Found->second.Placer);
      Send_(Found->second.Placer, Id, PlacementEnd{});
      route(Id);
    }
    if (Any)
      armCheck();
  }

  void answered(const std::string &Ip, PlacementId Id,
                const PlacementAnswer &Answer) {
    auto Found = Placements_.find(Id.Value);
    bool Mine = Found != Placements_.end() && Found->second.Placer == Ip &&
                Found->second.At != Phase::Booked;
    if (!Mine) {
      bool Booked = Found != Placements_.end() && Found->second.Placer == Ip;
      bool Grant =
          Answer.Decision && std::holds_alternative<ServeAt>(*Answer.Decision);
      // A place that came too late, after another placer was asked.
      if (Grant && !Booked)
        giveBack(Ip, Id);
      return;
    }
    Placement &P = Found->second;
    if (!Answer.Decision)
      return route(Id);
    if (std::holds_alternative<Hold>(*Answer.Decision)) {
      P.At = Phase::Waiting;
      return tell(Id, P, Answer);
    }
    if (const auto *Here = std::get_if<ServeAt>(&*Answer.Decision))
      return book(Id, P, *Here, Answer);
    Placement Over = std::move(P);
    Placements_.erase(Found);
    tell(Id, Over, Answer);
  }

  void giveBack(const std::string &Ip, PlacementId Id) {
    if (Ip == selfIp())
      return Desk_.end(Id, {});
    Send_(Ip, Id, PlacementEnd{});
  }

  /// Placers may know less of an endpoint than this host: what it has learned
  /// itself decides.
  bool isUsable(const FleetEndpoint &E) const {
    if (Fleet_.restOf(E.Key) > Duration::zero())
      return false;
    const auto &Usable = Fleet_.usable(E.Pool, Hosts_.self().Region);
    return std::any_of(Usable.begin(), Usable.end(),
                       [&](const auto *Known) { return Known->Key == E.Key; });
  }

  void book(PlacementId Id, Placement &P, const ServeAt &Here,
            const PlacementAnswer &Answer) {
    if (!isUsable(Here.Endpoint)) {
      giveBack(P.Placer, Id);
      P.Ask.Log.Tried.push_back(Here.Endpoint.Key);
      return route(Id);
    }
    P.At = Phase::Booked;
    P.Endpoint = Here.Endpoint.Key;
    P.Asked = Dispatcher::workOf(P.Ask.Request, P.Ask.Route, Here);
    tell(Id, P, Answer);
  }

  void tell(PlacementId Id, const Placement &P, PlacementAnswer Answer) {
    if (P.Placer != selfIp()) {
      Answer.Seen.Placer = P.Placer;
      Answer.Seen.PlacerTook = Runtime_.Now() - P.FirstAsked;
    }
    // The hook may end the placement.
    PlacedHook Placed = P.Placed;
    Placed(Id, Answer);
  }

  /// Who books an endpoint: the placer that gave the place, and the present
  /// owner if it is another.
  std::set<std::string> bookersOf(const Placement &P) {
    std::set<std::string> Bookers = {P.Placer};
    if (P.At == Phase::Booked)
      if (const HostState *Owner = map().ownerOf(P.Endpoint))
        Bookers.insert(Owner->Ip);
    return Bookers;
  }

  void end(PlacementId Id, const PlacementEnd &End) {
    auto Found = Placements_.find(Id.Value);
    if (Found == Placements_.end())
      return;
    Placement P = std::move(Found->second);
    Placements_.erase(Found);
    for (const std::string &Ip : bookersOf(P))
      if (Ip == selfIp())
        Desk_.end(Id, End);
      else
        Send_(Ip, Id, End);
  }

  void outputCame(PlacementId Id, const OutputCame &Output) {
    auto Found = Placements_.find(Id.Value);
    if (Found == Placements_.end() || Found->second.HasOutput)
      return;
    Found->second.HasOutput = true;
    for (const std::string &Ip : bookersOf(Found->second))
      if (Ip == selfIp())
        Desk_.outputCame(Id, Output);
      else
        Send_(Ip, Id, Output);
  }

  std::vector<std::string> listTo() {
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
      if (P.At == Phase::Booked) {
        const HostState *Owner = map().ownerOf(P.Endpoint);
        if (P.Placer == Ip || (Owner != nullptr && Owner->Ip == Ip))
          List.push_back({{Id}, P.Endpoint, P.Asked, P.HasOutput});
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
  PlacementDesk &Desk_;
  SendHook Send_;
  BeliefHook Changed_;
  std::string PlacersTold_;
  TimePoint PlacersSince_{};
  std::uint64_t LastId_;
  std::unordered_map<std::uint64_t, Placement> Placements_;
  PlacementMap Map_;
  std::uint64_t MapGeneration_ = 0;
  bool MapMade_ = false;
  bool HeldOffChanged_ = false;
  /// Placers that did not answer, until when.
  std::map<std::string, TimePoint> HeldOff_;
  bool CheckDue_ = false;
};

PlacementClient::PlacementClient(Runtime R, FleetView &Fleet,
                                 HostRegistry &Hosts, Dispatcher &Decisions,
                                 PlacementDesk &Desk, SendHook Send,
                                 BeliefHook Changed)
    : Impl_(std::make_shared<Impl>(std::move(R), Fleet, Hosts, Decisions, Desk,
                                   std::move(Send), std::move(Changed))) {}
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
  P.FirstAsked = Impl_->Runtime_.Now();
  Impl_->route(Id);
  return Id;
}

void PlacementClient::outputCame(PlacementId Id, const OutputCame &Output) {
  Impl_->outputCame(Id, Output);
}
void PlacementClient::end(PlacementId Id, const PlacementEnd &End) {
  Impl_->end(Id, End);
}
void PlacementClient::answered(const std::string &Ip, PlacementId Id,
                               const PlacementAnswer &Answer) {
  Impl_->answered(Ip, Id, Answer);
}
std::vector<std::string> PlacementClient::listTo() { return Impl_->listTo(); }
std::vector<ListedPlacement> PlacementClient::listFor(const std::string &Ip) {
  return Impl_->listFor(Ip);
}
Duration PlacementClient::settledFor() {
  Impl_->map();
  return Impl_->Runtime_.Now() - Impl_->PlacersSince_;
}
bool PlacementClient::owns(const EndpointKey &Endpoint) {
  return Impl_->map().isOwner(Impl_->selfIp(), Endpoint);
}

} // namespace celerybeam
