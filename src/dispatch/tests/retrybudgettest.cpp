#include <boost/test/unit_test.hpp>

#include "dispatch/tests/retryfleet.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

/// A fleet of 13 hosts in three regions that has long been running.
struct SettledFleet : testing::RetryFleet {
  SettledFleet() {
    for (int I = 0; I < 13; ++I)
      addHost(I < 7 ? "gaucho" : I < 11 ? "paulista" : "platense");
    runFor(40s, false);
  }

  /// Kills all hosts but the last, at once.
  void killNearlyAll() {
    for (std::size_t I = 0; I + 1 < size(); ++I)
      restart(I);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RetryBudgetOfFleetTests, SettledFleet)

// BUDGET: each new process spends the slack that its predecessor has spent.
BOOST_AUTO_TEST_CASE(restartedHostsDoNotSpendTheirSlackAgain) {
  for (int Kill = 0; Kill < 7; ++Kill) {
    runFor(1300ms);
    killNearlyAll();
  }
  runFor(30s);
  BOOST_TEST(largestExcess() <= 0);
}

// BUDGET: behind a cut, new processes hear of the hosts of their region only.
BOOST_AUTO_TEST_CASE(hostsRestartedBehindACutDoNotTakeTheSlackOfOthers) {
  cutRegions();
  killNearlyAll();
  runFor(60s, false);
  runFor(40s);
  BOOST_TEST(largestExcess() <= 0);
}

// BUDGET: each new process hears of nobody.
BOOST_AUTO_TEST_CASE(hostThatHearsOfNobodyDoesNotTakeTheWholeSlack) {
  cutRegions(true);
  killNearlyAll();
  runFor(40s);
  BOOST_TEST(largestExcess() <= 0);
}

// BUDGET: the regions have been cut from each other for longer than hosts are
// remembered.
BOOST_AUTO_TEST_CASE(longCutDoesNotRaiseTheShares) {
  cutRegions();
  runFor(150s, false);
  runFor(20s);
  BOOST_TEST(largestExcess() <= 0);
}

// BUDGET: hosts are added while the others spend all that they may.
BOOST_AUTO_TEST_CASE(addedHostsDoNotRaiseTheLimit) {
  runFor(10s);
  for (int I = 0; I < 6; ++I)
    addHost("gaucho");
  runFor(40s);
  BOOST_TEST(largestExcess() <= 0);
}

// Once the hosts know each other again, all of the slack may be used.
BOOST_AUTO_TEST_CASE(slackIsAvailableAgainAfterRestartsAndCuts) {
  std::size_t Before = extraSends();
  runFor(10s);
  std::size_t Usual = extraSends() - Before;
  runFor(20s, false);
  cutRegions();
  killNearlyAll();
  runFor(20s, false);
  healCuts();
  runFor(40s, false);
  Before = extraSends();
  runFor(10s);
  BOOST_TEST(extraSends() - Before == Usual);
  BOOST_TEST(largestExcess() <= 0);
}

BOOST_AUTO_TEST_SUITE_END()
