#include "decisions/fleet.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace celerybeam::bench {

namespace {

constexpr std::size_t RegionCount = 3;
constexpr std::size_t HostsOfRegion[RegionCount] = {5, 4, 4};
constexpr std::size_t EnginesPerRegion = 6;
constexpr Duration GossipInterval = std::chrono::seconds(1);
constexpr Duration ResendDelay = std::chrono::milliseconds(20);
constexpr double BytesPerPromptToken = 4;
constexpr double BytesPerAnswerToken = 200;
/// Time after the last arrival in which answers still count.
constexpr Duration Drain = std::chrono::seconds(120);

RegionId regionName(std::size_t Region) {
  return RegionId("region" + std::to_string(Region));
}

} // namespace

class Fleet::Impl {
public:
  explicit Impl(RunPlan Plan)
      : Plan_(std::move(Plan)), Time_(Plan_.Load.Seed),
        Arrivals_(makeArrivals(Plan_.Load)) {
    for (std::size_t I = 0; I < RegionCount * EnginesPerRegion; ++I)
      Engines_.push_back(
          std::make_unique<Engine>(Time_, EndpointId("m" + std::to_string(I))));
    for (std::size_t Region = 0; Region < RegionCount; ++Region)
      for (std::size_t I = 0; I < HostsOfRegion[Region]; ++I)
        addHost(Region, I);
    for (auto &Host : Hosts_)
      Host->start();
    gossip();
  }

  Outcome run() {
    for (std::size_t I = 0; I < Arrivals_.size(); ++I)
      Time_.after(Arrivals_[I].At, [this, I] { arrive(I, Plan_.Resends); });
    Time_.after(Plan_.Load.Length / 10, [this] { slowEngines(); });
    Time_.runFor(Plan_.Load.Length + Drain);
    Result_.Arrived = Arrivals_.size();
    Result_.Seconds = static_cast<double>(Plan_.Load.Length.count()) / 1e6;
    for (const auto &E : Engines_) {
      Result_.SlotSeconds += E->slotSeconds();
      Result_.CachedTokens += E->cachedTokens();
      Result_.PromptTokens += E->promptTokens();
    }
    return Result_;
  }

private:
  /// One request on its way.
  struct Flight {
    const Arrival *Request = nullptr;
    RequestId Id;
    /// The host that runs it, and the one that the caller asked.
    std::size_t Host = 0;
    std::size_t Origin = 0;
    TimePoint ArrivedAt{};
    TimePoint Deadline{};
    AttemptNumber Attempts = 0;
    std::map<AttemptNumber, Engine *> Running;
    AttemptNumber Winner = 0;
    bool ForwardingConsidered = false;
    bool Ended = false;
    unsigned Resends = 0;
    TimePoint DispatchedAt{};
    /// Of the winning attempt.
    TimePoint FirstTokenAt{};
    TimePoint LastProgress{};
    std::uint32_t AttemptTokens = 0;
    /// Of all attempts.
    std::uint32_t Tokens = 0;

    bool isAway() const { return Host != Origin; }
  };
  using FlightPtr = std::shared_ptr<Flight>;

  void addHost(std::size_t Region, std::size_t Index) {
    HostIdentity Self;
    Self.Id = HostId("h" + std::to_string(Region) + std::to_string(Index));
    Self.Region = regionName(Region);
    Self.Zone = ZoneId(Self.Region.str() + "a");
    std::vector<Engine *> Own;
    for (std::size_t I = 0; I < EnginesPerRegion; ++I)
      Own.push_back(Engines_[Region * EnginesPerRegion + I].get());
    HostsOf_[Region].push_back(Hosts_.size());
    IndexOf_[Self.Id] = Hosts_.size();
    Hosts_.push_back(std::make_unique<BenchHost>(Time_, Self, Plan_.User,
                                                 Plan_.Rule, std::move(Own)));
  }

  /// Tells every host of the others and of their pools, as gossip would.
  void gossip() {
    for (const auto &From : Hosts_) {
      PeerRecord Peer;
      Peer.Id = From->Board.self().Id;
      Peer.Region = From->Board.self().Region;
      Peer.LastHeard = Time_.now();
      Peer.Pools = From->Admission.poolLoads();
      for (const auto &To : Hosts_)
        if (To != From)
          To->Board.peers().set(Peer.Id, Peer);
    }
    Time_.after(GossipInterval, [this] { gossip(); });
  }

  void slowEngines() {
    // One in each region in turn.
    for (std::size_t I = 0; I < Plan_.SlowEngines; ++I)
      Engines_[(I % RegionCount) * EnginesPerRegion + I / RegionCount]
          ->setSlowdown(Plan_.Slowdown);
  }

  void arrive(std::size_t Index, unsigned Resends) {
    const Arrival &A = Arrivals_[Index];
    auto F = std::make_shared<Flight>();
    F->Request = &A;
    F->Id = RequestId("r" + std::to_string(++LastRequest_));
    F->ArrivedAt = Time_.now();
    F->Deadline = Time_.now() + A.Deadline;
    F->Resends = Resends;
    const auto &Local = HostsOf_[A.Region];
    F->Origin = F->Host = Local[Time_.random() % Local.size()];
    Time_.after(Plan_.User.CallerHop, [this, F] { begin(F); });
  }

  BenchHost &hostOf(const Flight &F) { return *Hosts_[F.Host]; }

  void begin(const FlightPtr &F) {
    BenchHost &Host = hostOf(*F);
    if (Plan_.Rule != Policy::Celerybeam) {
      Engine &E = Host.Simple.pick(*F->Request, Host.Board, Time_.random());
      dispatch(F, E);
      return;
    }
    Duration Wait = Host.Admission.predictedWait(
        PoolName("cedar"), F->Request->Class, CustomerId(F->Request->Customer));
    RouteQuery Query = queryOf(*F);
    Query.QueueWait = Wait;
    std::optional<ForwardToRegion> Away = Host.Routes.chooseRemoteRegion(Query);
    F->ForwardingConsidered = true;
    if (Away)
      sendAway(F, *Away);
    else
      admit(F);
  }

  void sendAway(const FlightPtr &F, const ForwardToRegion &Away) {
    ++Result_.SentAway;
    Result_.EgressBytes += wireBytes(*F->Request);
    F->Host = IndexOf_.at(Away.Host);
    Time_.after(Plan_.User.RegionHop, [this, F] { admit(F); });
  }

  void admit(const FlightPtr &F) {
    BenchHost &Host = hostOf(*F);
    AdmissionRequest Ask{F->Id,
                         benchRoute(*Host.Board.tables()).Name,
                         benchPool(*Host.Board.tables()).Name,
                         CustomerId(F->Request->Customer),
                         F->Request->Class,
                         F->Request->promptTokens() + F->Request->AnswerTokens,
                         F->Deadline};
    Host.Admission.submit(Ask, [this, F](const Result<void> &Admitted) {
      if (Admitted)
        route(F);
      else
        refused(F, Admitted.error());
    });
  }

  void route(const FlightPtr &F) {
    BenchHost &Host = hostOf(*F);
    Result<RouteChoice> Choice = Host.Routes.choose(queryOf(*F));
    if (!Choice) {
      Host.Admission.finished(F->Id, 0);
      refused(F, Choice.error());
      return;
    }
    if (auto *Here = std::get_if<ServeLocally>(&*Choice)) {
      dispatch(F, engineOf(Here->Endpoint));
      return;
    }
    Host.Admission.finished(F->Id, 0);
    sendAway(F, std::get<ForwardToRegion>(*Choice));
  }

  RouteQuery queryOf(const Flight &F) {
    TablesSnapshot T = Hosts_[F.Host]->Board.tables();
    RouteQuery Query;
    Query.Route = benchRoute(*T).Name;
    Query.Pool = benchPool(*T).Name;
    Query.Customer = CustomerId(F.Request->Customer);
    Query.Model = benchPool(*T).Model;
    Query.Class = F.Request->Class;
    Query.Prefix = F.Request->Blocks;
    Query.PromptTokens = F.Request->promptTokens();
    Query.MaxTokens = F.Request->AnswerTokens;
    Query.Deadline = F.Deadline;
    Query.MayLeaveRegion = !F.isAway();
    Query.ForwardingConsidered = F.ForwardingConsidered;
    Query.WireBytes = static_cast<std::uint64_t>(wireBytes(*F.Request));
    for (const auto &[Number, E] : F.Running)
      Query.Excluded.push_back(E->id());
    return Query;
  }

  static double wireBytes(const Arrival &A) {
    return BytesPerPromptToken * A.promptTokens() +
           BytesPerAnswerToken * A.AnswerTokens;
  }

  Engine &engineOf(const EndpointId &Id) {
    auto It = std::find_if(Engines_.begin(), Engines_.end(),
                           [&](const auto &E) { return E->id() == Id; });
    return **It;
  }

  void dispatch(const FlightPtr &F, Engine &E) {
    AttemptId Attempt{F->Id, ++F->Attempts};
    F->Running.emplace(Attempt.Number, &E);
    F->DispatchedAt = Time_.now();
    hostOf(*F).Monitor.dispatched(E.id(), Attempt, F->Request->Class);
    Time_.after(Plan_.User.ZoneHop, [this, F, Attempt, &E] {
      Arrival Rest = *F->Request;
      Rest.ResumedTokens = F->Tokens;
      Rest.AnswerTokens -= F->Tokens;
      E.submit(Attempt, Rest, F->Deadline, observer(F, Attempt, E));
    });
    if (Plan_.Rule == Policy::Celerybeam && Attempt.Number == 1 &&
        F->Request->Class == RequestClass::Short)
      scheduleHedge(F);
  }

  void scheduleHedge(const FlightPtr &F) {
    BenchHost &Host = hostOf(*F);
    Time_.after(Host.Hedges.hedgeDelay(PoolName("cedar")), [this, F, &Host] {
      // Requests that wait need the slot more than a second attempt does.
      if (F->Winner != 0 || F->Ended ||
          Host.Admission.poolStats(PoolName("cedar")).Waiting > 0)
        return;
      if (!Host.Hedges.takeHedge(PoolName("cedar")))
        return;
      Result<RouteChoice> Choice = Host.Routes.choose(queryOf(*F));
      if (!Choice || !std::holds_alternative<ServeLocally>(*Choice))
        return;
      ++Result_.Hedges;
      dispatch(F, engineOf(std::get<ServeLocally>(*Choice).Endpoint));
    });
  }

  /// Carries an engine's events to the host, a hop later.
  EngineObserver observer(const FlightPtr &F, const AttemptId &Attempt,
                          Engine &E) {
    auto Later = [this](Task Work) {
      Time_.after(Plan_.User.ZoneHop, std::move(Work));
    };
    EngineObserver Observer;
    Observer.OnFirstToken = [=, this, &E] {
      Later([=, this, &E] { firstToken(F, Attempt, E); });
    };
    Observer.OnProgress = [=, this, &E](std::uint32_t Tokens) {
      Later([=, this, &E] { progressed(F, Attempt, E, Tokens); });
    };
    Observer.OnEnd = [=, this, &E](bool Whole) {
      Later([=, this, &E] { ended(F, Attempt, E, Whole); });
    };
    return Observer;
  }

  void firstToken(const FlightPtr &F, const AttemptId &Attempt, Engine &E) {
    BenchHost &Host = hostOf(*F);
    Host.heardLoad(E);
    Host.Monitor.firstToken(E.id(), Attempt);
    if (F->Winner != 0 || !F->Running.contains(Attempt.Number))
      return;
    F->Winner = Attempt.Number;
    F->FirstTokenAt = F->LastProgress = Time_.now();
    F->AttemptTokens = 1;
    ++F->Tokens;
    if (F->Request->Class == RequestClass::Short && F->Tokens == 1) {
      Host.Hedges.observe(PoolName("cedar"), Time_.now() - F->DispatchedAt,
                          benchPool(*Host.Board.tables()).HedgeShare);
      Result_.ShortFirstToken.add(Time_.now() + answerHops(*F) - F->ArrivedAt);
    }
    cancelOthers(F, Attempt.Number);
  }

  void progressed(const FlightPtr &F, const AttemptId &Attempt, Engine &E,
                  std::uint32_t Tokens) {
    BenchHost &Host = hostOf(*F);
    Host.Monitor.progressed(E.id(), Attempt);
    if (F->Winner != Attempt.Number)
      return;
    F->AttemptTokens += Tokens;
    F->Tokens += Tokens;
    Host.Progress.observeGap(PoolName("cedar"),
                             (Time_.now() - F->LastProgress) / Tokens);
    F->LastProgress = Time_.now();
    if (Plan_.Rule == Policy::Celerybeam)
      moveIfSlow(F, Attempt, E);
  }

  /// Resumes a slow stream at another engine, within the retry budget.
  void moveIfSlow(const FlightPtr &F, const AttemptId &Attempt, Engine &E) {
    BenchHost &Host = hostOf(*F);
    if (!Host.Progress.isSlow(PoolName("cedar"), F->AttemptTokens,
                              Time_.now() - F->FirstTokenAt) ||
        !Host.Retries.take(PoolName("cedar")))
      return;
    Result<RouteChoice> Choice = Host.Routes.choose(queryOf(*F));
    if (!Choice || !std::holds_alternative<ServeLocally>(*Choice))
      return;
    ++Result_.Moves;
    Host.Monitor.ended(E.id(), Attempt,
                       makeError(ErrorKind::StreamStalled, "slow"));
    Time_.after(Plan_.User.ZoneHop, [&E, Attempt] { E.cancel(Attempt); });
    F->Running.clear();
    F->Winner = 0;
    dispatch(F, engineOf(std::get<ServeLocally>(*Choice).Endpoint));
  }

  void cancelOthers(const FlightPtr &F, AttemptNumber Kept) {
    for (auto &[Number, E] : F->Running) {
      if (Number == Kept)
        continue;
      AttemptId Loser{F->Id, Number};
      hostOf(*F).Monitor.ended(E->id(), Loser,
                               makeError(ErrorKind::Cancelled, "hedge lost"));
      Time_.after(Plan_.User.ZoneHop, [E = E, Loser] { E->cancel(Loser); });
    }
    Engine *Winner = F->Running.at(Kept);
    F->Running = {{Kept, Winner}};
  }

  void ended(const FlightPtr &F, const AttemptId &Attempt, Engine &E,
             bool Whole) {
    if (!F->Running.contains(Attempt.Number) || F->Ended)
      return;
    BenchHost &Host = hostOf(*F);
    Host.heardLoad(E);
    Result<void> How;
    if (!Whole)
      How = makeError(ErrorKind::DeadlineExpired, "late");
    Host.Monitor.ended(E.id(), Attempt, How);
    if (Whole)
      Host.Retries.succeeded(PoolName("cedar"),
                             benchPool(*Host.Board.tables()).RetryShare);
    F->Running.erase(Attempt.Number);
    if (!Whole && !F->Running.empty())
      return;
    F->Ended = true;
    Host.Admission.finished(F->Id, F->Request->AnswerTokens);
    record(*F, Whole);
  }

  Duration answerHops(const Flight &F) const {
    return Plan_.User.CallerHop +
           (F.isAway() ? Plan_.User.RegionHop : Duration(0));
  }

  void record(const Flight &F, bool Whole) {
    TimePoint At = Time_.now() + answerHops(F);
    if (!Whole || At > F.Deadline) {
      ++Result_.Late;
      return;
    }
    ++Result_.InTime;
    Result_.TokensInTime += F.Request->AnswerTokens;
    bool IsShort = F.Request->Class == RequestClass::Short;
    (IsShort ? Result_.ShortTotal : Result_.LongTotal).add(At - F.ArrivedAt);
  }

  void refused(const FlightPtr &F, const Error &) {
    if (F->isAway()) {
      // The other region cannot after all; the first host goes on.
      F->Host = F->Origin;
      Time_.after(Plan_.User.RegionHop, [this, F] { admit(F); });
      return;
    }
    F->Ended = true;
    Result_.Refusal.add(Time_.now() + answerHops(*F) - F->ArrivedAt);
    if (F->Resends == 0) {
      ++Result_.Refused;
      return;
    }
    auto Index = static_cast<std::size_t>(F->Request - Arrivals_.data());
    Time_.after(ResendDelay,
                [this, Index, Left = F->Resends - 1] { arrive(Index, Left); });
  }

  RunPlan Plan_;
  testing::VirtualTime Time_;
  std::vector<Arrival> Arrivals_;
  std::vector<std::unique_ptr<Engine>> Engines_;
  std::vector<std::unique_ptr<BenchHost>> Hosts_;
  std::vector<std::size_t> HostsOf_[RegionCount];
  std::map<HostId, std::size_t> IndexOf_;
  std::uint64_t LastRequest_ = 0;
  Outcome Result_;
};

Fleet::Fleet(RunPlan Plan) : Impl_(std::make_unique<Impl>(std::move(Plan))) {}
Fleet::~Fleet() = default;
Outcome Fleet::run() { return Impl_->run(); }

} // namespace celerybeam::bench
