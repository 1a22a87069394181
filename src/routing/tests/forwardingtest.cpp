#include <boost/test/unit_test.hpp>

#include "routingfixture.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

/// A local region with two endpoints and a remote region with free slots.
struct ForwardingFixture : celerybeam::testing::RoutingFixture {
  ForwardingFixture() {
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

  RouteQuery forwardableQuery() {
    RouteQuery Q = query();
    Q.MayLeaveRegion = true;
    Q.WireBytes = 1000;
    return Q;
  }

  /// Returns how many of the requests are forwarded to the other region.
  unsigned countForwarded(unsigned Requests, Duration Apart = 10ms) {
    unsigned Count = 0;
    for (unsigned I = 0; I < Requests; ++I) {
      Result<RouteChoice> Choice = Routes.choose(forwardableQuery());
      Count += Choice && std::holds_alternative<ForwardToRegion>(*Choice);
      Time.runFor(Apart);
    }
    return Count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ForwardingTests, ForwardingFixture)

BOOST_AUTO_TEST_CASE(requestsStayWhileTheRegionIsFast) {
  BOOST_TEST(countForwarded(100) == 0U);
}

BOOST_AUTO_TEST_CASE(forwardedShareIsCapped) {
  loadLocally();
  unsigned Count = countForwarded(200);
  BOOST_TEST(Count >= 30U);
  BOOST_TEST(Count <= 44U);
}

BOOST_AUTO_TEST_CASE(routeThatMayNotLeaveStaysLocal) {
  Route.MayLeaveRegion = false;
  publish();
  loadLocally();
  BOOST_TEST(countForwarded(100) == 0U);
}

BOOST_AUTO_TEST_CASE(forwardedRequestIsNotForwardedAgain) {
  loadLocally();
  RouteQuery Q = forwardableQuery();
  Q.MayLeaveRegion = false;
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(!chosen(Q).empty());
}

BOOST_AUTO_TEST_CASE(loadedRegionReceivesNothing) {
  addRemote("h1", {100, 90, 0ms});
  loadLocally();
  BOOST_TEST(countForwarded(100) == 0U);
}

BOOST_AUTO_TEST_CASE(deadHostsAreNotUsed) {
  Board.peers().update(HostId("h1"),
                       [](PeerRecord &P) { P.State = PeerState::Dead; });
  loadLocally();
  BOOST_TEST(countForwarded(100) == 0U);
}

BOOST_AUTO_TEST_CASE(linkBytesAreCapped) {
  loadLocally();
  // The region may send 8.75 MB/s over the link, with a burst of 0.25 s.
  Routes.recordForwardedBytes(RegionId("huye"), 100'000'000);
  BOOST_TEST(countForwarded(200) == 0U);
  Time.runFor(20s);
  // The remote region has reported its load again.
  addRemote("h1", {100, 10, 0ms});
  BOOST_TEST(countForwarded(50) > 0U);
}

BOOST_AUTO_TEST_CASE(regionWithoutRecentReportsReceivesNothing) {
  loadLocally();
  Time.runFor(30s);
  BOOST_TEST(countForwarded(100) == 0U);
}

BOOST_AUTO_TEST_CASE(nothingIsForwardedAfterAFailure) {
  loadLocally();
  countForwarded(100);
  Routes.forwardFailed(RegionId("huye"));
  BOOST_TEST(countForwarded(100) == 0U);
}

BOOST_AUTO_TEST_CASE(briefStallForwardsNothing) {
  countForwarded(100);
  loadLocally();
  BOOST_TEST(countForwarded(1) == 0U);
}

BOOST_AUTO_TEST_CASE(admissionWaitCounts) {
  RouteQuery Q = forwardableQuery();
  unsigned Forwarded = 0;
  for (int I = 0; I < 100; ++I) {
    Forwarded += Routes.chooseRemoteRegion(Q).has_value();
    Time.runFor(10ms);
  }
  BOOST_TEST(Forwarded == 0U);
  Q.QueueWait = 3s;
  for (int I = 0; I < 100; ++I) {
    Forwarded += Routes.chooseRemoteRegion(Q).has_value();
    Time.runFor(10ms);
  }
  BOOST_TEST(Forwarded >= 10U);
  BOOST_TEST(Forwarded <= 24U);
}

BOOST_AUTO_TEST_CASE(locallyKeptRequestIsNotReconsidered) {
  loadLocally();
  RouteQuery Q = forwardableQuery();
  Q.ForwardingConsidered = true;
  for (int I = 0; I < 100; ++I) {
    BOOST_TEST(!chosen(Q).empty());
    Time.runFor(10ms);
  }
}

BOOST_AUTO_TEST_CASE(allAreForwardedWithoutALocalEndpoint) {
  Board.removeEndpoint(EndpointId("m1"));
  Board.removeEndpoint(EndpointId("m2"));
  letViewsExpire();
  BOOST_TEST(countForwarded(50) == 50U);
}

BOOST_AUTO_TEST_SUITE_END()
