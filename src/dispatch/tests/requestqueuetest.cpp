#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "dispatch/requestqueue.h"
#include "dispatch/tests/referencequeue.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using testing::ReferenceQueue;

namespace {

struct RandomLoad {
  unsigned Seed = 1;
  /// 0: requests have no customers.
  unsigned Customers = 0;
  unsigned Pools = 2;
  unsigned Rounds = 400;
  /// Mean number of requests that arrive between two rounds.
  unsigned Arrivals = 4;
  /// One offer of this many is taken.
  unsigned OffersPerSlot = 4;
};

/// Everything that a queue does under a random load: which requests get an
/// offer, and what is predicted. All random numbers are drawn in the order of
/// the events, so that one deviation changes all that follows.
template <typename Queue> class Replay {
public:
  explicit Replay(const RandomLoad &Load) : Load_(Load), Random_(Load.Seed) {}

  std::vector<std::int64_t> run() {
    for (unsigned Round = 0; Round < Load_.Rounds; ++Round) {
      Now_ += Duration(1000 * (1 + below(9)));
      // Customers are forgotten in long pauses.
      if (below(150) == 0)
        Now_ += 70s;
      for (auto Count = below(2 * Load_.Arrivals + 1); Count > 0; --Count)
        add();
      if (below(3) == 0)
        removeAny();
      predict(Now_);
      predict(Now_ + Duration(below(20000)));
      note(-1);
      Queue_.offer(Now_);
      note(static_cast<std::int64_t>(Queue_.size()));
    }
    return Trace_;
  }

  std::size_t mostQueued() const { return MostQueued_; }

private:
  std::int64_t below(std::int64_t Limit) {
    return static_cast<std::int64_t>(Random_() %
                                     static_cast<std::uint64_t>(Limit));
  }

  void note(std::int64_t Value) { Trace_.push_back(Value); }

  PoolName pool() { return PoolName("p" + std::to_string(below(Load_.Pools))); }

  CustomerId customer() {
    if (Load_.Customers == 0 || below(10) == 0)
      return {};
    // The first customers send more than the others.
    auto Limit = 1 + below(Load_.Customers);
    return CustomerId("c" + std::to_string(below(Limit)));
  }

  unsigned rank() { return static_cast<unsigned>(below(4)); }

  void add() {
    QueuedRequest Request;
    Request.Pool = pool();
    Request.Rank = rank();
    // Some waited elsewhere before, and several arrive at the same time.
    Request.Arrived = Now_ - 1ms * (below(2) * below(100));
    Request.OnTimeUntil = Request.Arrived + 1ms * below(400);
    Request.ReevaluateAt = Request.Arrived + 1ms * below(2000);
    Request.Occupancy = Duration(1000 * below(20));
    Request.HasReservedEndpoint = below(8) == 0;
    Request.Customer = customer();
    auto Id = std::make_shared<QueuedRequestId>();
    Request.Offer = [this, Id, Request] { return decide(*Id, Request); };
    *Id = Queue_.add(Request);
    Queued_[Id->Value] = *Id;
    MostQueued_ = std::max(MostQueued_, Queue_.size());
  }

  void remove(QueuedRequestId Id) {
    Queue_.remove(Id);
    Queued_.erase(Id.Value);
  }

  void removeAny() {
    if (Queued_.empty())
      return;
    auto It = Queued_.lower_bound(static_cast<std::uint64_t>(
        below(static_cast<std::int64_t>(Queued_.rbegin()->first) + 1)));
    remove(It->second);
  }

  bool decide(QueuedRequestId Id, const QueuedRequest &Request) {
    note(static_cast<std::int64_t>(Id.Value));
    if (below(3) == 0)
      predict(Now_ + Duration(below(3000)));
    if (below(20) == 0)
      add();
    if (below(20) == 0)
      removeAny();
    if (below(Load_.OffersPerSlot) == 0) {
      remove(Id);
      // The occupancy is often not the one that was queued.
      Queue_.recordDispatch({Request.Pool, Request.Rank}, Request.Customer,
                            Request.Occupancy + Duration(500 * below(3)), Now_);
      return true;
    }
    if (below(10) == 0) {
      remove(Id);
      return true;
    }
    if (below(2) == 0)
      Queue_.update(Id, Now_ + 1ms * (below(300) - 100),
                    Now_ + 1ms * (below(500) - 50));
    return false;
  }

  void predict(TimePoint At) {
    PoolName Pool = pool();
    unsigned Rank = rank();
    CustomerId Customer = customer();
    TimePoint Arrived = Now_ - 1ms * below(200);
    note(Queue_.hasRequestAhead(Pool, Rank, Customer) ? 1 : 0);
    note(Queue_.hasAny(Pool) ? 1 : 0);
    note(Queue_.isShared({Pool, Rank}) ? 1 : 0);
    note(Queue_.leastUrgentRank(Pool));
    for (const QueuedServiceTime &Ahead :
         {Queue_.serviceTimeAhead(Pool, Rank, Arrived, At),
          Queue_.serviceTimeAhead(Pool, Rank, Arrived, At, Customer)}) {
      note(Ahead.OnTime.count());
      note(Ahead.Late.count());
    }
  }

  RandomLoad Load_;
  std::mt19937_64 Random_;
  TimePoint Now_{100s};
  Queue Queue_;
  std::map<std::uint64_t, QueuedRequestId> Queued_;
  std::vector<std::int64_t> Trace_;
  std::size_t MostQueued_ = 0;
};

/// \return the size of the queue at its largest.
std::size_t compare(const RandomLoad &Load) {
  Replay<RequestQueue> Tested(Load);
  Replay<ReferenceQueue> Reference(Load);
  auto Actual = Tested.run();
  auto Expected = Reference.run();
  auto [At, Other] = std::mismatch(Actual.begin(), Actual.end(),
                                   Expected.begin(), Expected.end());
  BOOST_TEST_CONTEXT("seed "
                     << Load.Seed << ", " << Load.Customers << " customers, "
                     << Load.Pools << " pools, first difference at event "
                     << At - Actual.begin() << " of " << Expected.size())
  BOOST_TEST((Actual == Expected));
  return Tested.mostQueued();
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestQueueTests)

// The queue keeps its order and its sums up to date instead of computing them
// in each call: an error in that would serve requests in another order, or
// predict other waits, than their definition says.
BOOST_AUTO_TEST_CASE(orderAndPredictionsEqualThoseOfAPlainQueue) {
  std::size_t MostQueued = 0;
  for (unsigned Seed = 1; Seed <= 10; ++Seed)
    for (unsigned Customers : {0U, 1U, 5U, 50U})
      MostQueued = std::max(
          MostQueued, compare({Seed, Customers, 1 + Seed % 3, 200, 4, 4}));
  BOOST_TEST_MESSAGE("at most " << MostQueued << " requests queued");
}

// The same for a backlog that grows to more than a thousand requests.
BOOST_AUTO_TEST_CASE(orderAndPredictionsOfALongQueueEqualThoseOfAPlainQueue) {
  for (unsigned Customers : {0U, 5U, 200U})
    BOOST_TEST(compare({99 + Customers, Customers, 2, 60, 40, 60}) > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
