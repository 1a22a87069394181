#include <boost/test/unit_test.hpp>

#include "routingfixture.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

struct AwayFixture : celerybeam::testing::RoutingFixture {
  AwayFixture() {
    Route.MayLeaveRegion = true;
    publish();
    addEndpoint("m1");
    addEndpoint("m2");
    addRemote("h1", {100, 10, 0ms});
  }

  void loadLocally() {
    setLoad("m1", Slots, 4 * Slots);
    setLoad("m2", Slots, 4 * Slots);
    letViewsExpire();
  }

  RouteQuery awayQuery() {
    RouteQuery Q = query();
    Q.MayLeaveRegion = true;
    Q.WireBytes = 1000;
    return Q;
  }

  /// How many of the requests leave the region.
  unsigned away(unsigned Requests, Duration Apart = 10ms) {
    unsigned Count = 0;
    for (unsigned I = 0; I < Requests; ++I) {
      Result<RouteChoice> Choice = Routes.choose(awayQuery());
      Count += Choice && std::holds_alternative<SendAway>(*Choice);
      Time.runFor(Apart);
    }
    return Count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SendAwayTests, AwayFixture)

BOOST_AUTO_TEST_CASE(staysWhileItIsFastHere) { BOOST_TEST(away(100) == 0U); }

BOOST_AUTO_TEST_CASE(theShareSentAwayIsCapped) {
  loadLocally();
  unsigned Count = away(200);
  BOOST_TEST(Count >= 30U);
  BOOST_TEST(Count <= 44U);
}

BOOST_AUTO_TEST_CASE(aRouteThatMayNotLeaveStays) {
  Route.MayLeaveRegion = false;
  publish();
  loadLocally();
  BOOST_TEST(away(100) == 0U);
}

BOOST_AUTO_TEST_CASE(aForwardedRequestStays) {
  loadLocally();
  RouteQuery Q = awayQuery();
  Q.MayLeaveRegion = false;
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(!chosen(Q).empty());
}

BOOST_AUTO_TEST_CASE(aLoadedRegionTakesNoGuests) {
  addRemote("h1", {100, 90, 0ms});
  loadLocally();
  BOOST_TEST(away(100) == 0U);
}

BOOST_AUTO_TEST_CASE(deadHostsAreNotUsed) {
  Board.peers().update(HostId("h1"),
                       [](PeerRecord &P) { P.State = PeerState::Dead; });
  loadLocally();
  BOOST_TEST(away(100) == 0U);
}

BOOST_AUTO_TEST_CASE(theLinksBytesAreCapped) {
  loadLocally();
  // The link's part is 8.75 MB a second, and a quarter of a second at once.
  Routes.sentAway(RegionId("huye"), 100'000'000);
  BOOST_TEST(away(200) == 0U);
  Time.runFor(20s);
  // The region has gone on telling its load.
  addRemote("h1", {100, 10, 0ms});
  BOOST_TEST(away(50) > 0U);
}

BOOST_AUTO_TEST_CASE(aRegionThatFellSilentGetsNothing) {
  loadLocally();
  Time.runFor(30s);
  BOOST_TEST(away(100) == 0U);
}

BOOST_AUTO_TEST_CASE(aRegionThatDidNotAnswerIsHeldOff) {
  loadLocally();
  away(100);
  Routes.awayFailed(RegionId("huye"));
  BOOST_TEST(away(100) == 0U);
}

BOOST_AUTO_TEST_CASE(aBriefStallDoesNotMoveTraffic) {
  away(100);
  loadLocally();
  BOOST_TEST(away(1) == 0U);
}

BOOST_AUTO_TEST_CASE(theWaitForAdmissionCounts) {
  RouteQuery Q = awayQuery();
  unsigned Away = 0;
  for (int I = 0; I < 100; ++I) {
    Away += Routes.chooseAway(Q).has_value();
    Time.runFor(10ms);
  }
  BOOST_TEST(Away == 0U);
  Q.QueueWait = 3s;
  for (int I = 0; I < 100; ++I) {
    Away += Routes.chooseAway(Q).has_value();
    Time.runFor(10ms);
  }
  BOOST_TEST(Away >= 10U);
  BOOST_TEST(Away <= 24U);
}

BOOST_AUTO_TEST_CASE(aRequestKeptHereIsNotWeighedAgain) {
  loadLocally();
  RouteQuery Q = awayQuery();
  Q.AwayConsidered = true;
  for (int I = 0; I < 100; ++I) {
    BOOST_TEST(!chosen(Q).empty());
    Time.runFor(10ms);
  }
}

BOOST_AUTO_TEST_CASE(withoutAnEndpointHereAllMayLeave) {
  Board.removeEndpoint(EndpointId("m1"));
  Board.removeEndpoint(EndpointId("m2"));
  letViewsExpire();
  BOOST_TEST(away(50) == 50U);
}

BOOST_AUTO_TEST_SUITE_END()
