#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "framework/stablehash.h"

#include "dispatch/hostturn.h"

namespace celerybeam {

namespace {

/// Sends beyond the endpoints that a request may run on: those that said that
/// they did not run it.
constexpr unsigned MaxRefusedSends = 2;
/// What other hosts say that waits there counts for this long.
constexpr Duration PeerQueueAge = std::chrono::milliseconds(1500);
/// No request is sent that has less time left than this.
constexpr Duration LeastTimeLeft = std::chrono::milliseconds(20);
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
        Cold_(Runtime_, Hosts.self().Id), Lane_(Settings.LongPrompts) {
    Predictor_.setTurn([this](const EndpointKey &Endpoint) {
      return HostTurn::delay(Hosts_.self().Id, regionHosts(), Endpoint,
                             Runtime_.Now());
    });
  }

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

  std::vector<HostId> regionHosts() const {
    std::vector<HostId> Ids;
    for (const HostState &Host : Hosts_.alive())
      if (Host.Region == Hosts_.self().Region)
        Ids.push_back(Host.Id);
    return Ids;
  }

  /// Position of each endpoint in the prefix's order of preference, as a
  /// score.
  Duration preference(const FleetEndpoint &Endpoint,
                      const std::vector<const FleetEndpoint *> &All,
                      const std::vector<PrefixLevel> &Levels) const {
    if (Levels.empty())
      return Duration::zero();
    auto Rank = [&](const FleetEndpoint &E) {
      return stableHash(E.Key.Value, Levels.back().Hash);
    };
    std::uint64_t Own = Rank(Endpoint);
    auto Ahead = std::count_if(All.begin(), All.end(),
                               [&](const auto *E) { return Rank(*E) > Own; });
    return Settings_.PreferenceStep * Ahead;
  }

  std::optional<Candidate> bestHere(const RequestDescriptor &Request,
                                    const FleetRoute &Route,
                                    const FleetPool &Pool, AttemptLog &Log) {
    const RegionId &Here = Hosts_.self().Region;
    if (!isHome(Route, Here))
      return std::nullopt;
    auto Usable = Fleet_.usable(Pool.Name, Here);
    auto Levels = prefixLevelsOf(Request);
    PrefixSource Source = Predictor_.sourceAmong(Usable, Pool, Request);
    if (Source.Endpoint != nullptr && !Health_.isTrusted(Source.Endpoint->Key))
      Source = {};
    std::vector<HostId> Others;
    std::optional<Candidate> Best;
    Log.Seen.Usable = static_cast<unsigned>(Usable.size());
    for (const FleetEndpoint *E : Usable) {
      bool Trusted = Health_.isTrusted(E->Key);
      Log.Seen.Untrusted += Trusted ? 0 : 1;
      if (contains(Log.Tried, E->Key) || !Trusted)
        continue;
      Candidate C;
      C.Endpoint = E;
      C.Cold = E->ColdUntil > Runtime_.Now() && Pool.ColdRequestsPerSecond > 0;
      if (C.Cold && Others.empty())
        Others = regionHosts();
      if (C.Cold &&
          !Cold_.wouldTake(E->Key, Pool.ColdRequestsPerSecond, Others)) {
        ++Log.Seen.Cold;
        continue;
      }
      C.Expected = Predictor_.predict(*E, Pool, Request, Route, Source);
      if (C.Expected.CopiedTokens > 0)
        C.CopyFrom = Source.Endpoint->Where;
      Duration Uncached = Predictor_.ownTime(Pool, C.Expected.UncachedTokens);
      C.Score = C.Expected.ToFirstOutput +
                Lane_.score(*E, Usable, C.Expected.Wait + Uncached,
                            Pool.Engine ? Route.EventGapTarget : Duration(),
                            Loads_.total(E->Key).InFlight) +
                scaled(Uncached, Pool.Engine ? Settings_.UncachedCost : 0) +
                scaled(Settings_.FailurePenalty, Health_.failureShare(E->Key)) +
                preference(*E, Usable, Levels);
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
    std::set<RegionId> Others;
    for (const HostState &Host : Hosts_.alive())
      if (Host.Region != Hosts_.self().Region && isHome(Route, Host.Region) &&
          !contains(Log.RegionsTried, Host.Region))
        Others.insert(Host.Region);
    std::optional<AwayChoice> Best;
    for (const RegionId &Region : Others) {
      auto Wait = Regions_.wait(Region, Pool.Name);
      auto Serving = Hosts_.serving(Region);
      if (!Wait || Serving.empty())
        continue;
      Duration Expected = *Wait + Settings_.RegionHop +
                          Predictor_.ownTime(Pool, Request.PromptTokens);
      if (Best && Best->Expected <= Expected)
        continue;
      Best = {Serving[Runtime_.Random() % Serving.size()], Expected};
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

  DispatchDecision choose(const RequestDescriptor &Request,
                          const FleetRoute &Route, AttemptLog &Log) {
    if (Log.Pool.empty()) {
      Log.Arrived = Runtime_.Now() - Request.WaitedBefore;
      Log.Pool = drawPool(Route);
      if (!Request.Forwarded)
        Budget_.request(Log.Pool);
    }
    const FleetTablesPtr &Tables = Fleet_.tables();
    const FleetPool *Pool = Tables ? Tables->pool(Log.Pool) : nullptr;
    if (Pool == nullptr)
      return refuse("unknown_pool", Settings_.DefaultRetryAfter);
    if (Crashes_.isRefused(Request.Fingerprint))
      return refuse("crashes_endpoints", CrashedRequests::Retention);
    Duration Left = Request.Deadline - Runtime_.Now();
    if (Left < LeastTimeLeft)
      return refuse("no_time_left", LeastRetryAfter);
    Log.Seen = {};
    Log.Seen.NewsAge = Loads_.newsAge();
    auto Here = bestHere(Request, Route, *Pool, Log);
    auto Away = bestAway(Request, Route, *Pool, Log);
    if (!Here && !Away)
      return refuse("no_endpoint", Settings_.DefaultRetryAfter);
    Duration AwayFrom = scaled(Route.LatencyTarget, Settings_.AwayFrom);
    bool MustWait =
        Here && (!Here->Expected.Ready ||
                 (!Log.Held && Held_.hasAhead(Log.Pool, Route.Rank)));
    Duration HereIn = Here ? Here->Expected.ToFirstOutput : Duration::zero();
    if (MustWait && !Log.Held)
      HereIn += queueWait(*Pool, Route.Rank);
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
      return holdFor(Request, Route, Log, *Here, HereIn);
    if (Here->Cold && !Cold_.take(Here->Endpoint->Key,
                                  Pool->ColdRequestsPerSecond, regionHosts()))
      return refuse("cold", Settings_.DefaultRetryAfter);
    return ServeAt{*Here->Endpoint, Here->Expected, Here->Cold, Here->CopyFrom};
  }

  Hold holdFor(const RequestDescriptor &Request, const FleetRoute &Route,
               const AttemptLog &Log, const Candidate &Here,
               Duration Expected) const {
    Duration Own = Here.Expected.ToFirstOutput - Here.Expected.Wait;
    Duration Most = Log.Runs > 0 ? Route.Timeout : admitLimit(Route, true);
    return {Expected, Log.Arrived + Route.LatencyTarget - Own,
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

  /// Time until the region's endpoints have worked off what waits at its hosts
  /// ahead of a request of this rank.
  Duration queueWait(const FleetPool &Pool, unsigned Rank) const {
    auto Usable = Fleet_.usable(Pool.Name, Hosts_.self().Region);
    if (Usable.empty())
      return Duration::zero();
    QueuedWork Sum = Held_.queued(Pool.Name);
    TimePoint Now = Runtime_.Now();
    for (const auto &[Host, Peer] : PeerQueues_) {
      auto Found = Peer.Queued.find(poolHash(Pool.Name));
      if (Found == Peer.Queued.end() || Now - Peer.Heard > PeerQueueAge)
        continue;
      Sum.Urgent += Found->second.Urgent;
      Sum.All += Found->second.All;
    }
    std::uint32_t Ahead = Rank == 0 ? Sum.Urgent : Sum.All;
    Duration Work = Pool.Engine ? Predictor_.ownTime(Pool, Ahead) -
                                      Predictor::EngineOverhead
                                : Predictor_.ownTime(Pool, 0) * Ahead;
    std::size_t Places = Usable.size();
    if (!Pool.Engine)
      Places *= std::max(1U, Usable.front()->Slots);
    return Work / static_cast<Duration::rep>(Places);
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
  std::vector<SentPrompt> Sent_;
  HoldQueue Held_;
  struct PeerQueue {
    std::map<std::uint64_t, QueuedWork> Queued;
    TimePoint Heard{};
  };
  std::map<HostId, PeerQueue> PeerQueues_;
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
  Log.Tried.push_back(Key);
  Log.Sends += 1;
  Work W;
  W.UncachedTokens = Choice.Expected.UncachedTokens;
  W.MemoryTokens = Request.PromptTokens + Request.MaxOutputTokens;
  W.Rank = Route.Rank;
  if (Request.PromptTokens > 0) {
    SentPrompt Prompt{Key, prefixLevelsOf(Request),
                      W.UncachedTokens + Request.MaxOutputTokens};
    Impl_->Prefixes_.sent(Key, Prompt.Levels, Prompt.ReadTokens);
    Impl_->Sent_.push_back(std::move(Prompt));
  }
  return Impl_->Loads_.started(Key, W);
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

HoldQueue &Dispatcher::held() { return Impl_->Held_; }
void Dispatcher::offerPlaces() { Impl_->Held_.offer(Impl_->Runtime_.Now()); }

void Dispatcher::peerQueued(const HostId &Host,
                            const std::map<std::uint64_t, QueuedWork> &Queued) {
  Impl_->PeerQueues_[Host] = {Queued, Impl_->Runtime_.Now()};
}

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
      bool Cold = E->ColdUntil > Impl_->Runtime_.Now() &&
                  Pool.ColdRequestsPerSecond > 0;
      if (Cold || !Impl_->Health_.isTrusted(E->Key))
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

std::vector<Dispatcher::SentPrompt> Dispatcher::takeSentPrompts() {
  return std::exchange(Impl_->Sent_, {});
}

void Dispatcher::peerSentPrompt(const SentPrompt &Prompt) {
  Impl_->Prefixes_.sent(Prompt.Endpoint, Prompt.Levels, Prompt.ReadTokens);
}

void Dispatcher::forget(const EndpointKey &Endpoint) {
  Impl_->Prefixes_.forget(Endpoint);
  Impl_->Health_.forget(Endpoint);
  Impl_->Predictor_.forget(Endpoint);
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
