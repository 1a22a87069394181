#include "routing/router.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "framework/stablehash.h"
#include "routing/internal/forwardingpolicy.h"
#include "routing/internal/poolview.h"
#include "routing/internal/prefixhistory.h"
#include "routing/internal/waitpredictor.h"

namespace celerybeam {

namespace {

using detail::Candidate;
using detail::PoolView;
using detail::PoolViewPtr;
using detail::Prediction;

/// Prefix lengths, in blocks, whose hash selects the same endpoint for a prompt
/// on every host.
constexpr std::size_t PrefixDepths[] = {4, 8, 16};
/// Share of the prefix assumed to be cached at the endpoint selected by
/// hash, when this host has not sent the prefix there itself.
constexpr double AssumedCachedShare = 0.5;
/// Load added to the bound for prefix affinity, as a share of an endpoint's
/// slots, so that the bound does not reject every endpoint of a nearly idle
/// pool.
constexpr double AffinitySlack = 0.25;
/// Pools of up to this many endpoints are scored completely; of larger pools a
/// random sample is scored.
constexpr std::size_t MaxFullScan = 16;
constexpr std::chrono::milliseconds MinRetryAfter{50};
constexpr double TwoTo64 = 18446744073709551616.;

/// An endpoint with its prediction and score for one decision.
struct ScoredCandidate {
  const Candidate *Endpoint = nullptr;
  Prediction Predicted;
  Duration Score = Duration::max();
  double CachedBlocks = 0;
};

} // namespace

class Router::Impl {
public:
  Impl(Blackboard &Board, Runtime R, const RouterSettings &Settings)
      : Board_(Board), Runtime_(R), Settings_(Settings),
        Forwarding_(Board, std::move(R), Settings) {}

  Result<RouteChoice> choose(const RouteQuery &Query) {
    TablesSnapshot T = Board_.tables();
    const RouteRow *Route = T->findRoute(Query.Route);
    const PoolRow *Pool = T->findPool(Query.Pool);
    if (!Route || !Pool)
      return unknownRoute(Query);
    Duration Remaining = Query.Deadline - Runtime_.Now();
    if (Remaining <= Duration(0))
      return makeError(ErrorKind::DeadlineExpired,
                       "The deadline has passed; allow more time.");
    PoolViewPtr View = viewOf(*Pool);
    std::optional<ScoredCandidate> Best =
        chooseLocal(Query, *Pool, *View, Remaining);
    if (!Best || !Query.ForwardingConsidered)
      if (auto Remote = Forwarding_.choose(
              forwardingInput(Query, *Route, *Pool, Best, Remaining)))
        return RouteChoice(std::move(*Remote));
    if (!Best)
      return noEndpoint(*Pool);
    if (predictedLatency(*Best) > Remaining)
      return noCapacity(*Pool, predictedLatency(*Best) - Remaining);
    return RouteChoice(serveLocally(Query, *Best));
  }

  std::optional<ForwardToRegion> chooseRemoteRegion(const RouteQuery &Query) {
    TablesSnapshot T = Board_.tables();
    const RouteRow *Route = T->findRoute(Query.Route);
    const PoolRow *Pool = T->findPool(Query.Pool);
    if (!Route || !Pool)
      return std::nullopt;
    Duration Remaining = Query.Deadline - Runtime_.Now();
    std::optional<ScoredCandidate> Best =
        chooseLocal(Query, *Pool, *viewOf(*Pool), Remaining);
    return Forwarding_.choose(
        forwardingInput(Query, *Route, *Pool, Best, Remaining));
  }

  std::vector<CandidateView> explain(const RouteQuery &Query) {
    std::vector<CandidateView> Views;
    TablesSnapshot T = Board_.tables();
    const PoolRow *Pool = T->findPool(Query.Pool);
    if (!Pool)
      return Views;
    PoolViewPtr View =
        detail::makePoolView(Board_, *Pool, Runtime_.Now(), Settings_);
    std::vector<ScoredCandidate> All = scoreCandidates(Query, *Pool, *View);
    const ScoredCandidate *Best = nullptr;
    for (const ScoredCandidate &Scored : All)
      if (Scored.Endpoint && (!Best || Scored.Score < Best->Score))
        Best = &Scored;
    auto Ids = Board_.endpointsWithLabel(Pool->Label);
    for (const EndpointId &Id : *Ids)
      Views.push_back(describe(Id, Query, *Pool, All, Best));
    return Views;
  }

  void tick() {
    TimePoint Now = Runtime_.Now();
    std::vector<PoolName> Old;
    Views_.forEach([&](const PoolName &Name, const PoolViewPtr &View) {
      if (Now - View->MadeAt >= Settings_.MaxViewAge / 2)
        Old.push_back(Name);
    });
    TablesSnapshot T = Board_.tables();
    for (const PoolName &Name : Old) {
      const PoolRow *Pool = T->findPool(Name);
      if (Pool)
        Views_.set(Name, detail::makePoolView(Board_, *Pool, Now, Settings_));
      else
        Views_.erase(Name);
    }
  }

  void forwardFailed(const RegionId &Region) {
    Forwarding_.recordFailure(Region);
  }

  void recordForwardedBytes(const RegionId &Region, std::uint64_t Bytes) {
    Forwarding_.recordBytes(Region, Bytes);
  }

private:
  PoolViewPtr viewOf(const PoolRow &Pool) {
    TimePoint Now = Runtime_.Now();
    std::optional<PoolViewPtr> Known = Views_.find(Pool.Name);
    if (Known && Now - (*Known)->MadeAt < Settings_.MaxViewAge)
      return *Known;
    PoolViewPtr Renewed = detail::makePoolView(Board_, Pool, Now, Settings_);
    Views_.set(Pool.Name, Renewed);
    return Renewed;
  }

  static detail::ForwardingInput forwardingInput(
      const RouteQuery &Query, const RouteRow &Route, const PoolRow &Pool,
      const std::optional<ScoredCandidate> &Best, Duration Remaining) {
    detail::ForwardingInput Input{&Query, &Route, &Pool, std::nullopt,
                                  Remaining};
    if (Best)
      Input.LocalScore = Best->Score + Query.QueueWait;
    return Input;
  }

  std::optional<ScoredCandidate> chooseLocal(const RouteQuery &Query,
                                             const PoolRow &Pool,
                                             const PoolView &View,
                                             Duration Remaining) {
    if (View.Candidates.empty())
      return std::nullopt;
    ScoredCandidate Best;
    scorePrefixCandidates(Query, Pool, View, Best);
    if (View.Candidates.size() <= MaxFullScan)
      scoreAll(Query, Pool, View, Best);
    else
      scoreRandomSample(Query, Pool, View, Best);
    if (Best.Endpoint && predictedLatency(Best) <= Remaining)
      return Best;
    // The sampled endpoints cannot serve in time; one of the others may.
    scoreAll(Query, Pool, View, Best);
    if (!Best.Endpoint)
      return std::nullopt;
    return Best;
  }

  std::vector<ScoredCandidate> scoreCandidates(const RouteQuery &Query,
                                               const PoolRow &Pool,
                                               const PoolView &View) {
    std::vector<ScoredCandidate> All;
    All.reserve(View.Candidates.size());
    for (const Candidate &C : View.Candidates)
      All.push_back(score(C, Query, Pool, View, 0));
    return All;
  }

  void scoreAll(const RouteQuery &Query, const PoolRow &Pool,
                const PoolView &View, ScoredCandidate &Best) {
    for (const ScoredCandidate &Scored : scoreCandidates(Query, Pool, View))
      keepBetter(Best, Scored);
  }

  void scorePrefixCandidates(const RouteQuery &Query, const PoolRow &Pool,
                             const PoolView &View, ScoredCandidate &Best) {
    if (Query.Prefix.empty())
      return;
    if (auto Match = PrefixHistory_.find(Query.Prefix))
      if (const Candidate *C = findByHash(View, Match->Endpoint))
        scoreAffinity(*C, Query, Pool, View, static_cast<double>(Match->Blocks),
                      Best);
    for (std::size_t Blocks : PrefixDepths) {
      std::size_t Depth = std::min(Blocks, Query.Prefix.size());
      const Candidate &C = rendezvousEndpoint(View, Query.Prefix[Depth - 1]);
      scoreAffinity(C, Query, Pool, View,
                    AssumedCachedShare * static_cast<double>(Depth), Best);
      if (Depth == Query.Prefix.size())
        break;
    }
  }

  /// Considers an endpoint that may have the prefix in its cache, unless its
  /// load exceeds the pool's bound.
  void scoreAffinity(const Candidate &C, const RouteQuery &Query,
                     const PoolRow &Pool, const PoolView &View,
                     double CachedBlocks, ScoredCandidate &Best) {
    ScoredCandidate Scored = score(C, Query, Pool, View, CachedBlocks);
    if (Scored.Predicted.Load <=
        Pool.AffinityLoadBound * View.Averages.Load + AffinitySlack)
      keepBetter(Best, Scored);
  }

  void scoreRandomSample(const RouteQuery &Query, const PoolRow &Pool,
                         const PoolView &View, ScoredCandidate &Best) {
    std::size_t SameZone = View.SameZoneCount;
    std::size_t OtherZones = View.Candidates.size() - SameZone;
    for (unsigned I = 0; SameZone > 0 && I < Settings_.RandomChoices; ++I)
      keepBetter(Best, score(View.Candidates[Runtime_.Random() % SameZone],
                             Query, Pool, View, 0));
    unsigned OtherZoneSamples = SameZone > 0 ? 1 : Settings_.RandomChoices;
    for (unsigned I = 0; OtherZones > 0 && I < OtherZoneSamples; ++I)
      keepBetter(
          Best,
          score(View.Candidates[SameZone + Runtime_.Random() % OtherZones],
                Query, Pool, View, 0));
  }

  static void keepBetter(ScoredCandidate &Best, const ScoredCandidate &Next) {
    if (Next.Endpoint && (!Best.Endpoint || Next.Score < Best.Score))
      Best = Next;
  }

  ScoredCandidate score(const Candidate &C, const RouteQuery &Query,
                        const PoolRow &Pool, const PoolView &View,
                        double CachedBlocks) {
    ScoredCandidate Scored;
    if (std::find(Query.Excluded.begin(), Query.Excluded.end(), C.Id) !=
        Query.Excluded.end())
      return Scored;
    Board_.endpoints().update(C.Id, [&](const EndpointRecord &E) {
      if (!isEligible(E, Query, Pool, View))
        return;
      Scored.Endpoint = &C;
      Scored.CachedBlocks = CachedBlocks;
      Scored.Predicted = detail::predict(E, View.Averages);
      Scored.Score = Scored.Predicted.Wait + Scored.Predicted.ExtraLatency +
                     uncachedPrefill(Query, CachedBlocks);
      if (E.Descriptor.Zone != Board_.self().Zone)
        Scored.Score += 2 * Settings_.ZoneHop;
    });
    return Scored;
  }

  bool isEligible(const EndpointRecord &E, const RouteQuery &Query,
                  const PoolRow &Pool, const PoolView &View) {
    if (E.State != EndpointState::Live)
      return false;
    if (E.Probation == ProbationState::Ejected && !View.AllOnProbation)
      return false;
    // An endpoint that returns from probation is idle and would nearly always
    // have the best score. It is scored with the probability of its return
    // share, divided by the number of samples in a decision.
    if (E.Probation == ProbationState::Returning &&
        !drawWithProbability(E.ReturnShare / Settings_.RandomChoices))
      return false;
    double LongSlots = std::max(1., Pool.LongShare * E.Descriptor.Slots);
    return Query.Class == RequestClass::Short ||
           E.Observed.LongInFlight < LongSlots;
  }

  bool drawWithProbability(double Probability) {
    return static_cast<double>(Runtime_.Random()) < Probability * TwoTo64;
  }

  Duration uncachedPrefill(const RouteQuery &Query, double CachedBlocks) const {
    Duration Whole = Settings_.PrefillPerToken * Query.PromptTokens;
    if (Query.Prefix.empty())
      return Whole;
    double UncachedShare =
        1 - CachedBlocks / static_cast<double>(Query.Prefix.size());
    return Duration(static_cast<Duration::rep>(
        static_cast<double>(Whole.count()) * std::max(0., UncachedShare)));
  }

  static const Candidate *findByHash(const PoolView &View, std::uint64_t Hash) {
    for (const Candidate &C : View.Candidates)
      if (C.Hash == Hash)
        return &C;
    return nullptr;
  }

  /// The endpoint selected for a prefix by rendezvous hashing; the same on
  /// every host that knows the same endpoints.
  static const Candidate &rendezvousEndpoint(const PoolView &View,
                                             std::uint64_t Block) {
    const Candidate *Best = &View.Candidates.front();
    std::uint64_t BestRank = 0;
    for (const Candidate &C : View.Candidates) {
      std::uint64_t Rank = stableHash(C.Hash, Block);
      if (Rank < BestRank)
        continue;
      BestRank = Rank;
      Best = &C;
    }
    return *Best;
  }

  static Duration predictedLatency(const ScoredCandidate &Scored) {
    return Scored.Predicted.Wait + Scored.Predicted.ExtraLatency;
  }

  ServeLocally serveLocally(const RouteQuery &Query,
                            const ScoredCandidate &Best) {
    PrefixHistory_.record(Query.Prefix, Best.Endpoint->Hash);
    return {Best.Endpoint->Id, predictedLatency(Best), Best.CachedBlocks > 0};
  }

  CandidateView describe(const EndpointId &Id, const RouteQuery &Query,
                         const PoolRow &Pool,
                         const std::vector<ScoredCandidate> &All,
                         const ScoredCandidate *Best) {
    CandidateView View;
    View.Endpoint = Id;
    std::optional<EndpointRecord> E = Board_.endpoints().find(Id);
    if (!E) {
      View.Exclusion = "gone";
      return View;
    }
    View.Region = E->Descriptor.Region;
    View.Exclusion = detail::exclusionReason(*E, Pool, Board_.self().Region);
    for (const ScoredCandidate &Scored : All) {
      if (!Scored.Endpoint || Scored.Endpoint->Id != Id)
        continue;
      View.Score = Scored.Score;
      View.Chosen = &Scored == Best;
      return View;
    }
    if (View.Exclusion.empty())
      View.Exclusion = ineligibilityReason(*E, Query);
    return View;
  }

  static std::string ineligibilityReason(const EndpointRecord &E,
                                         const RouteQuery &Query) {
    if (std::find(Query.Excluded.begin(), Query.Excluded.end(),
                  E.Descriptor.Id) != Query.Excluded.end())
      return "an attempt of this request failed or runs there";
    if (E.Probation == ProbationState::Ejected)
      return "on probation as a straggler";
    if (E.Probation == ProbationState::Returning)
      return "returning from probation with a share of the traffic";
    return "its slots for long drafts are taken";
  }

  static tl::unexpected<Error> unknownRoute(const RouteQuery &Query) {
    return makeError(ErrorKind::UnknownRoute,
                     "Route " + Query.Route.str() + " with pool " +
                         Query.Pool.str() +
                         " is not in the tables; ask the operators.");
  }

  static tl::unexpected<Error> noEndpoint(const PoolRow &Pool) {
    return makeError(ErrorKind::NoEndpoint,
                     "No endpoint of pool " + Pool.Name.str() +
                         " can serve now; see `celerybeamctl endpoints`, and "
                         "try again later.",
                     std::chrono::seconds(1));
  }

  static tl::unexpected<Error> noCapacity(const PoolRow &Pool,
                                          Duration Excess) {
    auto RetryAfter = std::max(
        MinRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(Excess));
    return makeError(ErrorKind::NoCapacityInTime,
                     "No endpoint of pool " + Pool.Name.str() +
                         " can answer within the deadline; try again after "
                         "the stated time, or allow more time.",
                     RetryAfter);
  }

  Blackboard &Board_;
  Runtime Runtime_;
  RouterSettings Settings_;
  detail::ForwardingPolicy Forwarding_;
  detail::PrefixHistory PrefixHistory_;
  ShardedMap<PoolName, PoolViewPtr> Views_;
};

Router::Router(Blackboard &Board, Runtime R, const RouterSettings &Settings)
    : Impl_(std::make_unique<Impl>(Board, std::move(R), Settings)) {}
Router::~Router() = default;

Result<RouteChoice> Router::choose(const RouteQuery &Query) {
  return Impl_->choose(Query);
}

std::optional<ForwardToRegion>
Router::chooseRemoteRegion(const RouteQuery &Query) {
  return Impl_->chooseRemoteRegion(Query);
}

std::vector<CandidateView> Router::explain(const RouteQuery &Query) const {
  return Impl_->explain(Query);
}

void Router::tick() { Impl_->tick(); }

void Router::forwardFailed(const RegionId &Region) {
  Impl_->forwardFailed(Region);
}

void Router::recordForwardedBytes(const RegionId &Region, std::uint64_t Bytes) {
  Impl_->recordForwardedBytes(Region, Bytes);
}

} // namespace celerybeam
