#include "dispatch/dispatcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "dispatch/endpointreservations.h"
#include "dispatch/fairshares.h"
#include "dispatch/queueforecast.h"
#include "dispatch/returningcallers.h"
#include "framework/stablehash.h"

namespace celerybeam {

namespace {

/// Sends beyond the endpoints that a request may run on: those that said that
/// they did not run it.
constexpr unsigned MaxRefusedSends = 2;
/// No request is sent that has less time left than this.
constexpr Duration LeastTimeLeft = std::chrono::milliseconds(20);
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(50);
constexpr Duration MostRetryAfter = std::chrono::seconds(5);
/// An endpoint is silent after this multiple of the time that its oldest
/// request should take, and this much more: neighbours on its machine slow it
/// down by less, and stalls of a moment end within the margin.
constexpr int SilenceFactor = 3;
constexpr Duration SilenceMargin = std::chrono::milliseconds(250);

struct Candidate {
  const FleetEndpoint *Endpoint = nullptr;
  Prediction Expected;
  Duration Score{};
  bool Cold = false;
  /// Not trusted, but better than nothing.
  bool LastResort = false;
  /// It has no room, and others may wait for its next place, too; or, of a
  /// plain service, it fails so often that a place at another is waited for.
  bool Busy = false;
  Address CopyFrom;

  /// Whether a request goes here rather than there.
  bool isBefore(const Candidate &Other) const {
    return std::tie(LastResort, Busy, Score) <
           std::tie(Other.LastResort, Other.Busy, Other.Score);
  }
};

struct AwayChoice {
  HostState Host;
  Duration Expected{};
};

bool contains(const auto &List, const auto &Item) {
  return std::find(List.begin(), List.end(), Item) != List.end();
}

} // namespace

class Dispatcher::Impl {
public:
  Impl(Runtime R, FleetView &Fleet, HostRegistry &Hosts,
       RetryBudgetBounds RetryBounds, DispatchSettings Settings)
      : Runtime_(std::move(R)), Fleet_(Fleet), Hosts_(Hosts),
        Settings_(Settings), Loads_(Runtime_), Health_(Runtime_),
        Crashes_(Runtime_), Regions_(Runtime_),
        Predictor_(Runtime_, Loads_, Prefixes_), Budget_(Runtime_, RetryBounds),
        Cold_(Runtime_), Lane_(Settings.LongPrompts), Forecast_(Runtime_),
        Shares_(Runtime_), Reservations_(Runtime_), Returning_(Runtime_) {}

  PoolName drawPool(const FleetRoute &Route) {
    double Sum = 0;
    for (const WeightedPool &W : Route.Pools)
      Sum += W.Weight;
    constexpr double Scale = 1.0 / 18446744073709551616.0;
    double At = static_cast<double>(Runtime_.Random()) * Scale * Sum;
    for (const WeightedPool &W : Route.Pools) {
      if (At < W.Weight)
        return W.Pool;
      At -= W.Weight;
    }
    return Route.Pools.empty() ? PoolName() : Route.Pools.back().Pool;
  }

  bool isHome(const FleetRoute &Route, const RegionId &Region) const {
    return Route.Homes.empty() || Route.Homes.contains(Region);
  }

  /// Endpoints of the region at which this host places requests. Without any,
  /// it places at all of them: another host could not be asked.
  std::vector<const FleetEndpoint *> placedHere(const PoolName &Pool) const {
    const auto &Usable = Fleet_.usable(Pool, Hosts_.self().Region);
    std::vector<const FleetEndpoint *> Own;
    for (const FleetEndpoint *E : Usable)
      if (Owns_ && Owns_(E->Key))
        Own.push_back(E);
    return Own.empty() ? Usable : Own;
  }

  bool owns(const EndpointKey &Key) const { return !Owns_ || Owns_(Key); }

  /// Whether this host alone hands out what a cold endpoint bears.
  bool mayHandOutCold(const EndpointKey &Key) const {
    return owns(Key) &&
           (!SettledFor_ || SettledFor_() >= ColdAllowance::SettleTime);
  }

  /// Position of each endpoint in the order in which a prompt's beginning
  /// prefers them, 0 first.
  static std::vector<int>
  preferences(const std::vector<const FleetEndpoint *> &Endpoints,
              const std::vector<PrefixLevel> &Levels) {
    std::vector<int> Positions(Endpoints.size(), 0);
    if (Levels.empty())
      return Positions;
    std::vector<std::uint64_t> Ranks;
    Ranks.reserve(Endpoints.size());
    for (const FleetEndpoint *E : Endpoints)
      Ranks.push_back(stableHash(E->Key.Value, Levels.back().Hash));
    for (std::size_t I = 0; I < Ranks.size(); ++I)
      Positions[I] = static_cast<int>(
          std::count_if(Ranks.begin(), Ranks.end(),
                        [&](std::uint64_t R) { return R > Ranks[I]; }));
    return Positions;
  }

  bool isCold(const FleetEndpoint &E, const FleetPool &Pool) const {
    return E.ColdUntil > Runtime_.Now() && Pool.ColdRequestsPerSecond > 0;
  }

  /// How much longer an endpoint is thought to be silent that works on requests
  /// and has answered none of them for far longer than the oldest should take:
  /// as long again. Zero for others.
  ///
  /// Answers to "all endpoints of a region go dark, and what is sent there
  /// hangs": requests would wait for endpoints that make no progress.
  Duration silenceAhead(const FleetEndpoint &E, const FleetPool &Pool) const {
    auto Silence = Loads_.silence(E.Key);
    if (!Silence)
      return {};
    Duration For = std::min(Silence->For, Health_.sinceGoodCheck(E.Key));
    Duration Expected = Predictor_.ownTimeAt(E, Pool, Silence->Oldest);
    return For > SilenceFactor * Expected + SilenceMargin ? For : Duration();
  }

  /// An endpoint that wants nothing for now, or is silent, is waited for if no
  /// other is sooner.
  static void waitForRest(Candidate &C, Duration Rest, AttemptLog &Log) {
    ++Log.Seen.Resting;
    C.Expected.Ready = false;
    C.Expected.Wait += Rest;
    C.Expected.ToFirstOutput += Rest;
  }

  /// What a prompt costs the others at an engine.
  Duration engineCost(const Candidate &C,
                      const std::vector<const FleetEndpoint *> &Endpoints,
                      const FleetPool &Pool, const FleetRoute &Route) const {
    Duration Uncached = Predictor_.ownTime(Pool, C.Expected.UncachedTokens);
    return scaled(Uncached, Settings_.UncachedCost) +
           Lane_.score(*C.Endpoint, Endpoints, C.Expected.Wait + Uncached,
                       Route.EventGapTarget,
                       Loads_.at(C.Endpoint->Key).InFlight);
  }

  std::optional<Candidate> bestHere(const RequestDescriptor &Request,
                                    const FleetRoute &Route,
                                    const FleetPool &Pool, AttemptLog &Log) {
    if (!isHome(Route, Hosts_.self().Region))
      return std::nullopt;
    auto Endpoints = placedHere(Pool.Name);
    auto Preferences = preferences(Endpoints, Request.Levels);
    PrefixSource Source = Predictor_.sourceAmong(Endpoints, Pool, Request);
    if (Source.Endpoint != nullptr && !Health_.isTrusted(Source.Endpoint->Key))
      Source = {};
    std::optional<Candidate> Best;
    Log.Seen.Usable = static_cast<unsigned>(Endpoints.size());
    for (std::size_t I = 0; I < Endpoints.size(); ++I) {
      const FleetEndpoint *E = Endpoints[I];
      bool Trusted = Health_.isTrusted(E->Key);
      Log.Seen.Untrusted += Trusted ? 0 : 1;
      bool Trial = !Trusted && mayRepeat(Route.Kind) && Health_.mayTry(E->Key);
      bool LastResort = !Trusted && !Trial && Health_.isLastResort(E->Key);
      if (contains(Log.Tried, E->Key) || !(Trusted || Trial || LastResort))
        continue;
      Candidate C;
      C.Endpoint = E;
      C.LastResort = LastResort;
      C.Cold = isCold(*E, Pool);
      if (C.Cold && !(mayHandOutCold(E->Key) &&
                      Cold_.wouldTake(E->Key, Pool.ColdRequestsPerSecond))) {
        ++Log.Seen.Cold;
        continue;
      }
      C.Expected = Predictor_.predict(*E, Pool, Request, Route, Source);
      if (Reservations_.isKeptFrom(E->Key, Request.Fingerprint))
        C.Expected.Ready = false;
      if (Duration Rest = Fleet_.restOf(E->Key); Rest > Duration::zero())
        waitForRest(C, Rest, Log);
      if (Duration Silence = silenceAhead(*E, Pool);
          Silence > Duration::zero()) {
        Health_.doubt(E->Key);
        waitForRest(C, Silence, Log);
      }
      if (C.Expected.CopiedTokens > 0)
        C.CopyFrom = Source.Endpoint->Where;
      C.Score = C.Expected.ToFirstOutput +
                scaled(Settings_.FailurePenalty, Health_.failureShare(E->Key));
      if (Pool.Engine)
        C.Score += engineCost(C, Endpoints, Pool, Route) +
                   Settings_.PreferenceStep * Preferences[I];
      C.Busy =
          !C.Expected.HasRoom || (!Pool.Engine && !Health_.isSound(E->Key));
      if (!Best || C.isBefore(*Best))
        Best = C;
    }
    return Best;
  }

  std::optional<AwayChoice> bestAway(const RequestDescriptor &Request,
                                     const FleetRoute &Route,
                                     const FleetPool &Pool,
                                     const AttemptLog &Log) {
    if (Request.Forwarded)
      return std::nullopt;
    Duration Own = Predictor_.ownTime(Pool, Request.PromptTokens);
    std::optional<AwayChoice> Best;
    for (const RegionId &Region : Hosts_.otherRegions()) {
      if (!isHome(Route, Region) || contains(Log.RegionsTried, Region))
        continue;
      auto Wait = Regions_.wait(Region, Pool.Name, Own);
      auto Host = Wait ? Hosts_.drawServing(Region) : std::nullopt;
      if (!Host)
        continue;
      Duration Expected = *Wait + Settings_.RegionHop + Own;
      // There it waits behind those that can be on time.
      if (Runtime_.Now() + Expected > *Log.FirstAsked + Route.LatencyTarget)
        Expected += Regions_.lateWait(Region, Pool.Name);
      // Regions that are equally soon share what is sent away.
      if (Best && (Best->Expected < Expected ||
                   (Best->Expected == Expected && Runtime_.Random() % 2 == 0)))
        continue;
      Best = {*Host, Expected};
    }
    return Best;
  }

  Refusal refuse(std::string Reason, Duration RetryAfter) {
    // Spread, so that those refused together do not come back together.
    auto Spread = static_cast<Duration::rep>(
        Runtime_.Random() % static_cast<std::uint64_t>(std::max<Duration::rep>(
                                1, RetryAfter.count() / 2)));
    Duration After = std::clamp(RetryAfter + Duration(Spread), LeastRetryAfter,
                                MostRetryAfter);
    return {After, std::move(Reason)};
  }

  std::optional<Refusal> admit(const RequestDescriptor &Request,
                               const FleetRoute &Route, AttemptLog &Log) {
    if (Log.Pool.empty()) {
      Log.Arrived = Runtime_.Now() - Request.WaitedBefore;
      Log.Pool = drawPool(Route);
      if (!Request.Forwarded)
        Budget_.request(Log.Pool);
    }
    if (poolOf(Log) == nullptr)
      return refuse("unknown_pool", Settings_.DefaultRetryAfter);
    if (Crashes_.isRefused(Request.Fingerprint))
      return refuse("crashes_endpoints", CrashedRequests::Retention);
    if (Request.Deadline - Runtime_.Now() < LeastTimeLeft)
      return refuse("no_time_left", LeastRetryAfter);
    return std::nullopt;
  }

  const FleetPool *poolOf(const AttemptLog &Log) const {
    const FleetTablesPtr &Tables = Fleet_.tables();
    return Tables ? Tables->pool(Log.Pool) : nullptr;
  }

  DispatchDecision choose(const RequestDescriptor &Request,
                          const FleetRoute &Route, AttemptLog &Log) {
    if (auto Refused = admit(Request, Route, Log))
      return *Refused;
    const FleetPool *Pool = poolOf(Log);
    Log.Seen = {};
    if (!Log.FirstAsked)
      Log.FirstAsked =
          Returning_.takeFirstAsked(Request.Fingerprint).value_or(Log.Arrived);
    auto Here = bestHere(Request, Route, *Pool, Log);
    auto Away = bestAway(Request, Route, *Pool, Log);
    if (!Here && !Away)
      return refuse("no_endpoint", Settings_.DefaultRetryAfter);
    AdmissionCase Case = caseOf(Request, Route, *Pool, Log, Here);
    Admission Home = Here ? celerybeam::admit(Case) : Admission();
    Log.Seen.Limit = Case.Latest;
    if (Here)
      Log.Seen.Here = Home.Expected;
    if (Away)
      Log.Seen.Away = Away->Expected;
    if (Away &&
        isBetterAway(Away->Expected, Case, Home, Here && !Here->LastResort))
      return PassOn{Away->Host, Away->Expected};
    if (!Here)
      return refuseLate(Request, Log,
                        Case.Waited + Away->Expected - Case.Latest);
    noteAdmission(Request, Route, *Pool, Log, *Here, Home);
    if (!Home.Admitted)
      return refuseLate(Request, Log, Home.RetryAfter);
    if (Case.MustWait)
      return holdFor(Request, Route, *Pool, Log, *Here, Case, Home);
    if (Here->Cold &&
        !Cold_.take(Here->Endpoint->Key, Pool->ColdRequestsPerSecond))
      return refuse("cold", Settings_.DefaultRetryAfter);
    return ServeAt{*Here->Endpoint, Here->Expected, Here->Cold, Here->CopyFrom};
  }

  Refusal refuseLate(const RequestDescriptor &Request, const AttemptLog &Log,
                     Duration RetryAfter) {
    Refusal Why = refuse("too_late", RetryAfter);
    Returning_.refused(Request.Fingerprint, *Log.FirstAsked, Why.RetryAfter);
    return Why;
  }

  /// Time that serving the request takes of an engine, or of one slot of a
  /// plain service. An engine reads one prompt at a time and has a slot taken
  /// until the stream ends: whichever is scarcer counts.
  Duration workOf(const RequestDescriptor &Request, const FleetPool &Pool,
                  const Candidate &Here) const {
    Duration Own = Predictor_.ownTime(Pool, Here.Expected.UncachedTokens);
    if (!Pool.Engine)
      return Own;
    Duration Whole = Own + Predictor_.streamTime(Pool, Request.MaxOutputTokens);
    auto Slots = static_cast<Duration::rep>(std::max(1U, Here.Endpoint->Slots));
    return std::max(Own - Predictor::EngineOverhead, Whole / Slots);
  }

  ServiceClass classOf(const FleetRoute &Route, const FleetPool &Pool,
                       const Candidate &Here) const {
    return {Pool.Name, Route.Rank, isLong(Route, Here)};
  }

  /// Whether a long prompt may wait among those that can be on time.
  bool isOwedAShare(const FleetRoute &Route, const FleetPool &Pool,
                    const AttemptLog &Log, const Candidate &Here) const {
    if (Log.Held)
      return Log.HasShare;
    ServiceClass Class = classOf(Route, Pool, Here);
    return Class.Long && Shares_.isLengthOwed(Class);
  }

  /// Rank in the queue.
  unsigned queueRank(const FleetRoute &Route, const FleetPool &Pool,
                     const AttemptLog &Log, const Candidate &Here) const {
    bool Owed = isOwedAShare(Route, Pool, Log, Here) ||
                Shares_.isRankOwed(classOf(Route, Pool, Here));
    return Owed ? 0 : Route.Rank;
  }

  bool isLong(const FleetRoute &Route, const Candidate &Here) const {
    Duration Idle = Here.Expected.ToFirstOutput - Here.Expected.Wait;
    return isStream(Route.Kind) &&
           Idle > scaled(Route.LatencyTarget, Settings_.LongFrom);
  }

  /// What has begun is finished, if late: giving it up would waste the work.
  Duration latestOutput(const RequestDescriptor &Request,
                        const FleetRoute &Route, const FleetPool &Pool,
                        const AttemptLog &Log) const {
    Duration ToDeadline = Request.Deadline - Log.Arrived;
    if (Log.Runs > 0 || !isStream(Route.Kind))
      return ToDeadline;
    Duration Latest =
        ToDeadline - Predictor_.streamTime(Pool, Request.MaxOutputTokens);
    if (Route.FirstOutputPatience > Duration::zero())
      Latest = std::min(Latest,
                        Route.FirstOutputPatience - Settings_.PatienceMargin);
    return Latest;
  }

  AdmissionCase caseOf(const RequestDescriptor &Request,
                       const FleetRoute &Route, const FleetPool &Pool,
                       const AttemptLog &Log,
                       const std::optional<Candidate> &Here) const {
    AdmissionCase Case;
    Case.Waited = Runtime_.Now() - Log.Arrived;
    Case.SinceFirstAsked = Runtime_.Now() - *Log.FirstAsked;
    Case.LatencyTarget = Route.LatencyTarget;
    Case.Latest = latestOutput(Request, Route, Pool, Log);
    if (!Here)
      return Case;
    Case.Own = Here->Expected.ToFirstOutput;
    unsigned Rank = queueRank(Route, Pool, Log, *Here);
    Case.MustWait =
        !Here->Expected.Ready || (!Log.Held && Held_.hasAhead(Log.Pool, Rank));
    Case.IsOwedAShare = isOwedAShare(Route, Pool, Log, *Here);
    if (!Case.MustWait)
      return Case;
    WorkAhead Ahead = Held_.ahead(Pool.Name, Rank, Log.Arrived, Runtime_.Now());
    // Those that can be on time are offered to in order.
    if (!Log.Held)
      Case.OnTimeWait = Forecast_.onTimeWait(Pool.Name, Ahead, placesOf(Pool));
    if (!Log.Held || Log.Lane == QueueLane::OnTime)
      Case.LateWait = Forecast_.lateWait(Pool.Name, Ahead, placesOf(Pool));
    return Case;
  }

  /// Another region's endpoints are worth the transfer if home would refuse the
  /// request, or if the answer comes clearly sooner, and on time.
  bool isBetterAway(Duration Expected, const AdmissionCase &Case,
                    const Admission &Home, bool IsServedWellHere) const {
    if (Case.Waited + Expected > Case.Latest)
      return false;
    if (!IsServedWellHere || !Home.Admitted)
      return true;
    bool OnTime = Case.SinceFirstAsked + Expected <= Case.LatencyTarget;
    return (OnTime || Case.IsOwedAShare) &&
           Home.Expected > scaled(Case.LatencyTarget, Settings_.AwayFrom) &&
           Expected + Settings_.AwayGain < Home.Expected;
  }

  void noteAdmission(const RequestDescriptor &Request, const FleetRoute &Route,
                     const FleetPool &Pool, const AttemptLog &Log,
                     const Candidate &Here, const Admission &Home) {
    if (!Log.Held) {
      if (Home.Admitted && Home.Lane == QueueLane::OnTime)
        Forecast_.arrived(Pool.Name, workOf(Request, Pool, Here));
      Shares_.decided(classOf(Route, Pool, Here), Home.Admitted);
    } else if (!Home.Admitted) {
      Shares_.failed(classOf(Route, Pool, Here));
    }
  }

  Hold holdFor(const RequestDescriptor &Request, const FleetRoute &Route,
               const FleetPool &Pool, AttemptLog &Log, const Candidate &Here,
               const AdmissionCase &Case, const Admission &Home) const {
    unsigned Rank = queueRank(Route, Pool, Log, Here);
    Log.Lane = Home.Lane;
    Log.HasShare = Case.IsOwedAShare;
    bool OnTime = Home.Lane == QueueLane::OnTime;
    Duration Own = Here.Expected.ToFirstOutput - Here.Expected.Wait;
    TimePoint Last = Log.Arrived + Case.Latest - Own;
    Hold Wait;
    Wait.Expected = Home.Expected;
    Wait.QueueWait = OnTime ? Case.OnTimeWait : Duration::zero();
    Wait.Work = workOf(Request, Pool, Here);
    Wait.Rank = Rank;
    Wait.KeepsEndpoint = Case.IsOwedAShare;
    Wait.OnTimeUntil = Log.Arrived;
    Wait.DecideAgainAt = Last;
    if (Case.IsOwedAShare)
      Wait.OnTimeUntil = Last;
    else if (OnTime)
      Wait.OnTimeUntil = Wait.DecideAgainAt =
          std::min(Last, *Log.FirstAsked + Route.LatencyTarget - Own);
    return Wait;
  }

  std::size_t placesOf(const FleetPool &Pool) const {
    auto Endpoints = placedHere(Pool.Name);
    if (Pool.Engine || Endpoints.empty())
      return Endpoints.size();
    return Endpoints.size() * std::max(1U, Endpoints.front()->Slots);
  }

  void addPlaces(const FleetEndpoint &E, const FleetPool &Pool,
                 const Prediction &Expected, PoolOutlook &Outlook) const {
    const EndpointLoad &Load = Loads_.at(E.Key);
    if (Pool.Engine) {
      ++Outlook.Places;
      Outlook.FreePlaces += Expected.Ready && Load.AllPrefill == 0 ? 1 : 0;
      return;
    }
    std::uint32_t Slots = std::max(1U, E.Slots);
    Outlook.Places += Slots;
    Outlook.FreePlaces += Slots - std::min(Slots, Load.InFlight);
  }

  static Duration scaled(Duration D, double Factor) {
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(D.count()) * Factor));
  }

  Runtime Runtime_;
  FleetView &Fleet_;
  HostRegistry &Hosts_;
  DispatchSettings Settings_;
  LoadBook Loads_;
  PrefixBook Prefixes_;
  EndpointHealth Health_;
  CrashedRequests Crashes_;
  RegionOutlook Regions_;
  Predictor Predictor_;
  SharedRetryBudget Budget_;
  ColdAllowance Cold_;
  LongLane Lane_;
  HoldQueue Held_;
  QueueForecast Forecast_;
  FairShares Shares_;
  EndpointReservations Reservations_;
  ReturningCallers Returning_;
  std::function<bool(const EndpointKey &)> Owns_;
  std::function<Duration()> SettledFor_;
};

Dispatcher::Dispatcher(Runtime R, FleetView &Fleet, HostRegistry &Hosts,
                       RetryBudgetBounds RetryBounds, DispatchSettings Settings)
    : Impl_(std::make_unique<Impl>(std::move(R), Fleet, Hosts, RetryBounds,
                                   Settings)) {}
Dispatcher::~Dispatcher() = default;

DispatchDecision Dispatcher::choose(const RequestDescriptor &Request,
                                    const FleetRoute &Route, AttemptLog &Log) {
  return Impl_->choose(Request, Route, Log);
}

std::optional<Refusal> Dispatcher::admit(const RequestDescriptor &Request,
                                         const FleetRoute &Route,
                                         AttemptLog &Log) {
  return Impl_->admit(Request, Route, Log);
}

void Dispatcher::setOwned(std::function<bool(const EndpointKey &)> Owns,
                          std::function<Duration()> SettledFor) {
  Impl_->Owns_ = std::move(Owns);
  Impl_->SettledFor_ = std::move(SettledFor);
}

bool Dispatcher::mayTryAgain(const RequestDescriptor &Request,
                             const FleetRoute &Route, const AttemptLog &Log) {
  if (!maySend(Log.Known, Route.Kind) || runsLeft(Request, Route, Log) == 0 ||
      Log.Sends >= Route.MaxEndpoints + MaxRefusedSends ||
      Request.Deadline - Impl_->Runtime_.Now() < LeastTimeLeft)
    return false;
  return Impl_->Budget_.take(Log.Pool, Impl_->Hosts_.knownHosts());
}

unsigned Dispatcher::runsLeft(const RequestDescriptor &Request,
                              const FleetRoute &Route, const AttemptLog &Log) {
  unsigned Most = std::min(Route.MaxEndpoints,
                           Request.RunsLeft.value_or(Route.MaxEndpoints));
  return Most - std::min(Most, Log.Runs);
}

WorkId Dispatcher::begin(const RequestDescriptor &Request,
                         const FleetRoute &Route, const ServeAt &Choice,
                         AttemptLog &Log) {
  const EndpointKey &Key = Choice.Endpoint.Key;
  if (!Impl_->Health_.isTrusted(Key))
    Impl_->Health_.tried(Key);
  Log.Tried.push_back(Key);
  Log.Sends += 1;
  Work W = workOf(Request, Route, Choice);
  if (Request.PromptTokens > 0)
    Impl_->Prefixes_.sent(Key, Request.Levels,
                          W.UncachedTokens + Request.MaxOutputTokens);
  return Impl_->Loads_.started(Key, W);
}

Work Dispatcher::workOf(const RequestDescriptor &Request,
                        const FleetRoute &Route, const ServeAt &Choice) {
  Work W;
  W.UncachedTokens = Choice.Expected.UncachedTokens;
  W.MemoryTokens = Request.PromptTokens + Request.MaxOutputTokens;
  W.Rank = Route.Rank;
  return W;
}

void Dispatcher::firstOutput(const ServeAt &Choice, WorkId Id, Duration Took) {
  Impl_->Loads_.firstOutput(Id);
  const FleetTablesPtr &Tables = Impl_->Fleet_.tables();
  const FleetPool *Pool = Tables ? Tables->pool(Choice.Endpoint.Pool) : nullptr;
  if (Pool != nullptr && !Choice.Cold)
    Impl_->Predictor_.observed(Choice.Endpoint, *Pool, Choice.Expected, Took);
}

void Dispatcher::end(const ServeAt &Choice, WorkId Id, AttemptOutcome Outcome) {
  // The note of its first output may have been lost.
  if (Outcome == AttemptOutcome::Answered)
    Impl_->Loads_.firstOutput(Id);
  Impl_->Loads_.ended(Id);
  Impl_->Health_.ended(Choice.Endpoint.Key, Outcome);
}

void Dispatcher::passedOn(const RequestDescriptor &Request,
                          const PassOn &Choice, AttemptLog &Log) {
  Log.RegionsTried.push_back(Choice.Host.Region);
  Log.Sends += 1;
  const FleetTablesPtr &Tables = Impl_->Fleet_.tables();
  if (const FleetPool *Pool = Tables ? Tables->pool(Log.Pool) : nullptr)
    Impl_->Regions_.sent(
        Choice.Host.Region, Log.Pool,
        Impl_->Predictor_.ownTime(*Pool, Request.PromptTokens));
}

void Dispatcher::waited(const PoolName &Pool, Duration Predicted,
                        Duration Took) {
  Impl_->Forecast_.waited(Pool, Predicted, Took);
}

void Dispatcher::streamed(const PoolName &Pool, std::uint32_t MaxOutputTokens,
                          Duration Took) {
  Impl_->Predictor_.streamed(Pool, MaxOutputTokens, Took);
}

HoldQueue &Dispatcher::held() { return Impl_->Held_; }
void Dispatcher::offerPlaces() { Impl_->Held_.offer(Impl_->Runtime_.Now()); }

std::vector<PoolOutlook> Dispatcher::outlook() const {
  std::vector<PoolOutlook> All;
  const FleetTablesPtr &Tables = Impl_->Fleet_.tables();
  if (!Tables)
    return All;
  // A request of no urgency, whose prompt is not counted.
  FleetRoute Ordinary;
  Ordinary.Rank = 1;
  for (const auto &[Name, Pool] : Tables->Pools) {
    PoolOutlook Outlook;
    Outlook.Pool = poolHash(Name);
    Duration Sum{};
    for (const FleetEndpoint *E :
         Impl_->Fleet_.usable(Name, Impl_->Hosts_.self().Region)) {
      bool Serves = Impl_->Health_.isTrusted(E->Key) ||
                    Impl_->Health_.isLastResort(E->Key);
      if (!Serves || !Impl_->owns(E->Key) || Impl_->isCold(*E, Pool))
        continue;
      Prediction P = Impl_->Predictor_.predict(*E, Pool, {}, Ordinary);
      Sum += P.Wait;
      ++Outlook.Endpoints;
      Impl_->addPlaces(*E, Pool, P, Outlook);
    }
    TimePoint Now = Impl_->Runtime_.Now();
    WorkAhead Ahead = Impl_->Held_.ahead(Name, Ordinary.Rank, Now, Now);
    std::size_t Places = Impl_->placesOf(Pool);
    if (Outlook.Endpoints > 0) {
      Duration OnTime = Impl_->Forecast_.onTimeWait(Name, Ahead, Places);
      Outlook.Wait = Sum / Outlook.Endpoints + OnTime;
      Outlook.LateWait =
          Impl_->Forecast_.lateWait(Name, Ahead, Places) - OnTime;
    }
    All.push_back(Outlook);
  }
  return All;
}

void Dispatcher::forget(const EndpointKey &Endpoint) {
  Impl_->Prefixes_.forget(Endpoint);
  Impl_->Health_.forget(Endpoint);
  Impl_->Predictor_.forget(Endpoint);
  Impl_->Loads_.forget(Endpoint);
}

void Dispatcher::setRetryBounds(const RetryBudgetBounds &Bounds) {
  Impl_->Budget_.setBounds(Bounds);
}

LoadBook &Dispatcher::loads() { return Impl_->Loads_; }
EndpointHealth &Dispatcher::health() { return Impl_->Health_; }
CrashedRequests &Dispatcher::crashes() { return Impl_->Crashes_; }
RegionOutlook &Dispatcher::regions() { return Impl_->Regions_; }
Predictor &Dispatcher::predictor() { return Impl_->Predictor_; }

} // namespace celerybeam
