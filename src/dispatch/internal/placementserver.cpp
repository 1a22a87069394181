#include "dispatch/placementserver.h"

#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace celerybeam {

namespace {

struct Assignment {
  ServeAt Choice;
  DispatchId Dispatch;
  bool HasOutput = false;
  /// Unset when it was reported to another placer.
  std::optional<TimePoint> OutputAt;
};

struct Placement {
  std::string Ip;
  PlacementAsk Ask;
  /// Time of the last change.
  TimePoint ChangedAt{};
  std::optional<QueuedRequestId> QueueId;
  TimePoint QueuedSince{};
  Duration PredictedWait{};
  std::optional<Assignment> Assigned;
};

/// A request that was forwarded to a region of unknown load.
struct Offer {
  RegionId Region;
  PoolName Pool;
  TimePoint At{};
};

struct RequestingHost {
  std::unordered_set<std::uint64_t> Placements;
  TimePoint LastListAt{};
};

} // namespace

class PlacementServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(Runtime R, FleetView &Fleet, Dispatcher &Decisions, std::string SelfIp,
       ReplyHook Reply)
      : Runtime_(std::move(R)), Fleet_(Fleet), Decisions_(Decisions),
        SelfIp_(std::move(SelfIp)), Reply_(std::move(Reply)) {}

  void ask(const std::string &Ip, PlacementId Id, PlacementAsk Ask) {
    auto [It, New] = Placements_.try_emplace(Id.Value);
    if (!New)
      return repeatReply(Id, It->second);
    It->second.Ip = Ip;
    It->second.Ask = std::move(Ask);
    It->second.ChangedAt = Runtime_.Now();
    if (Ip != SelfIp_ && !Decisions_.knowsPool(It->second.Ask.Log.Pool)) {
      // The host that asks has newer tables. It asks another placer, or places
      // the request itself.
      Placements_.erase(It);
      return Reply_(Ip, Id, {});
    }
    hostOf(Ip).Placements.insert(Id.Value);
    decide(Id);
  }

  /// Replies again to a repeated request; the first reply may have been lost.
  void repeatReply(PlacementId Id, const Placement &P) {
    PlacementAnswer Again;
    Again.Inputs = P.Ask.Log.Inputs;
    if (P.Assigned)
      Again.Decision = P.Assigned->Choice;
    else
      Again.Decision = Enqueue();
    Reply_(std::string(P.Ip), Id, Again);
  }

  /// Makes or repeats the decision. \return whether the request is not queued
  /// any more.
  bool decide(PlacementId Id) {
    Placement &P = Placements_.at(Id.Value);
    PlacementAsk &Ask = P.Ask;
    DispatchDecision D = Decisions_.choose(Ask.Request, Ask.Route, Ask.Log);
    bool MustQueue = std::holds_alternative<Enqueue>(D);
    if (MustQueue && P.QueueId) {
      const auto &Wait = std::get<Enqueue>(D);
      Decisions_.queue().update(*P.QueueId, Wait.OnTimeUntil,
                                Wait.ReevaluateAt);
      return false;
    }
    PlacementAnswer Answer{D, Ask.Log.Inputs};
    std::string Ip = P.Ip;
    P.ChangedAt = Runtime_.Now();
    if (P.QueueId && std::holds_alternative<ServeAt>(D))
      Decisions_.recordWait(Ask.Log.Pool, P.PredictedWait,
                            P.ChangedAt - P.QueuedSince);
    if (MustQueue)
      enqueue(Id, P, std::get<Enqueue>(D));
    else
      dequeue(P);
    if (auto *Local = std::get_if<ServeAt>(&D))
      P.Assigned = {*Local,
                    Decisions_.begin(Ask.Request, Ask.Route, *Local, Ask.Log),
                    false, std::nullopt};
    else if (auto *Remote = std::get_if<ForwardTo>(&D))
      recordForward(Id, Ask, *Remote);
    if (!MustQueue && !P.Assigned)
      erase(Id);
    Reply_(Ip, Id, Answer);
    return !MustQueue;
  }

  void recordForward(PlacementId Id, PlacementAsk &Ask,
                     const ForwardTo &Choice) {
    // If the reply is lost, the same placement is asked for and decided again.
    if (auto Earlier = Offers_.find(Id.Value); Earlier != Offers_.end())
      endOffer(Earlier, {});
    Decisions_.recordForward(Ask.Request, Choice, Ask.Log);
    if (!Choice.LoadKnown)
      Offers_[Id.Value] = {Choice.Host.Region, Ask.Log.Pool, Runtime_.Now()};
  }

  using OffersById = std::unordered_map<std::uint64_t, Offer>;

  void endOffer(OffersById::iterator Found, const PlacementEnd &End) {
    const Offer &O = Found->second;
    RegionOfferLimiter &Limiter = Decisions_.offers();
    if (!End.Outcome)
      Limiter.recordWithdrawn(O.Region, O.Pool, O.At);
    else if (*End.Outcome == AttemptOutcome::Answered)
      Limiter.recordServed(O.Region, O.Pool, O.At);
    else
      Limiter.recordRefused(O.Region, O.Pool, O.At, End.RetryAfter);
    Offers_.erase(Found);
  }

  void enqueue(PlacementId Id, Placement &P, const Enqueue &Wait) {
    P.Ask.Log.Queued = true;
    QueuedRequest Queued;
    Queued.Pool = P.Ask.Log.Pool;
    Queued.Rank = Wait.Rank;
    Queued.Arrived = P.Ask.Log.Arrived;
    Queued.OnTimeUntil = Wait.OnTimeUntil;
    Queued.ReevaluateAt = Wait.ReevaluateAt;
    Queued.Occupancy = Wait.Occupancy;
    Queued.HasReservedEndpoint = Wait.HasReservedEndpoint;
    Queued.Offer = [this, Id] { return decide(Id); };
    Queued.Customer = P.Ask.Request.Customer;
    P.QueuedSince = Runtime_.Now();
    P.PredictedWait = Wait.QueueWait;
    P.QueueId = Decisions_.queue().add(std::move(Queued));
    scheduleOffers();
  }

  void dequeue(Placement &P) {
    if (!P.QueueId)
      return;
    P.Ask.Log.Queued = false;
    Decisions_.queue().remove(*std::exchange(P.QueueId, std::nullopt));
  }

  void scheduleOffers() {
    if (OffersScheduled_)
      return;
    OffersScheduled_ = true;
    Runtime_.After(Dispatcher::OfferInterval, [Weak = weak_from_this()] {
      auto Self = Weak.lock();
      if (!Self)
        return;
      Self->OffersScheduled_ = false;
      Self->Decisions_.offerSlots();
      if (Self->Decisions_.queue().size() > 0)
        Self->scheduleOffers();
    });
  }

  void erase(PlacementId Id) {
    auto Found = Placements_.find(Id.Value);
    auto Host = Hosts_.find(Found->second.Ip);
    if (Host != Hosts_.end())
      Host->second.Placements.erase(Id.Value);
    Placements_.erase(Found);
  }

  RequestingHost &hostOf(const std::string &Ip) {
    auto [It, New] = Hosts_.try_emplace(Ip);
    if (New)
      It->second.LastListAt = Runtime_.Now();
    return It->second;
  }

  void reportFirstOutput(Placement &P, const FirstOutputReport &Output) {
    if (!P.Assigned || P.Assigned->HasOutput)
      return;
    P.Assigned->HasOutput = true;
    P.Assigned->OutputAt = Runtime_.Now();
    const ServeAt &Choice = P.Assigned->Choice;
    Decisions_.recordFirstOutput(Choice, P.Assigned->Dispatch, Output.Took);
    if (Output.Slowness)
      Decisions_.predictor().recordSlowness(Choice.Endpoint.Key,
                                            *Output.Slowness);
  }

  void end(PlacementId Id, const PlacementEnd &End) {
    if (auto Offered = Offers_.find(Id.Value); Offered != Offers_.end())
      return endOffer(Offered, End);
    auto Found = Placements_.find(Id.Value);
    if (Found == Placements_.end())
      return;
    Placement &P = Found->second;
    dequeue(P);
    if (P.Assigned && P.Assigned->OutputAt &&
        End.Outcome == AttemptOutcome::Answered)
      Decisions_.recordStream(P.Assigned->Choice.Endpoint.Pool,
                              P.Ask.Request.MaxOutputTokens,
                              Runtime_.Now() - *P.Assigned->OutputAt);
    if (P.Assigned && End.Outcome)
      Decisions_.end(P.Assigned->Choice, P.Assigned->Dispatch, *End.Outcome);
    else if (P.Assigned)
      Decisions_.loads().recordEnd(P.Assigned->Dispatch);
    if (P.Assigned && End.Outcome == AttemptOutcome::Moved)
      Fleet_.noteMoved(P.Assigned->Choice.Endpoint.Id);
    erase(Id);
  }

  /// Adopts a placement that another placer has assigned, or this one before it
  /// was restarted.
  void adopt(const std::string &Ip, const ListedPlacement &Listed) {
    const FleetEndpoint *E = Fleet_.endpoint(*Listed.Endpoint);
    if (E == nullptr)
      return;
    Placement &P = Placements_[Listed.Id.Value];
    P.Ip = Ip;
    P.ChangedAt = Runtime_.Now();
    P.Assigned = {{*E, {}, false, {}},
                  Decisions_.loads().recordStart(E->Key, Listed.Cost),
                  Listed.HasOutput,
                  std::nullopt};
    if (Listed.HasOutput)
      Decisions_.loads().recordFirstOutput(P.Assigned->Dispatch);
    hostOf(Ip).Placements.insert(Listed.Id.Value);
  }

  void reconcile(const std::string &Ip, const ListedPlacement &Listed) {
    auto Found = Placements_.find(Listed.Id.Value);
    if (Found == Placements_.end()) {
      if (Listed.Endpoint)
        return adopt(Ip, Listed);
      return Reply_(Ip, Listed.Id, {});
    }
    Placement &P = Found->second;
    bool Settled = Runtime_.Now() - P.ChangedAt > ListGrace;
    if (!Listed.Endpoint && P.Assigned && Settled)
      return repeatReply(Listed.Id, P);
    if (Listed.HasOutput && P.Assigned && !P.Assigned->HasOutput) {
      P.Assigned->HasOutput = true;
      Decisions_.loads().recordFirstOutput(P.Assigned->Dispatch);
    }
  }

  void listed(const std::string &Ip,
              const std::vector<ListedPlacement> &Placements,
              const ListPart &Part) {
    RequestingHost &Host = hostOf(Ip);
    Host.LastListAt = Runtime_.Now();
    std::unordered_set<std::uint64_t> ListedIds;
    for (const ListedPlacement &Listed : Placements)
      ListedIds.insert(Listed.Id.Value);
    std::vector<PlacementId> Ended;
    for (std::uint64_t Id : Host.Placements)
      if (Part.covers({Id}) && !ListedIds.contains(Id) &&
          Runtime_.Now() - Placements_.at(Id).ChangedAt > ListGrace)
        Ended.push_back({Id});
    for (PlacementId Id : Ended)
      end(Id, {});
    for (const ListedPlacement &Listed : Placements)
      reconcile(Ip, Listed);
  }

  void handOver() {
    std::vector<std::pair<PlacementId, std::string>> Waiting;
    for (const auto &[Id, P] : Placements_)
      if (P.QueueId && P.Ip != SelfIp_)
        Waiting.emplace_back(PlacementId{Id}, P.Ip);
    for (const auto &[Id, Ip] : Waiting) {
      end(Id, {});
      Reply_(Ip, Id, {});
    }
  }

  void tick() {
    std::vector<std::string> Unresponsive;
    for (const auto &[Ip, Host] : Hosts_)
      if (Ip != SelfIp_ && Runtime_.Now() - Host.LastListAt > ListLife)
        Unresponsive.push_back(Ip);
    for (const std::string &Ip : Unresponsive) {
      auto Remaining = Hosts_.at(Ip).Placements;
      for (std::uint64_t Id : Remaining)
        end({Id}, {});
      Hosts_.erase(Ip);
    }
    std::erase_if(Offers_, [Now = Runtime_.Now()](const auto &Entry) {
      return Now - Entry.second.At > RegionOfferLimiter::Memory;
    });
  }

  Runtime Runtime_;
  FleetView &Fleet_;
  Dispatcher &Decisions_;
  std::string SelfIp_;
  ReplyHook Reply_;
  std::unordered_map<std::uint64_t, Placement> Placements_;
  std::unordered_map<std::string, RequestingHost> Hosts_;
  OffersById Offers_;
  bool OffersScheduled_ = false;
};

PlacementServer::PlacementServer(Runtime R, FleetView &Fleet,
                                 Dispatcher &Decisions, std::string SelfIp,
                                 ReplyHook Reply)
    : Impl_(std::make_shared<Impl>(std::move(R), Fleet, Decisions,
                                   std::move(SelfIp), std::move(Reply))) {}
PlacementServer::~PlacementServer() = default;

void PlacementServer::ask(const std::string &Ip, PlacementId Id,
                          PlacementAsk Ask) {
  Impl_->ask(Ip, Id, std::move(Ask));
}
void PlacementServer::reportFirstOutput(PlacementId Id,
                                        const FirstOutputReport &Output) {
  auto Found = Impl_->Placements_.find(Id.Value);
  if (Found != Impl_->Placements_.end())
    Impl_->reportFirstOutput(Found->second, Output);
}
void PlacementServer::end(PlacementId Id, const PlacementEnd &End) {
  Impl_->end(Id, End);
}
void PlacementServer::listed(const std::string &Ip,
                             const std::vector<ListedPlacement> &Placements,
                             const ListPart &Part) {
  Impl_->listed(Ip, Placements, Part);
}
void PlacementServer::handOver() { Impl_->handOver(); }
void PlacementServer::tick() { Impl_->tick(); }

} // namespace celerybeam
