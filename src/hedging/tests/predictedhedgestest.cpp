#include <boost/test/unit_test.hpp>

#include "hedging/predictedhedges.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

const PoolName Pool("engines");

struct Fixture {
  Fixture() { Hedges.setShare(0.02); }

  /// Sends requests of which every SlowEvery-th takes SlowBy times its
  /// prediction and the others Usual times. \return how many were hedged.
  int sendAll(int Count, int SlowEvery, double SlowBy, double Usual = 1) {
    int Hedged = 0;
    for (int I = 1; I <= Count; ++I) {
      Duration Predicted = (1 + I % 20) * 50ms;
      double Factor = I % SlowEvery == 0 ? SlowBy : Usual * (1 + I % 7 * 0.01);
      Duration Took = std::chrono::duration_cast<Duration>(Predicted * Factor);
      Hedges.countRequest(Pool);
      auto Delay = Hedges.delay(Pool, Predicted);
      if (Delay && Took > *Delay && Hedges.take(Pool))
        ++Hedged;
      Hedges.observe(Pool, Took, Predicted);
    }
    return Hedged;
  }

  PredictedHedges Hedges;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PredictedHedgesTests, Fixture)

// Guards against hedging long prompts only because they take long.
BOOST_AUTO_TEST_CASE(delayFollowsTheRequestsOwnPrediction) {
  sendAll(200, 1000, 1);
  auto Short = Hedges.delay(Pool, 100ms);
  auto Long = Hedges.delay(Pool, 2s);
  BOOST_REQUIRE(Short.has_value());
  BOOST_TEST((*Short >= 100ms && *Short < 110ms));
  BOOST_TEST((*Long >= 2s && *Long < 2200ms));
}

BOOST_AUTO_TEST_CASE(delayHasAMinimum) {
  sendAll(200, 1000, 1);
  BOOST_TEST((*Hedges.delay(Pool, 2ms) == PredictedHedges::MinDelay));
  BOOST_TEST((*Hedges.delay(Pool, 0ms) == PredictedHedges::MinDelay));
}

// Guards against hedges by a delay that was guessed.
BOOST_AUTO_TEST_CASE(poolWithoutSamplesHasNoDelay) {
  BOOST_TEST(!Hedges.delay(Pool, 100ms).has_value());
  sendAll(19, 1000, 1);
  BOOST_TEST(!Hedges.delay(Pool, 100ms).has_value());
  sendAll(1, 1000, 1);
  BOOST_TEST(Hedges.delay(Pool, 100ms).has_value());
  BOOST_TEST(!Hedges.delay(PoolName("other"), 100ms).has_value());
}

BOOST_AUTO_TEST_CASE(requestsAtASlowEndpointAreHedged) {
  sendAll(500, 1000, 1);
  // One request in fifty is slow, as many as the share allows.
  BOOST_TEST(sendAll(5000, 50, 6) >= 95);
}

// Guards against extra load when all endpoints are slow.
BOOST_AUTO_TEST_CASE(hedgesStayWithinTheShareWhenAllAreSlow) {
  sendAll(500, 1000, 1);
  BOOST_TEST(sendAll(2000, 1000, 6, 6) <= 45);
}

// Guards against a burst of hedges after a time without any.
BOOST_AUTO_TEST_CASE(accumulatedHedgesAreCapped) {
  for (int I = 0; I < 10000; ++I)
    Hedges.countRequest(Pool);
  int Taken = 0;
  while (Hedges.take(Pool))
    ++Taken;
  BOOST_TEST(Taken == 5);
  BOOST_TEST(!Hedges.canTake(PoolName("other")));
}

BOOST_AUTO_TEST_CASE(shareIsLimited) {
  Hedges.setShare(0.5);
  for (int I = 0; I < 33; ++I)
    Hedges.countRequest(Pool);
  BOOST_TEST(!Hedges.canTake(Pool));
  Hedges.countRequest(Pool);
  BOOST_TEST(Hedges.canTake(Pool));
}

BOOST_AUTO_TEST_CASE(nothingIsHedgedWhenOff) {
  sendAll(500, 1000, 1);
  Hedges.setShare(0);
  BOOST_TEST(sendAll(1000, 50, 6) == 0);
  BOOST_TEST(!Hedges.delay(Pool, 100ms).has_value());
  BOOST_TEST(!Hedges.take(Pool));
}

BOOST_AUTO_TEST_SUITE_END()
