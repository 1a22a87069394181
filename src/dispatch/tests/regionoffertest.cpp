#include <boost/test/unit_test.hpp>

#include <functional>

#include "dispatch/placementclient.h"
#include "dispatch/tests/dispatchfixture.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

const RegionId Musanze("musanze");
const PoolName Plain("plain");

/// A placer whose endpoints are all gone, beside a region of unknown load.
struct OfferFixture : testing::DispatchFixture {
  OfferFixture() { reportNeighbourHost(); }

  /// Places a request every Interval for a span. \param Result  of an offered
  /// request; comes after the round trip.
  void replay(Duration Span, Duration Interval, const PlacementEnd &Result,
              Duration RoundTrip = 200ms) {
    FleetRoute Route = route(RepeatKind::AtMostOnce);
    for (TimePoint End = Time.now() + Span; Time.now() < End;
         Time.runFor(Interval)) {
      reportNeighbourHost();
      AttemptLog Log;
      Client.place(request(0), Route, Log,
                   [&](PlacementId Id, const PlacementAnswer &Answer) {
                     record(Id, Answer, Result, RoundTrip);
                   });
    }
  }

  void record(PlacementId Id, const PlacementAnswer &Answer,
              const PlacementEnd &Result, Duration RoundTrip) {
    const auto *Remote = std::get_if<ForwardTo>(&*Answer.Decision);
    if (Remote == nullptr) {
      ++Refused;
      LastRefusedAt = Time.now();
      return;
    }
    BOOST_TEST(!Remote->LoadKnown);
    ++Offered;
    Open += 1;
    MostOpen = std::max(MostOpen, Open);
    Time.after(RoundTrip, [this, Id, Result] {
      Open -= 1;
      Client.end(Id, Result);
    });
  }

  PlacementServer Server{Time.runtime(), View, Decisions, self().Ip,
                         [this](const std::string &Ip, PlacementId Id,
                                const PlacementAnswer &Answer) {
                           Client.answered(Ip, Id, Answer);
                         }};
  PlacementClient Client{
      Time.runtime(),
      View,
      Hosts,
      Decisions,
      Server,
      [](const std::string &, PlacementId, const PlacementNote &) {}};
  unsigned Offered = 0;
  unsigned Refused = 0;
  unsigned Open = 0;
  unsigned MostOpen = 0;
  TimePoint LastRefusedAt{};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RegionOfferTests, OfferFixture)

// Guards against refusals for as long as the load is unknown: 80 requests a
// second were refused for up to 8.5 s.
BOOST_AUTO_TEST_CASE(servedOffersLetMoreThrough) {
  TimePoint Begin = Time.now();
  replay(5s, 12500us, {AttemptOutcome::Answered});
  BOOST_TEST((LastRefusedAt - Begin <= 1s));
  BOOST_TEST(Refused <= 60U);
}

// Guards against a region of unknown load that is flooded: when it answers
// slowly, the requests that are open there stay bounded.
BOOST_AUTO_TEST_CASE(openOffersAreBounded) {
  replay(10s, 1ms, {AttemptOutcome::Answered}, 1500ms);
  BOOST_TEST(MostOpen <= 32U);
  BOOST_TEST(Refused > 0U);
}

// A region that refuses gets one offer after each time that it named.
BOOST_AUTO_TEST_CASE(refusalClosesTheOffersForTheTimeThatItNames) {
  replay(10s, 5ms, {AttemptOutcome::Declined, 1s});
  // Two at first, then one every 1.2 s.
  BOOST_TEST(Offered >= 9U);
  BOOST_TEST(Offered <= 11U);
}

// Callers were told to return after 0.7 s while nothing could be served for
// 8 s. They are to return when the answer to the next offer has come.
BOOST_AUTO_TEST_CASE(retryAfterSaysWhenMoreIsKnown) {
  FleetRoute Route = route(RepeatKind::AtMostOnce);
  auto RetryAfter = [&] {
    AttemptLog Log;
    return std::get<Refusal>(Decisions.choose(request(0), Route, Log))
        .RetryAfter;
  };
  replay(10ms, 5ms, {AttemptOutcome::Answered});
  BOOST_TEST((RetryAfter() <= 300ms));
  Time.runFor(500ms);
  replay(5ms, 5ms, {AttemptOutcome::Declined, 3s}, 1ms);
  Time.runFor(5ms);
  BOOST_TEST((RetryAfter() >= 2900ms));
  BOOST_TEST((RetryAfter() <= 5s));
  // Nothing is known of a region that serves.
  Route.Homes = HomeRegions::only({RegionId("huye")});
  BOOST_TEST((RetryAfter() <= 900ms));
}

// A region that is out of reach, or that names no time, gets ever fewer.
BOOST_AUTO_TEST_CASE(failuresCloseTheOffersForEverLonger) {
  replay(20s, 5ms, {AttemptOutcome::Broken});
  BOOST_TEST(Offered >= 5U);
  BOOST_TEST(Offered <= 9U);
}

// Guards against offers that stay open for good when reports are lost.
BOOST_AUTO_TEST_CASE(offersWithoutAResultEnd) {
  replay(1s, 5ms, {AttemptOutcome::Answered}, 1h);
  BOOST_TEST(Offered == RegionOfferLimiter::FirstOffers);
  Time.runFor(RegionOfferLimiter::MaxOpen);
  replay(100ms, 5ms, {AttemptOutcome::Answered}, 1h);
  BOOST_TEST(Offered == 2 * RegionOfferLimiter::FirstOffers);
}

// A request that was not sent after all says nothing of the region.
BOOST_AUTO_TEST_CASE(withdrawnOffersDoNotCount) {
  replay(2s, 5ms, {}, 100ms);
  BOOST_TEST(MostOpen == RegionOfferLimiter::FirstOffers);
  BOOST_TEST(Offered >= 30U);
}

// What is known not to be servable is refused at once: the region has said
// that it has no endpoint in the pool, or that it does not have the pool.
BOOST_AUTO_TEST_CASE(regionKnownNotToServeGetsNoOffer) {
  Decisions.regions().received(Musanze, HostId("m1"),
                               {poolHash(Plain), 0ms, 0, 0, 0});
  replay(1s, 5ms, {AttemptOutcome::Answered});
  BOOST_TEST(Offered == 0U);
  Time.runFor(RegionLoadTracker::MaxAge);
  Decisions.regions().received(Musanze, HostId("m1"),
                               {poolHash(PoolName("engines")), 0ms, 1, 1, 1});
  replay(1s, 5ms, {AttemptOutcome::Answered});
  BOOST_TEST(Offered == 0U);
}

// The host that is next to place does not offer what cannot be served.
BOOST_AUTO_TEST_CASE(poolWithoutEndpointsIsPassedOnInsideARegion) {
  RegionLoadTracker First(Time.runtime());
  First.received(Musanze, HostId("m1"), {poolHash(Plain), 0ms, 0, 0, 0});
  for (const RegionPoolLoad &Load : First.combined())
    BOOST_TEST(Decisions.regions().receivedRelayed(Load));
  BOOST_TEST(Decisions.regions().isKnown(Musanze));
  replay(1s, 5ms, {AttemptOutcome::Answered});
  BOOST_TEST(Offered == 0U);
}

// It was offered there before, came from another host, or has too little time.
BOOST_AUTO_TEST_CASE(requestThatCannotBeServedGetsNoOffer) {
  FleetRoute Route = route(RepeatKind::AtMostOnce);
  auto IsRefused = [&](const RequestDescriptor &R, AttemptLog Log = {}) {
    return std::holds_alternative<Refusal>(Decisions.choose(R, Route, Log));
  };
  BOOST_TEST(!IsRefused(request(0)));
  AttemptLog Tried;
  Tried.RegionsTried = {Musanze};
  BOOST_TEST(IsRefused(request(0), Tried));
  RequestDescriptor Forwarded = request(0);
  Forwarded.Forwarded = true;
  BOOST_TEST(IsRefused(Forwarded));
  RequestDescriptor Late = request(0);
  Late.Deadline = Time.now() + 100ms;
  BOOST_TEST(IsRefused(Late));
  Route.Homes = HomeRegions::only({RegionId("huye")});
  BOOST_TEST(IsRefused(request(0)));
}

BOOST_AUTO_TEST_SUITE_END()
