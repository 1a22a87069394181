#include "dispatch/dispatcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "dispatch/endpointreservations.h"
#include "dispatch/fairnesstracker.h"
#include "dispatch/queuewaitestimator.h"
#include "dispatch/refusedcallertracker.h"
#include "framework/stablehash.h"

namespace celerybeam {

namespace {

/// Sends beyond the number of endpoints that a request may run on: for
/// endpoints that reported that they did not run it.
constexpr unsigned MaxRefusedSends = 2;
/// A request that has less time left than this is not sent.
constexpr Duration MinTimeLeft = std::chrono::milliseconds(20);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration MaxRetryAfter = std::chrono::seconds(5);
/// An endpoint is unresponsive after this multiple of the service time of its
/// oldest request, and this much more. Neighbours on its machine slow it down
/// by less, and short stalls end within the margin.
constexpr int SilenceFactor = 3;
constexpr Duration SilenceMargin = std::chrono::milliseconds(250);

/// A hedge has to have this multiple of the prediction left, so that it can
/// still answer in time.
constexpr int HedgeTimeFactor = 2;
/// Endpoints that a hedged request may run on: that of the first send and that
/// of the hedge.
constexpr unsigned HedgeRuns = 2;

/// How long a number of hosts alone may send the trial of a refused suspect.
constexpr Duration TrialTurn = std::chrono::seconds(10);

struct Candidate {
  const FleetEndpoint *Endpoint = nullptr;
  Prediction Expected;
  Duration Score{};
  bool Cold = false;
  /// Suspect, but better than none.
  bool LastResort = false;
  /// It has no capacity, and others may wait for its next slot, too; or it
  /// belongs to a plain service and fails so often that the request rather
  /// waits for a slot at another.
  bool Busy = false;
  Address CopyFrom;

  /// Whether this candidate is preferred to the other.
  bool isBefore(const Candidate &Other) const {
    return std::tie(LastResort, Busy, Score) <
           std::tie(Other.LastResort, Other.Busy, Other.Score);
  }
};

struct RemoteChoice {
  HostState Host;
  Duration Expected{};
};

RetryDecision decisionOf(const RetryBudgetCheck &Check) {
  return {Check.Allowed ? RetryVerdict::Allowed : RetryVerdict::BudgetUsedUp,
          Check};
}

/// The first combined rank of a customer's rank.
constexpr unsigned firstRankOf(unsigned CustomerRank) {
  return CustomerRank * (MaxPartialRank + 1);
}

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
        Crashes_(Runtime_), Regions_(Runtime_), Offers_(Runtime_),
        Predictor_(Runtime_, Loads_, Prefixes_), Budget_(Runtime_, RetryBounds),
        ColdStarts_(Runtime_), LongPromptScorer_(Settings.LongPrompts),
        QueueWaits_(Runtime_), Fairness_(Runtime_), Reservations_(Runtime_),
        RefusedCallers_(Runtime_) {
    setCrashChanged({});
  }

  void setCrashChanged(std::function<void(const CrashChange &)> Changed) {
    CrashTracker::Hooks Hooks;
    Hooks.Changed = std::move(Changed);
    Hooks.Absolve = [this](const EndpointKey &Key) { Health_.absolve(Key); };
    Hooks.OwnsTrial = [this](CrashSuspect Suspect, std::uint32_t Trial,
                             Duration Overdue) {
      return ownsTrial(Suspect, Trial, Overdue);
    };
    Crashes_.setHooks(std::move(Hooks));
  }

  /// Whether this host is among those that may send a trial. That is one host
  /// of the fleet at first; the number doubles each TrialTurn, since few
  /// requests with the suspect may arrive at a host.
  bool ownsTrial(CrashSuspect Suspect, std::uint32_t Trial,
                 Duration Overdue) const {
    std::uint64_t Seed = stableHash(Trial, Suspect.Value);
    std::uint64_t Own = stableHash(Hosts_.self().Ip, Seed);
    std::size_t Before = 0;
    for (const HostState &Host : Hosts_.alive())
      Before += !Host.Leaving && stableHash(Host.Ip, Seed) > Own ? 1 : 0;
    constexpr std::int64_t MostDoublings = 20;
    std::int64_t Doublings = std::min(Overdue / TrialTurn, MostDoublings);
    return Before < (std::size_t{1} << static_cast<unsigned>(Doublings));
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

  /// Endpoints of the region at which this host places requests. If it owns
  /// none, it places at all of them: no other host could be asked.
  std::vector<const FleetEndpoint *>
  placeableEndpoints(const PoolName &Pool) const {
    const auto &Usable = Fleet_.usable(Pool, Hosts_.self().Region);
    std::vector<const FleetEndpoint *> Owned;
    for (const FleetEndpoint *E : Usable)
      if (Owns_ && Owns_(E->Key))
        Owned.push_back(E);
    return Owned.empty() ? Usable : Owned;
  }

  bool owns(const EndpointKey &Key) const { return !Owns_ || Owns_(Key); }

  /// Whether this host alone uses the allowance of a cold endpoint.
  bool mayPlaceCold(const EndpointKey &Key) const {
    return owns(Key) && (!PlacersStableFor_ ||
                         PlacersStableFor_() >= ColdStartLimiter::SettleTime);
  }

  /// Position of each endpoint in the order of preference of a prompt's prefix,
  /// 0 first.
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

  /// Estimated time for which an unresponsive endpoint stays so: one that has
  /// requests and has answered none of them for far longer than the oldest
  /// should take. The estimate is as long again as so far; zero for others.
  ///
  /// Handles this load pattern: "all endpoints of a region become unresponsive,
  /// and what is sent there hangs". Requests would wait for endpoints that make
  /// no progress.
  Duration expectedSilence(const FleetEndpoint &E,
                           const FleetPool &Pool) const {
    auto Silence = Loads_.silence(E.Key);
    if (!Silence)
      return {};
    Duration For = std::min(Silence->For, Health_.sincePassedCheck(E.Key));
    Duration Expected = Predictor_.serviceTimeAt(E, Pool, Silence->Oldest);
    return For > SilenceFactor * Expected + SilenceMargin ? For : Duration();
  }

  /// Adds the back-off or the expected silence of an endpoint to its wait, so
  /// that a request waits for it only if no other is sooner.
  static void addBackOff(Candidate &C, Duration BackOff, AttemptLog &Log) {
    ++Log.Inputs.BackingOff;
    C.Expected.Ready = false;
    C.Expected.Wait += BackOff;
    C.Expected.ToFirstOutput += BackOff;
  }

  /// Score for the delay that a prompt causes for the other requests at an
  /// engine.
  Duration engineCost(const Candidate &C,
                      const std::vector<const FleetEndpoint *> &Endpoints,
                      const FleetPool &Pool, const FleetRoute &Route) const {
    Duration Uncached = Predictor_.serviceTime(Pool, C.Expected.UncachedTokens);
    return scaled(Uncached, Settings_.UncachedPrefillWeight) +
           LongPromptScorer_.score(
               *C.Endpoint, Endpoints, C.Expected.Wait + Uncached,
               Route.EventGapTarget, Loads_.at(C.Endpoint->Key).InFlight);
  }

  std::optional<Candidate> bestLocal(const RequestDescriptor &Request,
                                     const FleetRoute &Route,
                                     const FleetPool &Pool, AttemptLog &Log) {
    if (!Route.Homes.allows(Hosts_.self().Region))
      return std::nullopt;
    auto Endpoints = placeableEndpoints(Pool.Name);
    auto Preferences = preferences(Endpoints, Request.Levels);
    PrefixSource Source = Predictor_.findPrefixSource(Endpoints, Pool, Request);
    if (Source.Endpoint != nullptr && !Health_.isTrusted(Source.Endpoint->Key))
      Source = {};
    std::optional<Candidate> Best;
    std::optional<Candidate> BestReady;
    Log.Inputs.Usable = static_cast<unsigned>(Endpoints.size());
    for (std::size_t I = 0; I < Endpoints.size(); ++I) {
      const FleetEndpoint *E = Endpoints[I];
      bool Trusted = Health_.isTrusted(E->Key);
      Log.Inputs.Untrusted += Trusted ? 0 : 1;
      bool Trial =
          !Trusted && mayRepeat(Route.Kind) && Health_.mayGetTrial(E->Key);
      bool LastResort = !Trusted && !Trial && Health_.isLastResort(E->Key);
      if (contains(Log.Tried, E->Key) || !(Trusted || Trial || LastResort))
        continue;
      Candidate C;
      C.Endpoint = E;
      C.LastResort = LastResort;
      C.Cold = isCold(*E, Pool);
      if (Request.OnlyFree && (!Trusted || C.Cold))
        continue;
      if (C.Cold &&
          !(mayPlaceCold(E->Key) &&
            ColdStarts_.canTake(E->Key, Pool.ColdRequestsPerSecond))) {
        ++Log.Inputs.Cold;
        continue;
      }
      C.Expected = Predictor_.predict(*E, Pool, Request, Route, Source);
      if (Reservations_.isReservedForOther(E->Key, Request.Fingerprint))
        C.Expected.Ready = false;
      if (Duration BackOff = Fleet_.backOffOf(E->Key);
          BackOff > Duration::zero())
        addBackOff(C, BackOff, Log);
      if (Duration Silence = expectedSilence(*E, Pool);
          Silence > Duration::zero()) {
        Health_.requestCheck(E->Key);
        addBackOff(C, Silence, Log);
      }
      if (C.Expected.CopiedTokens > 0)
        C.CopyFrom = Source.Endpoint->Where;
      C.Score = C.Expected.ToFirstOutput +
                scaled(Settings_.FailurePenalty, Health_.failureShare(E->Key));
      if (Pool.Engine)
        C.Score += engineCost(C, Endpoints, Pool, Route) +
                   Settings_.PreferenceStep * Preferences[I];
      C.Busy = !C.Expected.HasCapacity ||
               (!Pool.Engine && !Health_.isHealthy(E->Key));
      if (Request.OnlyFree && (C.Busy || !C.Expected.Ready))
        continue;
      if (!Best || C.isBefore(*Best))
        Best = C;
      if (C.Expected.Ready && !C.LastResort &&
          (!BestReady || C.isBefore(*BestReady)))
        BestReady = C;
    }
    bool WaitsForBest = Best && !Best->Expected.Ready && BestReady;
    return WaitsForBest && hasWaitedForPreferred(Log) ? BestReady : Best;
  }

  /// Whether a queued request no longer waits for the endpoint that it prefers.
  ///
  /// Handles this load pattern: "a few long prompts, each of which waits for
  /// one engine, are first in the queue, and other engines are idle".
  bool hasWaitedForPreferred(const AttemptLog &Log) const {
    return Log.Queued &&
           Runtime_.Now() - Log.Arrived >= Settings_.MaxPreferenceWait;
  }

  std::optional<RemoteChoice> bestRemote(const RequestDescriptor &Request,
                                         const FleetRoute &Route,
                                         const FleetPool &Pool,
                                         const AttemptLog &Log) {
    if (Request.Forwarded)
      return std::nullopt;
    Duration ServiceTime = Predictor_.serviceTime(Pool, Request.PromptTokens);
    std::optional<RemoteChoice> Best;
    for (const RegionId &Region : Hosts_.otherRegions()) {
      if (!Route.Homes.allows(Region) || contains(Log.RegionsTried, Region))
        continue;
      auto Wait = Regions_.wait(Region, Pool.Name, ServiceTime);
      auto Host = Wait ? Hosts_.drawServing(Region) : std::nullopt;
      if (!Host)
        continue;
      Duration Expected = *Wait + Settings_.RegionRoundTrip + ServiceTime;
      // It would be late, and so wait behind the requests that can be on time
      // there.
      if (Runtime_.Now() + Expected >
          *Log.FirstRequestedAt + Route.LatencyTarget)
        Expected += Regions_.lateWait(Region, Pool.Name);
      // Regions with equal predictions share the forwarded requests.
      if (Best && (Best->Expected < Expected ||
                   (Best->Expected == Expected && Runtime_.Random() % 2 == 0)))
        continue;
      Best = {*Host, Expected};
    }
    return Best;
  }

  /// Chooses a region of unknown load for a request that would be refused.
  ///
  /// A region that has reported its load, but not that of the pool, or no
  /// endpoint in it, cannot serve the request and gets no offer.
  std::optional<ForwardTo> offerRemote(const RequestDescriptor &Request,
                                       const FleetRoute &Route,
                                       const FleetPool &Pool,
                                       const AttemptLog &Log) {
    if (Request.Forwarded)
      return std::nullopt;
    Duration Expected = Settings_.RegionRoundTrip +
                        Predictor_.serviceTime(Pool, Request.PromptTokens);
    if (Runtime_.Now() - Log.Arrived + Expected >
        latestOutput(Request, Route, Pool, Log))
      return std::nullopt;
    std::vector<HostState> Hosts;
    for (const RegionId &Region : Hosts_.otherRegions()) {
      if (!Route.Homes.allows(Region) || contains(Log.RegionsTried, Region) ||
          Regions_.isKnown(Region) || !Offers_.mayOffer(Region, Pool.Name))
        continue;
      if (auto Host = Hosts_.drawServing(Region))
        Hosts.push_back(std::move(*Host));
    }
    if (Hosts.empty())
      return std::nullopt;
    std::size_t Index =
        Hosts.size() == 1 ? 0 : Runtime_.Random() % Hosts.size();
    return ForwardTo{Hosts[Index], Expected, false};
  }

  /// Time until this host knows more of a region of unknown load that may serve
  /// the request: until an offer may be made again and is answered. The default
  /// when there is no such region.
  Duration timeUntilMoreIsKnown(const RequestDescriptor &Request,
                                const FleetRoute &Route,
                                const FleetPool &Pool) const {
    Duration ToAnswer = Settings_.RegionRoundTrip +
                        Predictor_.serviceTime(Pool, Request.PromptTokens);
    std::optional<Duration> Soonest;
    for (const RegionId &Region : Hosts_.otherRegions()) {
      if (Request.Forwarded || !Route.Homes.allows(Region) ||
          Regions_.isKnown(Region) || Hosts_.serving(Region).empty())
        continue;
      Duration Until = Offers_.closedFor(Region, Pool.Name) + ToAnswer;
      Soonest = std::min(Soonest.value_or(Until), Until);
    }
    return Soonest.value_or(Settings_.DefaultRetryAfter);
  }

  Refusal refuse(std::string Reason, Duration RetryAfter) {
    // Randomized, so that callers refused together do not come back together.
    auto Spread = static_cast<Duration::rep>(
        Runtime_.Random() % static_cast<std::uint64_t>(std::max<Duration::rep>(
                                1, RetryAfter.count() / 2)));
    Duration After =
        std::clamp(RetryAfter + Duration(Spread), MinRetryAfter, MaxRetryAfter);
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
    if (auto Verdict = Crashes_.check(Request.Suspects);
        Verdict && !Verdict->MayTry)
      return Refusal{Verdict->RetryAfter, CrashRefusal};
    if (Request.Deadline - Runtime_.Now() < MinTimeLeft)
      return refuse("no_time_left", MinRetryAfter);
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
    Log.Inputs = {};
    if (Request.OnlyFree)
      return chooseFree(Request, Route, *Pool, Log);
    if (!Log.FirstRequestedAt)
      Log.FirstRequestedAt =
          RefusedCallers_.takeFirstRequestTime(Request.Fingerprint)
              .value_or(Log.Arrived);
    auto Local = bestLocal(Request, Route, *Pool, Log);
    auto Remote = bestRemote(Request, Route, *Pool, Log);
    if (!Local && !Remote) {
      Log.Inputs.Limit = latestOutput(Request, Route, *Pool, Log);
      if (auto Offer = offerRemote(Request, Route, *Pool, Log))
        return *Offer;
      return refuse("no_endpoint", timeUntilMoreIsKnown(Request, Route, *Pool));
    }
    AdmissionCase Case = admissionCaseOf(Request, Route, *Pool, Log, Local);
    Admission LocalAdmission = Local ? celerybeam::admit(Case) : Admission();
    Log.Inputs.Limit = Case.LatestOutput;
    if (Local)
      Log.Inputs.Local = LocalAdmission.Expected;
    if (Remote)
      Log.Inputs.Remote = Remote->Expected;
    if (Remote && isRemoteBetter(Remote->Expected, Case, LocalAdmission,
                                 Local && !Local->LastResort))
      return ForwardTo{Remote->Host, Remote->Expected};
    if (!LocalAdmission.Admitted)
      if (auto Offer = offerRemote(Request, Route, *Pool, Log)) {
        Log.Inputs.Remote.reset();
        return *Offer;
      }
    if (!Local)
      return refuseLate(Request, Log,
                        Case.Waited + Remote->Expected - Case.LatestOutput);
    recordAdmission(Request, Route, *Pool, Log, *Local, LocalAdmission);
    if (!LocalAdmission.Admitted)
      return refuseLate(Request, Log, LocalAdmission.RetryAfter);
    if (Case.MustWait)
      return makeEnqueue(Request, Route, *Pool, Log, *Local, Case,
                         LocalAdmission);
    if (Local->Cold &&
        !ColdStarts_.take(Local->Endpoint->Key, Pool->ColdRequestsPerSecond))
      return refuse("cold", Settings_.DefaultRetryAfter);
    return ServeAt{*Local->Endpoint, Local->Expected, Local->Cold,
                   Local->CopyFrom};
  }

  /// Chooses for a request that is being served elsewhere. Nothing is recorded
  /// of it for admission and fairness, which its first placement did.
  DispatchDecision chooseFree(const RequestDescriptor &Request,
                              const FleetRoute &Route, const FleetPool &Pool,
                              AttemptLog &Log) {
    std::optional<Candidate> Local;
    if (!Queue_.hasAny(Pool.Name))
      Local = bestLocal(Request, Route, Pool, Log);
    Log.Inputs.Limit = latestOutput(Request, Route, Pool, Log);
    if (!Local)
      return Refusal{MinRetryAfter, NoFreeSlotRefusal};
    Log.Inputs.Local = Local->Expected.ToFirstOutput;
    if (Runtime_.Now() - Log.Arrived + Local->Expected.ToFirstOutput >
        Log.Inputs.Limit)
      return Refusal{MinRetryAfter, "too_late"};
    return ServeAt{*Local->Endpoint, Local->Expected, false, Local->CopyFrom};
  }

  Refusal refuseLate(const RequestDescriptor &Request, const AttemptLog &Log,
                     Duration RetryAfter) {
    Refusal Why = refuse("too_late", RetryAfter);
    RefusedCallers_.refused(Request.Fingerprint, *Log.FirstRequestedAt,
                            Why.RetryAfter);
    return Why;
  }

  /// Time for which serving the request occupies an engine, or one slot of a
  /// plain service. An engine runs one prefill at a time and has a slot taken
  /// until the stream ends: whichever is scarcer counts.
  Duration occupancyOf(const RequestDescriptor &Request, const FleetPool &Pool,
                       const FleetEndpoint &Endpoint,
                       const Prediction &Expected) const {
    Duration ServiceTime =
        Predictor_.serviceTime(Pool, Expected.UncachedTokens);
    if (!Pool.Engine)
      return ServiceTime;
    Duration Whole =
        ServiceTime + Predictor_.streamTime(Pool, Request.MaxOutputTokens);
    auto Slots = static_cast<Duration::rep>(std::max(1U, Endpoint.Slots));
    return std::max(ServiceTime - LatencyPredictor::EngineOverhead,
                    Whole / Slots);
  }

  ServiceClass classOf(const FleetRoute &Route, const FleetPool &Pool,
                       const Candidate &Local) const {
    return {Pool.Name, Route.Rank, isLong(Route, Local)};
  }

  /// Whether the request is a long prompt that may wait among those that can be
  /// on time because long prompts are served too seldom.
  bool isUnderservedLong(const FleetRoute &Route, const FleetPool &Pool,
                         const AttemptLog &Log, const Candidate &Local) const {
    if (Log.Queued)
      return Log.QueuedAsUnderserved;
    ServiceClass Class = classOf(Route, Pool, Local);
    return Class.Long && Fairness_.isLongUnderserved(Class);
  }

  /// Rank in the queue; an underserved class gets the most urgent rank of its
  /// customer's priority. A customer that more urgent ones leave too little
  /// counts as one of the most urgent, among which it gets no more than a fair
  /// share however much it sends; where that is too little for its size, it
  /// gets the most urgent rank.
  unsigned queueRank(const RequestDescriptor &Request, const FleetRoute &Route,
                     const FleetPool &Pool, const AttemptLog &Log,
                     const Candidate &Local) const {
    ServiceClass Class = classOf(Route, Pool, Local);
    unsigned MostUrgent =
        Request.Customer.empty() ? 0 : firstRankOf(customerRankOf(Route.Rank));
    if (MostUrgent > 0 &&
        Fairness_.isCustomerUnderserved(Pool.Name, Request.Customer)) {
      if (Fairness_.isCustomerUnderserved(Pool.Name, Request.Customer,
                                          FairnessTracker::LeastCustomerRatio))
        return 0;
      Class.Rank -= MostUrgent;
      MostUrgent = 0;
    }
    bool IsUnderserved = isUnderservedLong(Route, Pool, Log, Local) ||
                         Fairness_.isRankUnderserved(Class, MostUrgent);
    return IsUnderserved ? MostUrgent : Class.Rank;
  }

  bool isLong(const FleetRoute &Route, const Candidate &Local) const {
    Duration Idle = Local.Expected.ToFirstOutput - Local.Expected.Wait;
    return isStream(Route.Kind) &&
           Idle > scaled(Route.LatencyTarget, Settings_.LongPromptThreshold);
  }

  /// Latest useful time of the first output, from the arrival. A request that
  /// has started is finished even if late: to drop it would waste the work
  /// done.
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

  AdmissionCase admissionCaseOf(const RequestDescriptor &Request,
                                const FleetRoute &Route, const FleetPool &Pool,
                                const AttemptLog &Log,
                                const std::optional<Candidate> &Local) const {
    AdmissionCase Case;
    Case.Waited = Runtime_.Now() - Log.Arrived;
    Case.SinceFirstRequest = Runtime_.Now() - *Log.FirstRequestedAt;
    Case.LatencyTarget = Route.LatencyTarget;
    Case.LatestOutput = latestOutput(Request, Route, Pool, Log);
    if (!Local)
      return Case;
    Case.TimeToFirstOutput = Local->Expected.ToFirstOutput;
    unsigned Rank = queueRank(Request, Route, Pool, Log, *Local);
    Case.MustWait = !Local->Expected.Ready ||
                    (!Log.Queued &&
                     Queue_.hasRequestAhead(Log.Pool, Rank, Request.Customer));
    Case.IsUnderservedLong = isUnderservedLong(Route, Pool, Log, *Local);
    if (!Case.MustWait)
      return Case;
    // Requests that can be on time get offers in order. Of late ones, the wait
    // is not predicted again.
    if (Log.Queued && Log.Lane != QueueLane::OnTime)
      return Case;
    QueuedServiceTime Ahead = Queue_.serviceTimeAhead(
        Pool.Name, Rank, Log.Arrived, Runtime_.Now(), Request.Customer);
    std::size_t Slots = slotsOf(Pool);
    if (!Log.Queued)
      Case.OnTimeWait = QueueWaits_.onTimeWait(Pool.Name, Ahead, Slots);
    Case.LateWait = QueueWaits_.lateWait(Pool.Name, Ahead, Slots);
    return Case;
  }

  /// Forwarding to another region is worth the transfer if this region would
  /// refuse the request, or if the response comes clearly sooner, and on time.
  bool isRemoteBetter(Duration Expected, const AdmissionCase &Case,
                      const Admission &LocalAdmission,
                      bool IsServedWellLocally) const {
    if (Case.Waited + Expected > Case.LatestOutput)
      return false;
    if (!IsServedWellLocally || !LocalAdmission.Admitted)
      return true;
    bool OnTime = Case.SinceFirstRequest + Expected <= Case.LatencyTarget;
    return (OnTime || Case.IsUnderservedLong) &&
           LocalAdmission.Expected >
               scaled(Case.LatencyTarget, Settings_.RemoteThreshold) &&
           Expected + Settings_.MinRemoteGain < LocalAdmission.Expected;
  }

  void recordAdmission(const RequestDescriptor &Request,
                       const FleetRoute &Route, const FleetPool &Pool,
                       const AttemptLog &Log, const Candidate &Local,
                       const Admission &LocalAdmission) {
    if (!Log.Queued) {
      if (LocalAdmission.Admitted && LocalAdmission.Lane == QueueLane::OnTime)
        QueueWaits_.recordArrival(
            Pool.Name,
            occupancyOf(Request, Pool, *Local.Endpoint, Local.Expected));
      Fairness_.recordDecision(classOf(Route, Pool, Local),
                               LocalAdmission.Admitted);
      if (!Request.Customer.empty())
        Fairness_.recordCustomer(Pool.Name, Request.Customer,
                                 LocalAdmission.Admitted);
    } else if (!LocalAdmission.Admitted) {
      Fairness_.recordLateRefusal(classOf(Route, Pool, Local));
      if (!Request.Customer.empty())
        Fairness_.recordLateRefusal(Pool.Name, Request.Customer);
    }
  }

  /// Charges a dispatched request to its customer's share. Requests without a
  /// customer are charged only where customers share the rank.
  void chargeCustomer(const RequestDescriptor &Request, const FleetRoute &Route,
                      const ServeAt &Choice, const AttemptLog &Log) {
    ShareScope Scope{Log.Pool, Log.QueuedRank.value_or(Route.Rank)};
    const FleetPool *Pool = poolOf(Log);
    if (Pool != nullptr &&
        (!Request.Customer.empty() || Queue_.isShared(Scope)))
      Queue_.recordDispatch(
          Scope, Request.Customer,
          occupancyOf(Request, *Pool, Choice.Endpoint, Choice.Expected),
          Runtime_.Now());
  }

  Enqueue makeEnqueue(const RequestDescriptor &Request, const FleetRoute &Route,
                      const FleetPool &Pool, AttemptLog &Log,
                      const Candidate &Local, const AdmissionCase &Case,
                      const Admission &LocalAdmission) const {
    unsigned Rank = queueRank(Request, Route, Pool, Log, Local);
    // A queued request keeps the rank that it was queued with.
    if (!Log.Queued)
      Log.QueuedRank = Rank;
    Log.Lane = LocalAdmission.Lane;
    Log.QueuedAsUnderserved = Case.IsUnderservedLong;
    bool OnTime = LocalAdmission.Lane == QueueLane::OnTime;
    Duration OwnLatency = Local.Expected.ToFirstOutput - Local.Expected.Wait;
    TimePoint Last = Log.Arrived + Case.LatestOutput - OwnLatency;
    Enqueue Wait;
    Wait.Expected = LocalAdmission.Expected;
    Wait.QueueWait = OnTime ? Case.OnTimeWait : Duration::zero();
    Wait.Occupancy =
        occupancyOf(Request, Pool, *Local.Endpoint, Local.Expected);
    Wait.Rank = Rank;
    Wait.HasReservedEndpoint = Case.IsUnderservedLong;
    Wait.OnTimeUntil = Log.Arrived;
    Wait.ReevaluateAt = Last;
    if (Case.IsUnderservedLong)
      Wait.OnTimeUntil = Last;
    else if (OnTime)
      Wait.OnTimeUntil = Wait.ReevaluateAt = std::min(
          Last, *Log.FirstRequestedAt + Route.LatencyTarget - OwnLatency);
    return Wait;
  }

  /// Whether requests other than trials are sent to it.
  bool serves(const EndpointKey &Key) const {
    return Health_.isTrusted(Key) || Health_.isLastResort(Key);
  }

  /// Slots of the endpoints that serve; an engine counts as one.
  std::size_t slotsOf(const FleetPool &Pool) const {
    std::size_t Slots = 0;
    for (const FleetEndpoint *E : placeableEndpoints(Pool.Name))
      if (serves(E->Key))
        Slots += Pool.Engine ? 1 : std::max(1U, E->Slots);
    return Slots;
  }

  void addSlots(const FleetEndpoint &E, const FleetPool &Pool,
                const Prediction &Expected, PoolLoadSummary &Summary) const {
    const EndpointLoad &Load = Loads_.at(E.Key);
    if (Pool.Engine) {
      ++Summary.Slots;
      Summary.FreeSlots += Expected.Ready && Load.AllPrefill == 0 ? 1 : 0;
      return;
    }
    std::uint32_t Slots = std::max(1U, E.Slots);
    Summary.Slots += Slots;
    Summary.FreeSlots += Slots - std::min(Slots, Load.InFlight);
  }

  static Duration scaled(Duration D, double Factor) {
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(D.count()) * Factor));
  }

  Runtime Runtime_;
  FleetView &Fleet_;
  HostRegistry &Hosts_;
  DispatchSettings Settings_;
  EndpointLoadTracker Loads_;
  PrefixCacheTracker Prefixes_;
  EndpointHealth Health_;
  CrashTracker Crashes_;
  RegionLoadTracker Regions_;
  RegionOfferLimiter Offers_;
  LatencyPredictor Predictor_;
  SharedRetryBudget Budget_;
  ColdStartLimiter ColdStarts_;
  LongPromptScorer LongPromptScorer_;
  RequestQueue Queue_;
  QueueWaitEstimator QueueWaits_;
  FairnessTracker Fairness_;
  EndpointReservations Reservations_;
  RefusedCallerTracker RefusedCallers_;
  std::function<bool(const EndpointKey &)> Owns_;
  std::function<Duration()> PlacersStableFor_;
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

bool Dispatcher::knowsPool(const PoolName &Pool) const {
  const FleetTablesPtr &Tables = Impl_->Fleet_.tables();
  return Tables && Tables->pool(Pool) != nullptr;
}

std::optional<Refusal> Dispatcher::admit(const RequestDescriptor &Request,
                                         const FleetRoute &Route,
                                         AttemptLog &Log) {
  return Impl_->admit(Request, Route, Log);
}

void Dispatcher::setOwnership(std::function<bool(const EndpointKey &)> Owns,
                              std::function<Duration()> PlacersStableFor) {
  Impl_->Owns_ = std::move(Owns);
  Impl_->PlacersStableFor_ = std::move(PlacersStableFor);
}

void Dispatcher::onCrashChange(
    std::function<void(const CrashChange &)> Changed) {
  Impl_->setCrashChanged(std::move(Changed));
}

RetryDecision Dispatcher::mayRetry(const RequestDescriptor &Request,
                                   const FleetRoute &Route,
                                   const AttemptLog &Log) {
  if (!maySend(Log.Execution, Route.Kind))
    return {RetryVerdict::MayHaveRun, std::nullopt};
  if (runsLeft(Request, Route, Log) == 0)
    return {RetryVerdict::NoRunsLeft, std::nullopt};
  if (Log.Sends >= Route.MaxEndpoints + MaxRefusedSends)
    return {RetryVerdict::TooManySends, std::nullopt};
  if (Request.Deadline - Impl_->Runtime_.Now() < MinTimeLeft)
    return {RetryVerdict::NoTimeLeft, std::nullopt};
  return decisionOf(Impl_->Budget_.check(Log.Pool, Impl_->Hosts_.fleetSize()));
}

RetryDecision Dispatcher::takeRetry(const PoolName &Pool) {
  return decisionOf(Impl_->Budget_.take(Pool, Impl_->Hosts_.fleetSize()));
}

bool Dispatcher::mayHedge(const RequestDescriptor &Request,
                          const FleetRoute &Route, const AttemptLog &Log,
                          Duration Predicted) {
  Duration Left = Request.Deadline - Impl_->Runtime_.Now();
  return mayRepeat(Route.Kind) && runsLeft(Request, Route, Log) >= HedgeRuns &&
         Left >= HedgeTimeFactor * Predicted &&
         !Impl_->Queue_.hasAny(Log.Pool) &&
         Impl_->Crashes_.crashesOf(Request.Suspects) == 0 &&
         mayRetry(Request, Route, Log).isAllowed();
}

unsigned Dispatcher::runsLeft(const RequestDescriptor &Request,
                              const FleetRoute &Route, const AttemptLog &Log) {
  unsigned Most = std::min(Route.MaxEndpoints,
                           Request.RunsLeft.value_or(Route.MaxEndpoints));
  return Most - std::min(Most, Log.Runs);
}

DispatchId Dispatcher::begin(const RequestDescriptor &Request,
                             const FleetRoute &Route, const ServeAt &Choice,
                             AttemptLog &Log) {
  const EndpointKey &Key = Choice.Endpoint.Key;
  if (!Impl_->Health_.isTrusted(Key))
    Impl_->Health_.recordTrial(Key);
  Log.Tried.push_back(Key);
  Log.Sends += 1;
  RequestCost W = costOf(Request, Route, Choice);
  if (Request.PromptTokens > 0)
    Impl_->Prefixes_.recordRequest(Key, Request.Levels,
                                   W.UncachedTokens + Request.MaxOutputTokens);
  Impl_->chargeCustomer(Request, Route, Choice, Log);
  return Impl_->Loads_.recordStart(Key, W);
}

RequestCost Dispatcher::costOf(const RequestDescriptor &Request,
                               const FleetRoute &Route, const ServeAt &Choice) {
  RequestCost W;
  W.UncachedTokens = Choice.Expected.UncachedTokens;
  W.MemoryTokens = Request.PromptTokens + Request.MaxOutputTokens;
  W.Rank = Route.Rank;
  return W;
}

void Dispatcher::recordFirstOutput(const ServeAt &Choice, DispatchId Id,
                                   Duration Took) {
  Impl_->Loads_.recordFirstOutput(Id);
  const FleetTablesPtr &Tables = Impl_->Fleet_.tables();
  const FleetPool *Pool = Tables ? Tables->pool(Choice.Endpoint.Pool) : nullptr;
  if (Pool != nullptr && !Choice.Cold)
    Impl_->Predictor_.recordLatency(Choice.Endpoint, *Pool, Choice.Expected,
                                    Took);
}

void Dispatcher::end(const ServeAt &Choice, DispatchId Id,
                     AttemptOutcome Outcome) {
  // The report of its first output may have been lost.
  if (Outcome == AttemptOutcome::Answered)
    Impl_->Loads_.recordFirstOutput(Id);
  Impl_->Loads_.recordEnd(Id);
  Impl_->Health_.recordOutcome(Choice.Endpoint.Key, Outcome);
}

void Dispatcher::recordForward(const RequestDescriptor &Request,
                               const ForwardTo &Choice, AttemptLog &Log) {
  Log.RegionsTried.push_back(Choice.Host.Region);
  Log.Sends += 1;
  if (!Choice.LoadKnown)
    Impl_->Offers_.recordOffer(Choice.Host.Region, Log.Pool);
  const FleetTablesPtr &Tables = Impl_->Fleet_.tables();
  if (const FleetPool *Pool = Tables ? Tables->pool(Log.Pool) : nullptr)
    Impl_->Regions_.recordForward(
        Choice.Host.Region, Log.Pool,
        Impl_->Predictor_.serviceTime(*Pool, Request.PromptTokens));
}

void Dispatcher::recordWait(const PoolName &Pool, Duration Predicted,
                            Duration Took) {
  Impl_->QueueWaits_.recordWait(Pool, Predicted, Took);
}

void Dispatcher::recordStream(const PoolName &Pool,
                              std::uint32_t MaxOutputTokens, Duration Took) {
  Impl_->Predictor_.recordStream(Pool, MaxOutputTokens, Took);
}

RequestQueue &Dispatcher::queue() { return Impl_->Queue_; }
void Dispatcher::offerSlots() { Impl_->Queue_.offer(Impl_->Runtime_.Now()); }

std::vector<PoolLoadSummary> Dispatcher::outlook() const {
  std::vector<PoolLoadSummary> All;
  const FleetTablesPtr &Tables = Impl_->Fleet_.tables();
  if (!Tables)
    return All;
  // A request of ordinary rank, whose prompt is not counted. Where there are
  // customers, it is one of the least urgent customer that waits, so that the
  // requests of all customers count.
  for (const auto &[Name, Pool] : Tables->Pools) {
    FleetRoute Ordinary;
    Ordinary.Rank = 1;
    if (Tables->Customers)
      Ordinary.Rank +=
          firstRankOf(customerRankOf(Impl_->Queue_.leastUrgentRank(Name)));
    PoolLoadSummary Summary;
    Summary.Pool = poolHash(Name);
    Duration Sum{};
    for (const FleetEndpoint *E :
         Impl_->Fleet_.usable(Name, Impl_->Hosts_.self().Region)) {
      if (!Impl_->serves(E->Key) || !Impl_->owns(E->Key) ||
          Impl_->isCold(*E, Pool))
        continue;
      Prediction P = Impl_->Predictor_.predict(*E, Pool, {}, Ordinary);
      Sum += P.Wait;
      ++Summary.Endpoints;
      Impl_->addSlots(*E, Pool, P, Summary);
    }
    TimePoint Now = Impl_->Runtime_.Now();
    QueuedServiceTime Ahead =
        Impl_->Queue_.serviceTimeAhead(Name, Ordinary.Rank, Now, Now);
    std::size_t Slots = Impl_->slotsOf(Pool);
    if (Summary.Endpoints > 0) {
      Duration OnTime = Impl_->QueueWaits_.onTimeWait(Name, Ahead, Slots);
      Summary.Wait = Sum / Summary.Endpoints + OnTime;
      Summary.LateWait =
          Impl_->QueueWaits_.lateWait(Name, Ahead, Slots) - OnTime;
    }
    All.push_back(Summary);
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

EndpointLoadTracker &Dispatcher::loads() { return Impl_->Loads_; }
EndpointHealth &Dispatcher::health() { return Impl_->Health_; }
CrashTracker &Dispatcher::crashes() { return Impl_->Crashes_; }
RegionLoadTracker &Dispatcher::regions() { return Impl_->Regions_; }
RegionOfferLimiter &Dispatcher::offers() { return Impl_->Offers_; }
LatencyPredictor &Dispatcher::predictor() { return Impl_->Predictor_; }

} // namespace celerybeam
