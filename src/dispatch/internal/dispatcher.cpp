#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "framework/stablehash.h"

namespace celerybeam {

namespace {

/// Sends beyond the endpoints that a request may run on: those that said that
/// they did not run it.
constexpr unsigned MaxRefusedSends = 2;
/// No request is sent that has less time left than this.
constexpr Duration LeastTimeLeft = std::chrono::milliseconds(20);
/// Shorter predictions of a wait say little of how good they are.
constexpr Duration LeastQueueWait = std::chrono::milliseconds(20);
/// Weight and bound of one observed wait, and bounds of what is learned.
constexpr double QueueWeight = 0.05;
constexpr double MostQueueRatio = 4;
constexpr double LeastQueueFactor = 0.5;
constexpr double MostQueueFactor = 4;
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(50);
constexpr Duration MostRetryAfter = std::chrono::seconds(5);

struct Candidate {
  const FleetEndpoint *Endpoint = nullptr;
  Prediction Expected;
  Duration Score{};
  bool Cold = false;
  Address CopyFrom;
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
        Cold_(Runtime_), Lane_(Settings.LongPrompts) {}

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
      if (contains(Log.Tried, E->Key) || !(Trusted || Trial))
        continue;
      Candidate C;
      C.Endpoint = E;
      C.Cold = isCold(*E, Pool);
      if (C.Cold && !(owns(E->Key) &&
                      Cold_.wouldTake(E->Key, Pool.ColdRequestsPerSecond))) {
        ++Log.Seen.Cold;
        continue;
      }
      C.Expected = Predictor_.predict(*E, Pool, Request, Route, Source);
      if (C.Expected.CopiedTokens > 0)
        C.CopyFrom = Source.Endpoint->Where;
      C.Score = C.Expected.ToFirstOutput +
                scaled(Settings_.FailurePenalty, Health_.failureShare(E->Key));
      if (Pool.Engine)
        C.Score += engineCost(C, Endpoints, Pool, Route) +
                   Settings_.PreferenceStep * Preferences[I];
      if (!Best || C.Score < Best->Score)
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
    std::optional<AwayChoice> Best;
    for (const RegionId &Region : Hosts_.otherRegions()) {
      if (!isHome(Route, Region) || contains(Log.RegionsTried, Region))
        continue;
      auto Wait = Regions_.wait(Region, Pool.Name);
      auto Host = Wait ? Hosts_.drawServing(Region) : std::nullopt;
      if (!Host)
        continue;
      Duration Expected = *Wait + Settings_.RegionHop +
                          Predictor_.ownTime(Pool, Request.PromptTokens);
      if (Best && Best->Expected <= Expected)
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
    Duration Left = Request.Deadline - Runtime_.Now();
    Log.Seen = {};
    auto Here = bestHere(Request, Route, *Pool, Log);
    auto Away = bestAway(Request, Route, *Pool, Log);
    if (!Here && !Away)
      return refuse("no_endpoint", Settings_.DefaultRetryAfter);
    Duration AwayFrom = scaled(Route.LatencyTarget, Settings_.AwayFrom);
    bool MustWait =
        Here && (!Here->Expected.Ready ||
                 (!Log.Held && Held_.hasAhead(Log.Pool, Route.Rank)));
    Duration HereIn = Here ? Here->Expected.ToFirstOutput : Duration::zero();
    Duration Queue =
        MustWait && !Log.Held ? queueWait(*Pool, Route.Rank) : Duration::zero();
    HereIn += Queue;
    bool GoAway =
        Away && (!Here || (HereIn > AwayFrom &&
                           Away->Expected + Settings_.AwayGain < HereIn));
    if (Here)
      Log.Seen.Here = HereIn;
    if (Away)
      Log.Seen.Away = Away->Expected;
    Duration Expected = GoAway ? Away->Expected : HereIn;
    Duration Waited = Runtime_.Now() - Log.Arrived;
    // What has begun is finished, if late: giving it up would waste the work.
    Duration Limit = Log.Runs > 0 ? Route.Timeout : admitLimit(Route, Log.Held);
    Log.Seen.Limit = std::min(Limit, Waited + Left);
    if (Expected > Left || Waited + Expected > Limit)
      return refuse("too_late", Waited + Expected - std::min(Left, Limit));
    if (GoAway)
      return PassOn{Away->Host, Away->Expected};
    if (MustWait)
      return holdFor(Request, Route, Log, *Here, HereIn, Queue);
    if (Here->Cold &&
        !Cold_.take(Here->Endpoint->Key, Pool->ColdRequestsPerSecond))
      return refuse("cold", Settings_.DefaultRetryAfter);
    return ServeAt{*Here->Endpoint, Here->Expected, Here->Cold, Here->CopyFrom};
  }

  Hold holdFor(const RequestDescriptor &Request, const FleetRoute &Route,
               const AttemptLog &Log, const Candidate &Here, Duration Expected,
               Duration Queue) const {
    Duration Own = Here.Expected.ToFirstOutput - Here.Expected.Wait;
    Duration Most = Log.Runs > 0 ? Route.Timeout : admitLimit(Route, true);
    return {Expected, Queue, Log.Arrived + Route.LatencyTarget - Own,
            std::min(Log.Arrived + Most, Request.Deadline) - Own};
  }

  /// Plain services wait as long as they may: an answer soon after the target
  /// is still of use there and costs the endpoint no more.
  Duration admitLimit(const FleetRoute &Route, bool Waits) const {
    if (!isStream(Route.Kind))
      return Route.Timeout;
    return scaled(Route.LatencyTarget,
                  Waits ? Settings_.HoldUpTo : Settings_.AdmitUpTo);
  }

  /// Time until the endpoints have worked off what waits here ahead of a
  /// request of this rank.
  Duration queueWait(const FleetPool &Pool, unsigned Rank) const {
    auto Endpoints = placedHere(Pool.Name);
    if (Endpoints.empty())
      return Duration::zero();
    const QueuedWork &Queued = Held_.queued(Pool.Name);
    std::uint32_t Ahead = Rank == 0 ? Queued.Urgent : Queued.All;
    Duration Work = Pool.Engine ? Predictor_.ownTime(Pool, Ahead) -
                                      Predictor::EngineOverhead
                                : Predictor_.ownTime(Pool, 0) * Ahead;
    std::size_t Places = Endpoints.size();
    if (!Pool.Engine)
      Places *= std::max(1U, Endpoints.front()->Slots);
    return scaled(Work / static_cast<Duration::rep>(Places),
                  queueFactor(Pool.Name));
  }

  double queueFactor(const PoolName &Pool) const {
    auto Found = QueueFactors_.find(Pool);
    return Found == QueueFactors_.end() ? 1 : Found->second;
  }

  /// Endpoints do not work off a queue at their full speed: streams, pauses
  /// between prompts and unlike prompts take their part. What single requests
  /// waited tells how much.
  void waited(const PoolName &Pool, Duration Predicted, Duration Took) {
    if (Predicted < LeastQueueWait)
      return;
    double Ratio = std::clamp(static_cast<double>(Took.count()) /
                                  static_cast<double>(Predicted.count()),
                              1 / MostQueueRatio, MostQueueRatio);
    double &Factor = QueueFactors_.try_emplace(Pool, 1).first->second;
    Factor = std::clamp(Factor * std::pow(Ratio, QueueWeight), LeastQueueFactor,
                        MostQueueFactor);
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
  /// Time that waiting takes, over the time that it is predicted to take.
  std::map<PoolName, double> QueueFactors_;
  std::function<bool(const EndpointKey &)> Owns_;
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

void Dispatcher::setOwned(std::function<bool(const EndpointKey &)> Owns) {
  Impl_->Owns_ = std::move(Owns);
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
  Impl_->waited(Pool, Predicted, Took);
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
      if (!Impl_->owns(E->Key) || Impl_->isCold(*E, Pool) ||
          !Impl_->Health_.isTrusted(E->Key))
        continue;
      Prediction P = Impl_->Predictor_.predict(*E, Pool, {}, Ordinary);
      Sum += P.Wait;
      ++Outlook.Endpoints;
    }
    if (Outlook.Endpoints > 0)
      Outlook.Wait =
          Sum / Outlook.Endpoints + Impl_->queueWait(Pool, Ordinary.Rank);
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
