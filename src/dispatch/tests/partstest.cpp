#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "dispatch/coldallowance.h"
#include "dispatch/crashedrequests.h"
#include "dispatch/endpointhealth.h"
#include "dispatch/executionknowledge.h"
#include "dispatch/holdqueue.h"
#include "dispatch/longlane.h"
#include "dispatch/prefixbook.h"
#include "dispatch/readingduty.h"
#include "dispatch/regionoutlook.h"
#include "dispatch/sharedretrybudget.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

const PoolName Pool("plain");

} // namespace

BOOST_AUTO_TEST_SUITE(DispatchPartsTests)

BOOST_AUTO_TEST_CASE(onlyProvenRequestsAreSaidNotToHaveRun) {
  using enum ExecutionKnowledge;
  BOOST_TEST(failureStatus(NotSent, false) == 503U);
  BOOST_TEST(failureStatus(RefusedByEndpoint, true) == 503U);
  BOOST_TEST(failureStatus(Unknown, false) == 502U);
  BOOST_TEST(failureStatus(Unknown, true) == 504U);
  BOOST_TEST(failureStatus(Ran, false) == 502U);
  BOOST_TEST((combine(Unknown, RefusedByEndpoint) == Unknown));
}

// All hosts retry at once: their shares add up to the bound.
BOOST_AUTO_TEST_CASE(retriesOfAllHostsStayWithinTheBound) {
  testing::VirtualTime Time(1);
  constexpr std::size_t Hosts = 15;
  unsigned Taken = 0;
  for (std::size_t H = 0; H < Hosts; ++H) {
    SharedRetryBudget Budget(Time.runtime(), {0.2, 10s, 116});
    for (int I = 0; I < 100; ++I)
      Budget.request(Pool);
    while (Budget.take(Pool, Hosts))
      ++Taken;
  }
  BOOST_TEST(Taken <= 0.2 * 1500 + 116);
  BOOST_TEST(Taken > 300U);
}

BOOST_AUTO_TEST_CASE(retryBudgetRefillsWithTime) {
  testing::VirtualTime Time(1);
  SharedRetryBudget Budget(Time.runtime(), {0.2, 10s, 10});
  while (Budget.take(Pool, 1))
    ;
  Time.runFor(11s);
  BOOST_TEST(Budget.take(Pool, 1));
}

// Cold endpoints return while work is waiting for them, and the host that
// places there changes twice within a second.
BOOST_AUTO_TEST_CASE(coldEndpointGetsNoMoreThanItBears) {
  testing::VirtualTime Time(1);
  constexpr double PerSecond = 2;
  const EndpointKey Endpoint{42};
  std::vector<ColdAllowance> Placers(3, ColdAllowance(Time.runtime()));
  std::vector<TimePoint> Sent;
  for (int Step = 0; Step < 600; ++Step) {
    std::size_t Owner = Step < 200 ? 0 : Step < 240 ? 1 : 2;
    if (Placers[Owner].take(Endpoint, PerSecond))
      Sent.push_back(Time.now());
    Time.runFor(10ms);
  }
  BOOST_TEST(Sent.size() >= 8U);
  for (std::size_t I = 0; I < Sent.size(); ++I) {
    auto Within = std::count_if(Sent.begin(), Sent.end(), [&](TimePoint T) {
      return T >= Sent[I] && T - Sent[I] < 1s;
    });
    BOOST_TEST(Within <= 6); // 2 a second * 1.5 + 3
  }
}

// Hosts that disagree for a moment place at the same cold endpoint.
BOOST_AUTO_TEST_CASE(twoPlacersOfAColdEndpointStayWithinItsBound) {
  testing::VirtualTime Time(1);
  const EndpointKey Endpoint{42};
  std::vector<ColdAllowance> Placers(2, ColdAllowance(Time.runtime()));
  std::vector<TimePoint> Sent;
  for (int Step = 0; Step < 600; ++Step) {
    for (ColdAllowance &Placer : Placers)
      if (Placer.take(Endpoint, 2))
        Sent.push_back(Time.now());
    Time.runFor(10ms);
  }
  for (std::size_t I = 0; I < Sent.size(); ++I) {
    auto Within = std::count_if(Sent.begin(), Sent.end(), [&](TimePoint T) {
      return T >= Sent[I] && T - Sent[I] < 1s;
    });
    BOOST_TEST(Within <= 6);
  }
}

// An endpoint whose health check passes while it answers nothing: it is tried
// less and less often, and at once again after a calm time.
BOOST_AUTO_TEST_CASE(endpointThatRelapsesIsTriedLessOften) {
  testing::VirtualTime Time(1);
  EndpointHealth Health(Time.runtime());
  const EndpointKey E{42};
  unsigned Tries = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    if (Health.isTrusted(E)) {
      ++Tries;
      Health.ended(E, AttemptOutcome::Broken);
    }
    for (const EndpointKey &Key : Health.dueForCheck())
      Health.checked(Key, true);
    Time.runFor(10ms);
  }
  BOOST_TEST(Tries >= 3U);
  BOOST_TEST(Tries <= 7U);
  Time.runFor(20s);
  for (const EndpointKey &Key : Health.dueForCheck())
    Health.checked(Key, true);
  BOOST_REQUIRE(Health.isTrusted(E));
  Time.runFor(20s);
  Health.ended(E, AttemptOutcome::Broken);
  for (const EndpointKey &Key : Health.dueForCheck())
    Health.checked(Key, true);
  BOOST_TEST(Health.isTrusted(E));
}

// One that loses an answer now and then goes on being used; one that breaks all
// that is in flight there is given up at once.
BOOST_AUTO_TEST_CASE(endpointThatAnswersMostRequestsIsNotGivenUp) {
  testing::VirtualTime Time(1);
  EndpointHealth Health(Time.runtime());
  const EndpointKey E{42};
  unsigned Trusted = 0;
  constexpr unsigned Requests = 3000;
  for (unsigned I = 0; I < Requests; ++I) {
    Trusted += Health.isTrusted(E) ? 1 : 0;
    bool Lost = Time.random() % 100 < 3;
    Health.ended(E, Lost ? AttemptOutcome::Broken : AttemptOutcome::Answered);
    for (const EndpointKey &Key : Health.dueForCheck())
      Health.checked(Key, true);
    Time.runFor(10ms);
  }
  BOOST_TEST(Trusted > Requests * 97 / 100);
  for (unsigned I = 0; I < EndpointHealth::SoundAnswers; ++I)
    Health.ended(E, AttemptOutcome::Answered);
  Health.ended(E, AttemptOutcome::Broken);
  Health.ended(E, AttemptOutcome::Broken);
  BOOST_TEST(!Health.isTrusted(E));
}

BOOST_AUTO_TEST_CASE(endpointWithAGoodCheckIsALastResort) {
  testing::VirtualTime Time(1);
  EndpointHealth Health(Time.runtime());
  const EndpointKey E{42};
  // Relapses until it has time without trust to serve.
  for (int I = 0; I < 2; ++I) {
    Health.ended(E, AttemptOutcome::Broken);
    BOOST_TEST(!Health.isLastResort(E));
    for (const EndpointKey &Key : Health.dueForCheck())
      Health.checked(Key, true);
  }
  BOOST_TEST(!Health.isTrusted(E));
  BOOST_TEST(Health.isLastResort(E));
  // One that fails most requests is none.
  for (int I = 0; I < 5; ++I)
    Health.ended(E, AttemptOutcome::Failed);
  BOOST_TEST(!Health.isLastResort(E));
}

// One whose health check fails while it would serve: one request now and then
// finds out.
BOOST_AUTO_TEST_CASE(endpointThatFailsItsChecksGetsATrial) {
  testing::VirtualTime Time(1);
  EndpointHealth Health(Time.runtime());
  const EndpointKey E{42};
  Health.ended(E, AttemptOutcome::Broken);
  BOOST_TEST(!Health.mayTry(E));
  Time.runFor(EndpointHealth::TrialAfter);
  Health.checked(E, false);
  BOOST_TEST(!Health.isTrusted(E));
  BOOST_TEST(Health.mayTry(E));
  Health.tried(E);
  BOOST_TEST(!Health.mayTry(E));
  Health.ended(E, AttemptOutcome::Answered);
  BOOST_TEST(Health.isTrusted(E));
}

// A report reaches a host over several others.
BOOST_AUTO_TEST_CASE(crashCountsOnceHoweverOftenItIsTold) {
  testing::VirtualTime Time(1);
  CrashedRequests Here(Time.runtime());
  CrashedRequests There(Time.runtime());
  Here.crashed(7);
  auto Reports = Here.takeReports();
  BOOST_REQUIRE(Reports.size() == 1U);
  for (int I = 0; I < 5; ++I)
    There.peerSaw(Reports[0]);
  BOOST_TEST(!There.isRefused(7));
  BOOST_TEST(There.takeReports().size() == 1U);
  There.crashed(7);
  There.crashed(7);
  BOOST_TEST(There.isRefused(7));
}

BOOST_AUTO_TEST_CASE(longPromptsAvoidStreams) {
  LongLane Lane;
  FleetEndpoint E;
  std::vector<const FleetEndpoint *> Region = {&E};
  BOOST_TEST((Lane.score(E, Region, 900ms, 600ms, 5) == 600ms));
  BOOST_TEST((Lane.score(E, Region, 900ms, 600ms, 0) == 0ms));
  BOOST_TEST(Lane.disturbance(100ms, 600ms) == 0);
  BOOST_TEST(Lane.disturbance(900ms, 0ms) == 0);
}

// Sustained overload: an engine that always reads starves its streams.
BOOST_AUTO_TEST_CASE(readingDutyFollowsTheLastSeconds) {
  ReadingDuty Duty;
  TimePoint Now(100s);
  Duty.set(false, Now);
  for (int I = 0; I < 100; ++I) {
    Duty.set(true, Now);
    Now += 75ms;
    Duty.set(false, Now);
    Now += 25ms;
  }
  BOOST_TEST(Duty.share(Now) > 0.65);
  BOOST_TEST(Duty.share(Now) < 0.85);
  BOOST_TEST(Duty.share(Now + 10s) < 0.01);
}

BOOST_AUTO_TEST_CASE(readTokensEvictOldBeginnings) {
  PrefixBook Book;
  const EndpointKey E{1};
  const std::vector<PrefixLevel> Levels = {{11, 500}, {12, 5500}};
  Book.sent(E, Levels, 5500);
  BOOST_TEST(Book.cachedTokens(E, Levels, 10000) == 5500U);
  Book.sent(E, {{11, 500}, {13, 4000}}, 9000);
  BOOST_TEST(Book.cachedTokens(E, Levels, 10000) == 5500U);
  Book.sent(E, {{11, 500}}, 2000);
  BOOST_TEST(Book.cachedTokens(E, Levels, 10000) == 500U);
  Book.forget(E);
  BOOST_TEST(Book.cachedTokens(E, Levels, 10000) == 0U);
}

BOOST_AUTO_TEST_CASE(urgentAndOldRequestsAreOfferedFirst) {
  HoldQueue Queue;
  std::vector<int> Order;
  auto Add = [&](int Name, unsigned Rank, TimePoint Arrived) {
    auto Id = std::make_shared<HoldId>();
    *Id = Queue.add({Pool, Rank, Arrived, Arrived + 5s, Arrived + 9s, 10ms,
                     false, [&Queue, &Order, Name, Id] {
                       Order.push_back(Name);
                       Queue.remove(*Id);
                       return true;
                     }});
  };
  Add(1, 1, TimePoint(2s));
  Add(2, 1, TimePoint(1s));
  Add(3, 0, TimePoint(3s));
  BOOST_TEST(Queue.hasAhead(Pool, 0));
  BOOST_TEST(
      (Queue.ahead(Pool, 1, TimePoint(3s), TimePoint(3s)).OnTime == 30ms));
  BOOST_TEST(
      (Queue.ahead(Pool, 0, TimePoint(3s), TimePoint(3s)).OnTime == 10ms));
  Queue.offer(TimePoint(3s));
  BOOST_TEST((Order == std::vector<int>{3, 2, 1}));
  BOOST_TEST(Queue.size() == 0U);
}

// A burst that outlasts the target: the first are late, those behind need not
// be.
BOOST_AUTO_TEST_CASE(lateRequestsGoAfterThoseThatCanBeOnTime) {
  HoldQueue Queue;
  std::vector<int> Order;
  auto Add = [&](int Name, TimePoint Arrived) {
    Queue.add({Pool, 1, Arrived, Arrived + 1s, Arrived + 9s, 10ms, false,
               [&Order, Name] {
                 Order.push_back(Name);
                 return false;
               }});
  };
  Add(1, TimePoint(1s));
  Add(2, TimePoint(2s));
  Add(3, TimePoint(3s));
  Queue.offer(TimePoint(2500ms));
  BOOST_TEST((Order == std::vector<int>{2, 3, 1}));
}

// A long queue: those far behind are refused on time, too.
BOOST_AUTO_TEST_CASE(hopelessRequestsAreOfferedWhereverTheyStand) {
  HoldQueue Queue;
  unsigned Offers = 0;
  for (int I = 0; I < 50; ++I)
    Queue.add({Pool, 1, TimePoint(1s), TimePoint(2s), TimePoint(3s), 10ms,
               false, [&] {
                 ++Offers;
                 return false;
               }});
  Queue.offer(TimePoint(2500ms));
  BOOST_TEST(Offers == HoldQueue::OffersPerPool);
  Offers = 0;
  Queue.offer(TimePoint(3500ms));
  BOOST_TEST(Offers == 50U);
}

BOOST_AUTO_TEST_SUITE_END()
