#include "routing/router.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "framework/stablehash.h"
#include "routing/internal/poolview.h"
#include "routing/internal/prefixmemory.h"
#include "routing/internal/sendawaypolicy.h"
#include "routing/internal/waitpredictor.h"

namespace celerybeam {

namespace {

using detail::Candidate;
using detail::PoolView;
using detail::PoolViewPtr;
using detail::Prediction;

/// Prompt blocks whose hash places a prompt on the same endpoints from every
/// host.
constexpr std::size_t PlacementBlocks[] = {4, 8, 16};
/// How much of a placement's prefix is taken to be cached when this host has
/// not sent it there itself.
constexpr double AssumedCached = 0.5;
/// Load above the affinity bound that a nearly idle pool tolerates, as a share
/// of an endpoint's slots.
constexpr double AffinitySlack = 0.25;
/// Up to so many endpoints are all weighed; of more, a few that are drawn.
constexpr std::size_t FewEndpoints = 16;
constexpr std::chrono::milliseconds MinRetryAfter{50};
constexpr double TwoTo64 = 18446744073709551616.;

/// One endpoint that the decision weighs.
struct Weighed {
  const Candidate *Where = nullptr;
  Prediction Predicted;
  Duration Score = Duration::max();
  double CachedBlocks = 0;
};

} // namespace

class Router::Impl {
public:
  Impl(Blackboard &Board, Runtime R, const RouterSettings &Settings)
      : Board_(Board), Runtime_(R), Settings_(Settings),
        SendAway_(Board, std::move(R), Settings) {}

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
    std::optional<Weighed> Best = chooseHere(Query, *Pool, *View, Remaining);
    if (!Best || !Query.AwayConsidered)
      if (auto Away =
              SendAway_.choose(awayCase(Query, *Route, *Pool, Best, Remaining)))
        return RouteChoice(std::move(*Away));
    if (!Best)
      return noEndpoint(*Pool);
    if (needed(*Best) > Remaining)
      return noCapacity(*Pool, needed(*Best) - Remaining);
    return RouteChoice(serveHere(Query, *Best));
  }

  std::optional<SendAway> chooseAway(const RouteQuery &Query) {
    TablesSnapshot T = Board_.tables();
    const RouteRow *Route = T->findRoute(Query.Route);
    const PoolRow *Pool = T->findPool(Query.Pool);
    if (!Route || !Pool)
      return std::nullopt;
    Duration Remaining = Query.Deadline - Runtime_.Now();
    std::optional<Weighed> Best =
        chooseHere(Query, *Pool, *viewOf(*Pool), Remaining);
    return SendAway_.choose(awayCase(Query, *Route, *Pool, Best, Remaining));
  }

  std::vector<CandidateView> explain(const RouteQuery &Query) {
    std::vector<CandidateView> Views;
    TablesSnapshot T = Board_.tables();
    const PoolRow *Pool = T->findPool(Query.Pool);
    if (!Pool)
      return Views;
    PoolViewPtr View =
        detail::makePoolView(Board_, *Pool, Runtime_.Now(), Settings_);
    std::vector<Weighed> All = weighMembers(Query, *Pool, *View);
    const Weighed *Best = nullptr;
    for (const Weighed &W : All)
      if (W.Where && (!Best || W.Score < Best->Score))
        Best = &W;
    auto Ids = Board_.endpointsWithLabel(Pool->Label);
    for (const EndpointId &Id : *Ids)
      Views.push_back(describe(Id, Query, *Pool, All, Best));
    return Views;
  }

  void tick() {
    TimePoint Now = Runtime_.Now();
    std::vector<PoolName> Old;
    Views_.forEach([&](const PoolName &Name, const PoolViewPtr &View) {
      if (Now - View->MadeAt >= Settings_.ViewAge / 2)
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

  void awayFailed(const RegionId &Region) { SendAway_.failed(Region); }

  void sentAway(const RegionId &Region, std::uint64_t Bytes) {
    SendAway_.sent(Region, Bytes);
  }

private:
  PoolViewPtr viewOf(const PoolRow &Pool) {
    TimePoint Now = Runtime_.Now();
    std::optional<PoolViewPtr> Known = Views_.find(Pool.Name);
    if (Known && Now - (*Known)->MadeAt < Settings_.ViewAge)
      return *Known;
    PoolViewPtr Fresh = detail::makePoolView(Board_, Pool, Now, Settings_);
    Views_.set(Pool.Name, Fresh);
    return Fresh;
  }

  static detail::SendAwayCase
  awayCase(const RouteQuery &Query, const RouteRow &Route, const PoolRow &Pool,
           const std::optional<Weighed> &Best, Duration Remaining) {
    detail::SendAwayCase Case{&Query, &Route, &Pool, std::nullopt, Remaining};
    if (Best)
      Case.LocalScore = Best->Score + Query.QueueWait;
    return Case;
  }

  std::optional<Weighed> chooseHere(const RouteQuery &Query,
                                    const PoolRow &Pool, const PoolView &View,
                                    Duration Remaining) {
    if (View.Candidates.empty())
      return std::nullopt;
    Weighed Best;
    weighPrefix(Query, Pool, View, Best);
    if (View.Candidates.size() <= FewEndpoints)
      weighAll(Query, Pool, View, Best);
    else
      weighRandom(Query, Pool, View, Best);
    if (Best.Where && needed(Best) <= Remaining)
      return Best;
    // The few that were drawn cannot serve in time; one of the rest may.
    weighAll(Query, Pool, View, Best);
    if (!Best.Where)
      return std::nullopt;
    return Best;
  }

  std::vector<Weighed> weighMembers(const RouteQuery &Query,
                                    const PoolRow &Pool, const PoolView &View) {
    std::vector<Weighed> All;
    All.reserve(View.Candidates.size());
    for (const Candidate &C : View.Candidates)
      All.push_back(weigh(C, Query, Pool, View, 0));
    return All;
  }

  void weighAll(const RouteQuery &Query, const PoolRow &Pool,
                const PoolView &View, Weighed &Best) {
    for (const Weighed &W : weighMembers(Query, Pool, View))
      keepBetter(Best, W);
  }

  void weighPrefix(const RouteQuery &Query, const PoolRow &Pool,
                   const PoolView &View, Weighed &Best) {
    if (Query.Prefix.empty())
      return;
    if (auto Match = Memory_.find(Query.Prefix))
      if (const Candidate *C = byHash(View, Match->Endpoint))
        weighAffine(*C, Query, Pool, View, static_cast<double>(Match->Blocks),
                    Best);
    for (std::size_t Blocks : PlacementBlocks) {
      std::size_t Depth = std::min(Blocks, Query.Prefix.size());
      const Candidate &C = placement(View, Query.Prefix[Depth - 1]);
      weighAffine(C, Query, Pool, View,
                  AssumedCached * static_cast<double>(Depth), Best);
      if (Depth == Query.Prefix.size())
        break;
    }
  }

  /// Takes an endpoint that may have the prefix, unless its load is over the
  /// pool's bound.
  void weighAffine(const Candidate &C, const RouteQuery &Query,
                   const PoolRow &Pool, const PoolView &View,
                   double CachedBlocks, Weighed &Best) {
    Weighed W = weigh(C, Query, Pool, View, CachedBlocks);
    if (W.Predicted.Load <=
        Pool.AffinityLoadBound * View.Averages.Load + AffinitySlack)
      keepBetter(Best, W);
  }

  void weighRandom(const RouteQuery &Query, const PoolRow &Pool,
                   const PoolView &View, Weighed &Best) {
    std::size_t Own = View.OwnZone;
    std::size_t Others = View.Candidates.size() - Own;
    for (unsigned I = 0; Own > 0 && I < Settings_.RandomChoices; ++I)
      keepBetter(Best, weigh(View.Candidates[Runtime_.Random() % Own], Query,
                             Pool, View, 0));
    unsigned FromOthers = Own > 0 ? 1 : Settings_.RandomChoices;
    for (unsigned I = 0; Others > 0 && I < FromOthers; ++I)
      keepBetter(Best, weigh(View.Candidates[Own + Runtime_.Random() % Others],
                             Query, Pool, View, 0));
  }

  static void keepBetter(Weighed &Best, const Weighed &Next) {
    if (Next.Where && (!Best.Where || Next.Score < Best.Score))
      Best = Next;
  }

  Weighed weigh(const Candidate &C, const RouteQuery &Query,
                const PoolRow &Pool, const PoolView &View,
                double CachedBlocks) {
    Weighed W;
    if (std::find(Query.Excluded.begin(), Query.Excluded.end(), C.Id) !=
        Query.Excluded.end())
      return W;
    Board_.endpoints().update(C.Id, [&](const EndpointRecord &E) {
      if (!mayTake(E, Query, Pool, View))
        return;
      W.Where = &C;
      W.CachedBlocks = CachedBlocks;
      W.Predicted = detail::predict(E, View.Averages);
      W.Score = W.Predicted.Wait + W.Predicted.Slowness +
                coldPrefill(Query, CachedBlocks);
      if (E.Descriptor.Zone != Board_.self().Zone)
        W.Score += 2 * Settings_.ZoneHop;
    });
    return W;
  }

  bool mayTake(const EndpointRecord &E, const RouteQuery &Query,
               const PoolRow &Pool, const PoolView &View) {
    if (E.State != EndpointState::Live)
      return false;
    if (E.Probation == ProbationState::Ejected && !View.AllOnProbation)
      return false;
    // An endpoint that returns stands idle and would win nearly every draw;
    // its share counts over all the draws of a decision.
    if (E.Probation == ProbationState::Returning &&
        !drawn(E.ReturnShare / Settings_.RandomChoices))
      return false;
    double LongSlots = std::max(1., Pool.LongShare * E.Descriptor.Slots);
    return Query.Class == RequestClass::Short ||
           E.Observed.LongInFlight < LongSlots;
  }

  bool drawn(double Share) {
    return static_cast<double>(Runtime_.Random()) < Share * TwoTo64;
  }

  Duration coldPrefill(const RouteQuery &Query, double CachedBlocks) const {
    Duration Whole = Settings_.PrefillPerToken * Query.PromptTokens;
    if (Query.Prefix.empty())
      return Whole;
    double Cold = 1 - CachedBlocks / static_cast<double>(Query.Prefix.size());
    return Duration(static_cast<Duration::rep>(
        static_cast<double>(Whole.count()) * std::max(0., Cold)));
  }

  static const Candidate *byHash(const PoolView &View, std::uint64_t Hash) {
    for (const Candidate &C : View.Candidates)
      if (C.Hash == Hash)
        return &C;
    return nullptr;
  }

  /// The endpoint that rendezvous hashing gives a prefix; the same on every
  /// host that knows the same endpoints.
  static const Candidate &placement(const PoolView &View, std::uint64_t Block) {
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

  static Duration needed(const Weighed &W) {
    return W.Predicted.Wait + W.Predicted.Slowness;
  }

  ServeHere serveHere(const RouteQuery &Query, const Weighed &Best) {
    Memory_.remember(Query.Prefix, Best.Where->Hash);
    return {Best.Where->Id, needed(Best), Best.CachedBlocks > 0};
  }

  CandidateView describe(const EndpointId &Id, const RouteQuery &Query,
                         const PoolRow &Pool, const std::vector<Weighed> &All,
                         const Weighed *Best) {
    CandidateView View;
    View.Endpoint = Id;
    std::optional<EndpointRecord> E = Board_.endpoints().find(Id);
    if (!E) {
      View.Exclusion = "gone";
      return View;
    }
    View.Region = E->Descriptor.Region;
    View.Exclusion = detail::exclusionOf(*E, Pool, Board_.self().Region);
    for (const Weighed &W : All) {
      if (!W.Where || W.Where->Id != Id)
        continue;
      View.Score = W.Score;
      View.Chosen = &W == Best;
      return View;
    }
    if (View.Exclusion.empty())
      View.Exclusion = passedOver(*E, Query);
    return View;
  }

  static std::string passedOver(const EndpointRecord &E,
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

  static tl::unexpected<Error> noCapacity(const PoolRow &Pool, Duration Late) {
    auto RetryAfter = std::max(
        MinRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(Late));
    return makeError(ErrorKind::NoCapacityInTime,
                     "No endpoint of pool " + Pool.Name.str() +
                         " can answer within the deadline; try again after "
                         "the stated time, or allow more time.",
                     RetryAfter);
  }

  Blackboard &Board_;
  Runtime Runtime_;
  RouterSettings Settings_;
  detail::SendAwayPolicy SendAway_;
  detail::PrefixMemory Memory_;
  ShardedMap<PoolName, PoolViewPtr> Views_;
};

Router::Router(Blackboard &Board, Runtime R, const RouterSettings &Settings)
    : Impl_(std::make_unique<Impl>(Board, std::move(R), Settings)) {}
Router::~Router() = default;

Result<RouteChoice> Router::choose(const RouteQuery &Query) {
  return Impl_->choose(Query);
}

std::optional<SendAway> Router::chooseAway(const RouteQuery &Query) {
  return Impl_->chooseAway(Query);
}

std::vector<CandidateView> Router::explain(const RouteQuery &Query) const {
  return Impl_->explain(Query);
}

void Router::tick() { Impl_->tick(); }

void Router::awayFailed(const RegionId &Region) { Impl_->awayFailed(Region); }

void Router::sentAway(const RegionId &Region, std::uint64_t Bytes) {
  Impl_->sentAway(Region, Bytes);
}

} // namespace celerybeam
