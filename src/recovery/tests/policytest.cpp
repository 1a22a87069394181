#include <boost/test/unit_test.hpp>

#include "hedging/hedgepolicy.h"
#include "recovery/progressmonitor.h"
#include "recovery/retrybudget.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

const PoolName Pool("cedar");

unsigned countAvailable(RetryBudget &Budget) {
  unsigned Taken = 0;
  while (Budget.take(Pool))
    ++Taken;
  return Taken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PolicyTests)

BOOST_AUTO_TEST_CASE(retriesAreLimitedToAShareOfSuccesses) {
  RetryBudget Budget;
  countAvailable(Budget);
  for (int I = 0; I < 55; ++I)
    Budget.succeeded(Pool, 0.1);
  BOOST_TEST(countAvailable(Budget) == 5U);
  auto Refused = Budget.take(Pool);
  BOOST_TEST((Refused.error().Kind == ErrorKind::RetryBudgetExhausted));
  BOOST_TEST(Refused.error().Message.find("retry_share") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(accumulatedRetriesAreCapped) {
  RetryBudget Budget;
  for (int I = 0; I < 10000; ++I)
    Budget.succeeded(Pool, 0.1);
  BOOST_TEST(countAvailable(Budget) <= 10U);
  BOOST_TEST(Budget.take(PoolName("other")).has_value());
}

BOOST_AUTO_TEST_CASE(hedgeDelayFollowsTheTailLatency) {
  HedgePolicy Policy;
  BOOST_TEST((Policy.hedgeDelay(Pool) == HedgePolicy::DefaultDelay));
  for (int I = 1; I <= 400; ++I)
    Policy.observe(Pool, I * 1ms, 0.02);
  BOOST_TEST((Policy.hedgeDelay(Pool) > 350ms));
  BOOST_TEST((Policy.hedgeDelay(Pool) < 400ms));
}

BOOST_AUTO_TEST_CASE(hedgesAreLimitedToAShareOfRequests) {
  HedgePolicy Policy;
  for (int I = 0; I < 120; ++I)
    Policy.observe(Pool, 100ms, 0.02);
  BOOST_TEST(Policy.takeHedge(Pool).has_value());
  BOOST_TEST(Policy.takeHedge(Pool).has_value());
  BOOST_TEST(!Policy.takeHedge(Pool).has_value());
}

BOOST_AUTO_TEST_CASE(progressTimeoutFollowsThePoolWithinLimits) {
  ProgressMonitor Watch;
  BOOST_TEST((Watch.gapTimeout(Pool) == ProgressMonitor::GapLimits.Ceiling));
  for (int I = 0; I < 100; ++I)
    Watch.observeGap(Pool, 30ms);
  BOOST_TEST((Watch.gapTimeout(Pool) == ProgressMonitor::GapLimits.Floor));
  for (int I = 0; I < 1000; ++I)
    Watch.observeGap(Pool, 500ms);
  BOOST_TEST((Watch.gapTimeout(Pool) == 2s));
  BOOST_TEST((Watch.firstTokenTimeout(Pool, RequestClass::Long) ==
              ProgressMonitor::FirstTokenLimits.Ceiling));
}

BOOST_AUTO_TEST_CASE(streamFarSlowerThanThePoolIsSlow) {
  ProgressMonitor Watch;
  BOOST_TEST(!Watch.isSlow(Pool, 10, 1h));
  for (int I = 0; I < 100; ++I)
    Watch.observeGap(Pool, 20ms);
  BOOST_TEST(!Watch.isSlow(Pool, 100, 4s));
  BOOST_TEST(Watch.isSlow(Pool, 100, 6s));
  // A short pause at the start of a stream does not make it slow.
  BOOST_TEST(!Watch.isSlow(Pool, 2, 300ms));
  BOOST_TEST(Watch.isSlow(Pool, 2, 500ms));
}

BOOST_AUTO_TEST_SUITE_END()
