#include <boost/test/unit_test.hpp>

#include <vector>

#include "fleet/recencycheck.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  testing::VirtualTime Time{1};
  std::vector<RecencyCheck::Episode> Asked;
  std::vector<RecencyChange::Kind> Changes;
  std::optional<TimePoint> BehindSince;
  bool Offered = false;
  RecencyCheck Check{
      Time.runtime(),
      {[this](RecencyCheck::Episode E, unsigned) { Asked.push_back(E); },
       [this](const RecencyChange &C) { Changes.push_back(C.What); },
       [this] { return BehindSince; }, [this] { return Offered; }}};

  /// Lets time pass with ticks, as a loop does that does not stand still.
  void runFor(Duration D) {
    for (Duration Passed{}; Passed < D; Passed += 50ms) {
      Time.runFor(50ms);
      Check.tick();
    }
  }

  void confirmStart() {
    Check.tick();
    BOOST_REQUIRE(!Asked.empty());
    Check.confirm(Asked.back());
    BOOST_REQUIRE(Check.isConfirmed());
    Asked.clear();
    Changes.clear();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RecencyCheckTests, Fixture)

BOOST_AUTO_TEST_CASE(hostThatStartedWaitsForAConfirmation) {
  BOOST_TEST(!Check.mayAct());
  BOOST_REQUIRE(Asked.size() == 1U);
  Check.confirm(Asked[0]);
  BOOST_TEST(Check.mayAct());
  BOOST_TEST(Check.isConfirmed());
}

// HOME, TWICE: requests that a host finds when it wakes must not be handled
// before it has asked what has changed.
BOOST_AUTO_TEST_CASE(firstCallAfterAStandstillNoticesIt) {
  confirmStart();
  Time.runFor(RecencyCheck::MaxGap + 1ms);
  BOOST_TEST(!Check.mayAct());
  BOOST_TEST(Asked.size() == 1U);
  BOOST_TEST(Changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(timerAfterAStandstillNoticesItToo) {
  confirmStart();
  Time.runFor(RecencyCheck::MaxGap + 1ms);
  Check.tick();
  BOOST_TEST(!Check.mayAct());
}

// A response that came before the standstill, or during it, tells nothing.
BOOST_AUTO_TEST_CASE(confirmationFromBeforeAStandstillDoesNotCount) {
  Check.tick();
  BOOST_REQUIRE(Asked.size() == 1U);
  Time.runFor(RecencyCheck::MaxGap + 1ms);
  Check.confirm(Asked[0]);
  BOOST_TEST(!Check.mayAct());
  Check.confirm(Asked[0]);
  BOOST_TEST(!Check.isConfirmed());
  BOOST_REQUIRE(Asked.size() == 2U);
  Check.confirm(Asked[1]);
  BOOST_TEST(Check.mayAct());
}

// A partitioned host has to go on serving, but nothing is run twice.
BOOST_AUTO_TEST_CASE(hostThatNobodyConfirmsGoesOnAfterAShortWait) {
  confirmStart();
  Time.runFor(7s);
  BOOST_TEST(!Check.mayAct());
  runFor(RecencyCheck::MaxWait);
  BOOST_TEST(Check.mayAct());
  BOOST_TEST(!Check.isConfirmed());
  runFor(RecencyCheck::MaxDoubt);
  BOOST_TEST(Check.isConfirmed());
  auto Before = Asked.size();
  runFor(10s);
  BOOST_TEST(Asked.size() == Before);
}

BOOST_AUTO_TEST_CASE(confirmationIsAskedForUntilItComes) {
  runFor(RecencyCheck::MaxWait);
  BOOST_TEST(Asked.size() >= 4U);
  BOOST_TEST((Asked.front() == Asked.back()));
  Check.confirm(Asked.back());
  auto Before = Asked.size();
  runFor(10s);
  BOOST_TEST(Asked.size() == Before);
}

// Guards against a steady load by all hosts of a region that nobody confirms.
BOOST_AUTO_TEST_CASE(askingSlowsDown) {
  runFor(RecencyCheck::MaxDoubt);
  BOOST_TEST(Asked.size() >= 10U);
  BOOST_TEST(Asked.size() <= 14U);
}

// A watch that was waiting during the standstill may have been answered in the
// middle of it.
BOOST_AUTO_TEST_CASE(onlyAReadOfTheStoreThatBeganAfterwardsConfirms) {
  confirmStart();
  TimePoint Before = Time.runtime().Now();
  Time.runFor(RecencyCheck::MaxGap + 1ms);
  Check.confirmByRead(Time.runtime().Now());
  BOOST_TEST(!Check.mayAct());
  Check.confirmByRead(Before);
  BOOST_TEST(!Check.mayAct());
  TimePoint After = Time.runtime().Now();
  runFor(200ms);
  Check.confirmByRead(After);
  BOOST_TEST(Check.isConfirmed());
}

BOOST_AUTO_TEST_CASE(loopThatRunsIsNeverInDoubt) {
  confirmStart();
  runFor(60s);
  BOOST_TEST(Changes.empty());
  Time.runFor(RecencyCheck::MaxGap);
  BOOST_TEST(Check.mayAct());
  BOOST_TEST(Check.isConfirmed());
}

// TWICE: a host that knew of newer tables and did not get them repeated
// requests as if its own were confirmed.
BOOST_AUTO_TEST_CASE(tablesThatLackKnownChangesAreNotConfirmed) {
  confirmStart();
  BehindSince = Time.runtime().Now();
  runFor(RecencyCheck::MaxLag);
  BOOST_TEST(Check.isConfirmed());
  runFor(RecencyCheck::MaxDoubt + 10s);
  BOOST_TEST(!Check.isConfirmed());
  // It may be cut off, and goes on with what needs no newer tables.
  BOOST_TEST(Check.mayAct());
  BehindSince.reset();
  BOOST_TEST(Check.isConfirmed());
  using Kind = RecencyChange::Kind;
  BOOST_TEST((Changes == std::vector{Kind::Behind, Kind::CaughtUp}));
}

// The end of the doubt after a start is no confirmation either.
BOOST_AUTO_TEST_CASE(unconfirmedTablesThatLackChangesStayInDoubt) {
  BehindSince = Time.runtime().Now();
  runFor(RecencyCheck::MaxDoubt + 1s);
  BOOST_TEST(Check.mayAct());
  BOOST_TEST(!Check.isConfirmed());
}

// HOME (issue 61): a host ran requests by tables of which it had known for ten
// seconds that they were outdated.
BOOST_AUTO_TEST_CASE(tablesThatLackOfferedChangesForLongAreOutdated) {
  confirmStart();
  Offered = true;
  BehindSince = Time.runtime().Now();
  runFor(RecencyCheck::MaxOutdated);
  BOOST_TEST(!Check.isOutdated());
  runFor(50ms);
  BOOST_TEST(Check.isOutdated());
  // Cut off from the hosts that have them, it goes on.
  Offered = false;
  BOOST_TEST(!Check.isOutdated());
  Offered = true;
  BOOST_TEST(Check.isOutdated());
  BehindSince.reset();
  BOOST_TEST(!Check.isOutdated());
  using Kind = RecencyChange::Kind;
  BOOST_TEST((Changes == std::vector{Kind::Behind, Kind::Outdated, Kind::Behind,
                                     Kind::Outdated, Kind::CaughtUp}));
}

BOOST_AUTO_TEST_SUITE_END()
