#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <numeric>

#include "dispatch/fairnesstracker.h"
#include "dispatch/fairshare.h"
#include "dispatch/tests/dispatchfixture.h"
#include "dispatch/tests/loadreplay.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using testing::DispatchFixture;
using testing::LoadReplay;
using testing::ReplayKind;

namespace {

constexpr unsigned Placers = 30;
/// Two endpoints of eight slots at 60 ms.
constexpr double CapacityPerPlacer = 2 * 8 / 0.06;
/// Completions count from when the queues have filled to when the load ends.
constexpr Duration Fill = 1s;
constexpr Duration Span = 4s;

const ShareScope Scope{PoolName("plain"), 1};
const CustomerId A("a");
const CustomerId B("b");

/// Requests of customers, as a multiple of the capacity. The first Heavy
/// customers send HeavyFactor times as much as each of the others.
struct CustomerLoad {
  unsigned Customers = 16;
  double Load = 1;
  unsigned Heavy = 0;
  double HeavyFactor = 1;
  unsigned Rank = 1;
  std::string Prefix = "c";
};

ReplayKind kindOf(const CustomerLoad &Of) {
  ReplayKind Kind;
  Kind.Name = Of.Prefix;
  Kind.Route = DispatchFixture::route(RepeatKind::AtMostOnce, Of.Rank);
  Kind.Route.LatencyTarget = 500ms;
  Kind.Route.EventGapTarget = 0ms;
  Kind.Route.Timeout = 2s;
  Kind.Deadline = 2s;
  Kind.Rate = Of.Load * CapacityPerPlacer;
  Kind.Customer = [Of](std::uint64_t Random) {
    double HeavySum = Of.Heavy * Of.HeavyFactor;
    double At = static_cast<double>(Random % 1000000) / 1e6 *
                (HeavySum + Of.Customers - Of.Heavy);
    double Index =
        At < HeavySum ? At / Of.HeavyFactor : At - HeavySum + Of.Heavy;
    return CustomerId(Of.Prefix + std::to_string(static_cast<unsigned>(Index)));
  };
  return Kind;
}

struct CustomerResult {
  double Sent = 0;
  double Served = 0;
  double OnTime = 0;
  /// Completed while the load lasted, as a share of the capacity.
  double Share = 0;

  void add(const CustomerResult &Other) {
    Sent += Other.Sent;
    Served += Other.Served;
    OnTime += Other.OnTime;
    Share += Other.Share;
  }
};
using Results = std::map<CustomerId, CustomerResult>;

/// One request as a share of what all placers serve in the counted time.
const double PartOfCapacity =
    1 / (Placers * CapacityPerPlacer *
         std::chrono::duration<double>(Span - Fill).count());

/// Results of each customer over all placers, each of which gets this load.
Results replay(const std::vector<CustomerLoad> &Loads) {
  std::vector<ReplayKind> Kinds;
  Kinds.reserve(Loads.size());
  for (const CustomerLoad &Load : Loads)
    Kinds.push_back(kindOf(Load));
  Results Sum;
  for (unsigned I = 0; I < Placers; ++I) {
    LoadReplay Replay({0, 60ms, 2, 8}, I + 1);
    Replay.run(Kinds, 1, Span);
    Replay.settle();
    auto Requests = Replay.requests();
    TimePoint Begin = Requests.front().Arrived;
    for (const auto &R : Requests) {
      bool Counts = R.Served && R.Arrived + *R.Served > Begin + Fill &&
                    R.Arrived + *R.Served <= Begin + Span;
      Sum[R.Customer].add({1, R.Served ? 1.0 : 0.0, R.onTime() ? 1.0 : 0.0,
                           Counts ? PartOfCapacity : 0.0});
    }
  }
  return Sum;
}

CustomerResult sumOf(const Results &All, auto &&Which) {
  CustomerResult Sum;
  for (const auto &[Customer, Result] : All)
    if (Which(Customer))
      Sum.add(Result);
  return Sum;
}

bool isFirst(const CustomerId &Customer) { return Customer.str() == "c0"; }

} // namespace

BOOST_AUTO_TEST_SUITE(FairShareTests)

// A customer that used idle capacity must not owe for it later.
BOOST_AUTO_TEST_CASE(useOfIdleCapacityLeavesNoDebt) {
  FairShare Shares;
  for (int I = 0; I < 100; ++I)
    Shares.charge(Scope, A, 10ms, TimePoint(1s));
  BOOST_TEST((Shares.position(Scope, A) - Shares.position(Scope, B) == 10ms));
}

// A customer that waits keeps its position while others are served.
BOOST_AUTO_TEST_CASE(waitingCustomerKeepsItsPosition) {
  FairShare Shares;
  Shares.beginWait(Scope, A, TimePoint(1s));
  for (int I = 0; I < 3; ++I)
    Shares.charge(Scope, B, 10ms, TimePoint(1s));
  BOOST_TEST((Shares.position(Scope, A) == 0ms));
  BOOST_TEST(Shares.hasWaitAhead(Scope, B));
  BOOST_TEST(Shares.hasWaitAhead(Scope, A));
  Shares.endWait(Scope, A);
  BOOST_TEST((Shares.position(Scope, A) == 20ms));
}

// State must not grow with the customers that were ever seen, and requests
// without customers must not create any.
BOOST_AUTO_TEST_CASE(customersAreForgottenAfterAMinute) {
  FairShare Shares;
  Shares.charge(Scope, {}, 10ms, TimePoint(1s));
  BOOST_TEST(!Shares.isActive());
  Shares.charge(Scope, A, 10ms, TimePoint(1s));
  Shares.charge(Scope, {}, 10ms, TimePoint(50s));
  Shares.expire(TimePoint(60s));
  BOOST_TEST(Shares.size() == 2U);
  Shares.expire(TimePoint(62s));
  BOOST_TEST(!Shares.isActive());
}

// The prediction of a customer with few requests must not contain the queue of
// one with many, and the queue must serve in the order that was predicted.
BOOST_AUTO_TEST_CASE(queueAndPredictionShareOneOrder) {
  RequestQueue Queue;
  std::vector<std::string> Order;
  auto Add = [&](const CustomerId &Customer, TimePoint Arrived) {
    Queue.add({Scope.Pool, Scope.Rank, Arrived, Arrived + 5s, Arrived + 9s,
               10ms, false,
               [&Order, Customer] {
                 Order.push_back(Customer.str());
                 return true;
               },
               Customer});
  };
  for (int I = 0; I < 20; ++I)
    Add(A, TimePoint(1s));
  auto Ahead = [&](const CustomerId &Customer) {
    return Queue.serviceTimeAhead(Scope.Pool, Scope.Rank, TimePoint(2s),
                                  TimePoint(2s), Customer);
  };
  BOOST_TEST((Ahead(A).OnTime == 200ms));
  BOOST_TEST((Ahead(B).OnTime == 10ms));
  BOOST_TEST((Ahead(B).Late == 190ms));
  Add(B, TimePoint(2s));
  BOOST_TEST((Ahead(B).OnTime == 30ms));
  Queue.offer(TimePoint(2s));
  BOOST_TEST((std::find(Order.begin(), Order.end(), "b") - Order.begin()) == 1);
}

// A rank is compared only with the ranks of its customer's priority; a customer
// with less than a quarter of the others' service is underserved.
BOOST_AUTO_TEST_CASE(ranksAreComparedWithinTheCustomersPriority) {
  testing::VirtualTime Time(1);
  FairnessTracker Fairness(Time.runtime());
  for (int I = 0; I < 20; ++I) {
    Fairness.recordDecision({Scope.Pool, 0, false}, true);
    Fairness.recordDecision({Scope.Pool, 16, false}, I < 5);
    Fairness.recordDecision({Scope.Pool, 17, false}, I < 4);
    Fairness.recordCustomer(Scope.Pool, A, true);
    Fairness.recordCustomer(Scope.Pool, B, I < 3);
  }
  BOOST_TEST(Fairness.isRankUnderserved({Scope.Pool, 17, false}));
  BOOST_TEST(!Fairness.isRankUnderserved({Scope.Pool, 17, false}, 16));
  BOOST_TEST(Fairness.isCustomerUnderserved(Scope.Pool, B));
  BOOST_TEST(!Fairness.isCustomerUnderserved(Scope.Pool, A));
}

// The wait told to other regions must contain the queue of less urgent
// customers.
BOOST_AUTO_TEST_CASE(outlookCountsLessUrgentCustomers) {
  DispatchFixture Host;
  FleetTables Tables = *Host.View.tables();
  Tables.Version = 2;
  Tables.Customers = std::make_shared<CustomerTable>(std::vector<Customer>(1));
  Host.View.adoptTables(Tables);
  Host.addEndpoint("e1", "plain");
  TimePoint Now = Host.Time.now();
  Host.Decisions.queue().add({Scope.Pool, 2 * 16 + 1, Now, Now + 5s, Now + 9s,
                              10ms, false, [] { return false; }, B});
  for (const PoolLoadSummary &Pool : Host.Decisions.outlook())
    if (Pool.Pool == poolHash(Scope.Pool))
      BOOST_TEST((Pool.Wait >= 5ms));
}

// One customer sends 7.5 times its usual load: the others must be served as
// before, and idle capacity must be used.
BOOST_AUTO_TEST_CASE(excessOfOneCustomerTakesOnlyWhatIsIdle) {
  for (unsigned Customers : {16U, 1000U}) {
    double Usual = Customers == 16 ? 1 : 100;
    double Each = 0.9 / (Customers - 1 + Usual);
    double Sent = Each * (Customers - 1 + 7.5 * Usual);
    auto All = replay({{Customers, Sent, 1, 7.5 * Usual}});
    auto Others = sumOf(All, [](const auto &C) { return !isFirst(C); });
    auto Excess = sumOf(All, isFirst);
    BOOST_TEST_MESSAGE(Customers
                       << " customers, load " << Sent << ": others served "
                       << Others.Served / Others.Sent << ", on time "
                       << Others.OnTime / Others.Sent << "; excess served "
                       << Excess.Served / Excess.Sent << "; used "
                       << Others.Share + Excess.Share);
    BOOST_TEST(Others.Served > 0.99 * Others.Sent);
    BOOST_TEST(Others.OnTime > 0.99 * Others.Sent);
    BOOST_TEST(Others.Share + Excess.Share > 0.97);
  }
}

// 2.5 times the capacity, where half of sixteen customers send twice as much as
// the others and all send more than an equal share: what they are served must
// not grow with what they send, and many small customers besides must be served
// all that they send.
BOOST_AUTO_TEST_CASE(equalCustomersGetEqualShares) {
  for (unsigned Small : {0U, 984U}) {
    double SmallLoad = Small > 0 ? 0.3 : 0;
    auto All = replay({{16, 2.5 - SmallLoad, 8, 2, 1, "c"},
                       {Small, SmallLoad, 0, 1, 1, "small"}});
    std::vector<double> Shares;
    for (unsigned I = 0; I < 16; ++I)
      Shares.push_back(All.at(CustomerId("c" + std::to_string(I))).Share);
    auto [Least, Most] = std::minmax_element(Shares.begin(), Shares.end());
    double Heavy = std::accumulate(Shares.begin(), Shares.begin() + 8, 0.0);
    double Light = std::accumulate(Shares.begin() + 8, Shares.end(), 0.0);
    auto Rest = sumOf(All, [](const auto &C) { return C.str()[0] == 's'; });
    BOOST_TEST_MESSAGE(16 + Small << " customers: heavy half " << Heavy
                                  << " of the capacity, light half " << Light
                                  << ", least " << *Least << ", most " << *Most
                                  << "; small served " << Rest.Served << " of "
                                  << Rest.Sent);
    BOOST_TEST(*Least > 0.85 * *Most);
    BOOST_TEST(Light > 0.95 * Heavy);
    BOOST_TEST(Heavy + Light + Rest.Share > 0.97);
    BOOST_TEST(Rest.Served >= 0.99 * Rest.Sent);
  }
}

// Customers that send the same are served the same, also when there are too
// many for each to have requests waiting at each placer.
BOOST_AUTO_TEST_CASE(thousandEqualCustomersAreServedAlike) {
  auto All = replay({{1000, 2.5}});
  auto [Least, Most] = std::minmax_element(
      All.begin(), All.end(), [](const auto &X, const auto &Y) {
        return X.second.Served < Y.second.Served;
      });
  auto Total = sumOf(All, [](const auto &) { return true; });
  BOOST_TEST_MESSAGE("least " << Least->second.Served << ", most "
                              << Most->second.Served << ", mean "
                              << Total.Served / 1000);
  BOOST_TEST(Least->second.Served > 0.4 * Total.Served / 1000);
  BOOST_TEST(Most->second.Served < 1.8 * Total.Served / 1000);
}

// More urgent customers alone exceed the capacity: one with a low priority must
// be served at least a quarter as often as all.
BOOST_AUTO_TEST_CASE(lowPriorityIsServedAQuarterAsOften) {
  for (unsigned Customers : {16U, 1000U}) {
    auto All = replay({{Customers - 1, 2.4, 0, 1, 1, "c"},
                       {1, 0.1, 0, 1, 2 * 16 + 1, "low"}});
    auto Total = sumOf(All, [](const auto &) { return true; });
    const CustomerResult &Low = All.at(CustomerId("low0"));
    double Share = Low.Served / Low.Sent;
    double OfAll = Total.Served / Total.Sent;
    BOOST_TEST_MESSAGE(Customers << " customers: low priority served " << Share
                                 << ", all " << OfAll);
    BOOST_TEST(Share > 0.25 * OfAll);
  }
}

// A customer with a low priority that sends more than the capacity is served
// seldom because of what it sends: this must not cost the more urgent ones.
BOOST_AUTO_TEST_CASE(excessOfALowPriorityCustomerCostsOthersNothing) {
  auto All = replay({{15, 0.9, 0, 1, 1, "c"}, {1, 1.5, 0, 1, 16 + 1, "low"}});
  auto Urgent = sumOf(All, [](const auto &C) { return C.str()[0] == 'c'; });
  const CustomerResult &Low = All.at(CustomerId("low0"));
  BOOST_TEST_MESSAGE("urgent served " << Urgent.Served / Urgent.Sent
                                      << ", low priority "
                                      << Low.Served / Low.Sent);
  BOOST_TEST(Urgent.Served > 0.99 * Urgent.Sent);
}

BOOST_AUTO_TEST_SUITE_END()
