#include "dispatch/placementdesk.h"

#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace celerybeam {

namespace {

struct Booking {
  ServeAt Choice;
  WorkId Work;
  bool HasOutput = false;
  /// Unset when another host saw it.
  std::optional<TimePoint> OutputAt;
};

struct Placement {
  std::string Ip;
  PlacementAsk Ask;
  /// Of the last change.
  TimePoint At{};
  std::optional<HoldId> Waits;
  TimePoint WaitsSince{};
  Duration PredictedWait{};
  std::optional<Booking> Booked;
};

struct AskingHost {
  std::unordered_set<std::uint64_t> Placements;
  TimePoint LastListed{};
};

} // namespace

class PlacementDesk::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(Runtime R, FleetView &Fleet, Dispatcher &Decisions, std::string SelfIp,
       AnswerHook Answer)
      : Runtime_(std::move(R)), Fleet_(Fleet), Decisions_(Decisions),
        SelfIp_(std::move(SelfIp)), Answer_(std::move(Answer)) {}

  void ask(const std::string &Ip, PlacementId Id, PlacementAsk Ask) {
    auto [It, New] = Placements_.try_emplace(Id.Value);
    if (!New)
      return repeat(Id, It->second);
    It->second.Ip = Ip;
    It->second.Ask = std::move(Ask);
    It->second.At = Runtime_.Now();
    hostOf(Ip).Placements.insert(Id.Value);
    decide(Id);
  }

  /// The answer to an ask that came before; it may have been lost.
  void repeat(PlacementId Id, const Placement &P) {
    PlacementAnswer Again;
    Again.Seen = P.Ask.Log.Seen;
    if (P.Booked)
      Again.Decision = P.Booked->Choice;
    else
      Again.Decision = Hold();
    Answer_(std::string(P.Ip), Id, Again);
  }

  /// \return whether it no longer waits.
  bool decide(PlacementId Id) {
    Placement &P = Placements_.at(Id.Value);
    PlacementAsk &Ask = P.Ask;
    DispatchDecision D = Decisions_.choose(Ask.Request, Ask.Route, Ask.Log);
    bool Waits = std::holds_alternative<Hold>(D);
    if (Waits && P.Waits) {
      const auto &Wait = std::get<Hold>(D);
      Decisions_.held().update(*P.Waits, Wait.OnTimeUntil, Wait.DecideAgainAt);
      return false;
    }
    PlacementAnswer Answer{D, Ask.Log.Seen};
    std::string Ip = P.Ip;
    P.At = Runtime_.Now();
    if (P.Waits && std::holds_alternative<ServeAt>(D))
      Decisions_.waited(Ask.Log.Pool, P.PredictedWait, P.At - P.WaitsSince);
    if (Waits)
      wait(Id, P, std::get<Hold>(D));
    else
      stopWaiting(P);
    if (auto *Here = std::get_if<ServeAt>(&D))
      P.Booked = {*Here,
                  Decisions_.begin(Ask.Request, Ask.Route, *Here, Ask.Log),
                  false, std::nullopt};
    else if (auto *Away = std::get_if<PassOn>(&D))
      Decisions_.passedOn(Ask.Request, *Away, Ask.Log);
    if (!Waits && !P.Booked)
      erase(Id);
    Answer_(Ip, Id, Answer);
    return !Waits;
  }

  void wait(PlacementId Id, Placement &P, const Hold &Wait) {
    P.Ask.Log.Held = true;
    HeldRequest Held;
    Held.Pool = P.Ask.Log.Pool;
    Held.Rank = Wait.Rank;
    Held.Arrived = P.Ask.Log.Arrived;
    Held.OnTimeUntil = Wait.OnTimeUntil;
    Held.DecideAgainAt = Wait.DecideAgainAt;
    Held.Work = Wait.Work;
    Held.KeepsEndpoint = Wait.KeepsEndpoint;
    Held.Offer = [this, Id] { return decide(Id); };
    P.WaitsSince = Runtime_.Now();
    P.PredictedWait = Wait.QueueWait;
    P.Waits = Decisions_.held().add(std::move(Held));
    armOffer();
  }

  void stopWaiting(Placement &P) {
    if (!P.Waits)
      return;
    P.Ask.Log.Held = false;
    Decisions_.held().remove(*std::exchange(P.Waits, std::nullopt));
  }

  void armOffer() {
    if (OfferDue_)
      return;
    OfferDue_ = true;
    Runtime_.After(Dispatcher::OfferInterval, [Weak = weak_from_this()] {
      auto Self = Weak.lock();
      if (!Self)
        return;
      Self->OfferDue_ = false;
      Self->Decisions_.offerPlaces();
      if (Self->Decisions_.held().size() > 0)
        Self->armOffer();
    });
  }

  void erase(PlacementId Id) {
    auto Found = Placements_.find(Id.Value);
    auto Host = Hosts_.find(Found->second.Ip);
    if (Host != Hosts_.end())
      Host->second.Placements.erase(Id.Value);
    Placements_.erase(Found);
  }

  AskingHost &hostOf(const std::string &Ip) {
    auto [It, New] = Hosts_.try_emplace(Ip);
    if (New)
      It->second.LastListed = Runtime_.Now();
    return It->second;
  }

  void outputCame(Placement &P, const OutputCame &Output) {
    if (!P.Booked || P.Booked->HasOutput)
      return;
    P.Booked->HasOutput = true;
    P.Booked->OutputAt = Runtime_.Now();
    const ServeAt &Choice = P.Booked->Choice;
    Decisions_.firstOutput(Choice, P.Booked->Work, Output.Took);
    if (Output.Slowness)
      Decisions_.predictor().saidSlowness(Choice.Endpoint.Key,
                                          *Output.Slowness);
  }

  void end(PlacementId Id, const PlacementEnd &End) {
    auto Found = Placements_.find(Id.Value);
    if (Found == Placements_.end())
      return;
    Placement &P = Found->second;
    stopWaiting(P);
    if (P.Booked && P.Booked->OutputAt &&
        End.Outcome == AttemptOutcome::Answered)
      Decisions_.streamed(P.Booked->Choice.Endpoint.Pool,
                          P.Ask.Request.MaxOutputTokens,
                          Runtime_.Now() - *P.Booked->OutputAt);
    if (P.Booked && End.Outcome)
      Decisions_.end(P.Booked->Choice, P.Booked->Work, *End.Outcome);
    else if (P.Booked)
      Decisions_.loads().ended(P.Booked->Work);
    if (P.Booked && End.Outcome == AttemptOutcome::Moved)
      Fleet_.noteMoved(P.Booked->Choice.Endpoint.Id);
    erase(Id);
  }

  /// A placement that another placer has booked, or this one before it was
  /// restarted.
  void adopt(const std::string &Ip, const ListedPlacement &Listed) {
    const FleetEndpoint *E = Fleet_.endpoint(*Listed.Endpoint);
    if (E == nullptr)
      return;
    Placement &P = Placements_[Listed.Id.Value];
    P.Ip = Ip;
    P.At = Runtime_.Now();
    P.Booked = {{*E, {}, false, {}},
                Decisions_.loads().started(E->Key, Listed.Asked),
                Listed.HasOutput,
                std::nullopt};
    if (Listed.HasOutput)
      Decisions_.loads().firstOutput(P.Booked->Work);
    hostOf(Ip).Placements.insert(Listed.Id.Value);
  }

  void compare(const std::string &Ip, const ListedPlacement &Listed) {
    auto Found = Placements_.find(Listed.Id.Value);
    if (Found == Placements_.end()) {
      if (Listed.Endpoint)
        return adopt(Ip, Listed);
      return Answer_(Ip, Listed.Id, {});
    }
    Placement &P = Found->second;
    bool Settled = Runtime_.Now() - P.At > ListGrace;
    if (!Listed.Endpoint && P.Booked && Settled)
      return repeat(Listed.Id, P);
    if (Listed.HasOutput && P.Booked && !P.Booked->HasOutput) {
      P.Booked->HasOutput = true;
      Decisions_.loads().firstOutput(P.Booked->Work);
    }
  }

  void listed(const std::string &Ip,
              const std::vector<ListedPlacement> &Placements,
              const ListPart &Part) {
    AskingHost &Host = hostOf(Ip);
    Host.LastListed = Runtime_.Now();
    std::unordered_set<std::uint64_t> Said;
    for (const ListedPlacement &Listed : Placements)
      Said.insert(Listed.Id.Value);
    std::vector<PlacementId> Over;
    for (std::uint64_t Id : Host.Placements)
      if (Part.covers({Id}) && !Said.contains(Id) &&
          Runtime_.Now() - Placements_.at(Id).At > ListGrace)
        Over.push_back({Id});
    for (PlacementId Id : Over)
      end(Id, {});
    for (const ListedPlacement &Listed : Placements)
      compare(Ip, Listed);
  }

  void handOver() {
    std::vector<std::pair<PlacementId, std::string>> Waiting;
    for (const auto &[Id, P] : Placements_)
      if (P.Waits && P.Ip != SelfIp_)
        Waiting.emplace_back(PlacementId{Id}, P.Ip);
    for (const auto &[Id, Ip] : Waiting) {
      end(Id, {});
      Answer_(Ip, Id, {});
    }
  }

  void tick() {
    std::vector<std::string> Silent;
    for (const auto &[Ip, Host] : Hosts_)
      if (Ip != SelfIp_ && Runtime_.Now() - Host.LastListed > ListLife)
        Silent.push_back(Ip);
    for (const std::string &Ip : Silent) {
      auto Left = Hosts_.at(Ip).Placements;
      for (std::uint64_t Id : Left)
        end({Id}, {});
      Hosts_.erase(Ip);
    }
  }

  Runtime Runtime_;
  FleetView &Fleet_;
  Dispatcher &Decisions_;
  std::string SelfIp_;
  AnswerHook Answer_;
  std::unordered_map<std::uint64_t, Placement> Placements_;
  std::unordered_map<std::string, AskingHost> Hosts_;
  bool OfferDue_ = false;
};

PlacementDesk::PlacementDesk(Runtime R, FleetView &Fleet, Dispatcher &Decisions,
                             std::string SelfIp, AnswerHook Answer)
    : Impl_(std::make_shared<Impl>(std::move(R), Fleet, Decisions,
                                   std::move(SelfIp), std::move(Answer))) {}
PlacementDesk::~PlacementDesk() = default;

void PlacementDesk::ask(const std::string &Ip, PlacementId Id,
                        PlacementAsk Ask) {
  Impl_->ask(Ip, Id, std::move(Ask));
}
void PlacementDesk::outputCame(PlacementId Id, const OutputCame &Output) {
  auto Found = Impl_->Placements_.find(Id.Value);
  if (Found != Impl_->Placements_.end())
    Impl_->outputCame(Found->second, Output);
}
void PlacementDesk::end(PlacementId Id, const PlacementEnd &End) {
  Impl_->end(Id, End);
}
void PlacementDesk::listed(const std::string &Ip,
                           const std::vector<ListedPlacement> &Placements,
                           const ListPart &Part) {
  Impl_->listed(Ip, Placements, Part);
}
void PlacementDesk::handOver() { Impl_->handOver(); }
void PlacementDesk::tick() { Impl_->tick(); }

} // namespace celerybeam
