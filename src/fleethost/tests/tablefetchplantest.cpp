#include <boost/test/unit_test.hpp>

#include "fleethost/internal/tablefetchplan.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using detail::TableFetchPlan;
using detail::TableSources;

namespace {

struct Fixture {
  TimePoint Now{1000s};
  TableFetchPlan Plan;
  TableSources Sources{{"near1", "near2", "near3"}, {"far1", "far2"}, "sender"};

  std::string next() { return Plan.next(Now, Sources).value_or("nobody"); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TableFetchPlanTests, Fixture)

// Guards against a host that stands still while it is asked and so keeps newer
// tables away for the whole time-out of a call.
BOOST_AUTO_TEST_CASE(anotherHostIsAskedAfterAShortTime) {
  BOOST_TEST(next() == "near1");
  Now += TableFetchPlan::SecondSourceDelay - 1ms;
  BOOST_TEST(next() == "nobody");
  Now += 1ms;
  BOOST_TEST(next() == "near2");
  BOOST_TEST(next() == "nobody");
}

BOOST_AUTO_TEST_CASE(endOfTheOnlyQuestionAllowsTheNextAtOnce) {
  next();
  Plan.ended("near1", false);
  BOOST_TEST(next() == "near1");
}

// Bytes between regions are paid for.
BOOST_AUTO_TEST_CASE(otherRegionsAreAskedOneAtATimeAndOnlyWithoutNearHosts) {
  for (const char *Near : {"near1", "near2", "near3"}) {
    BOOST_TEST(next() == Near);
    Now += TableFetchPlan::SecondSourceDelay;
  }
  BOOST_TEST(next() == "far1");
  Now += TableFetchPlan::SecondSourceDelay;
  BOOST_TEST(next() == "nobody");
  Plan.ended("near2", false);
  BOOST_TEST(next() == "near2");
  Sources.Near.clear();
  Plan.ended("far1", true);
  Now += TableFetchPlan::SecondSourceDelay;
  BOOST_TEST(next() == "far1");
}

BOOST_AUTO_TEST_CASE(senderIsAskedWhenHostsOfTheRegionHaveNothingNewer) {
  for (unsigned I = 0; I < TableFetchPlan::FruitlessNear; ++I) {
    BOOST_TEST(next() == "near1");
    Plan.ended("near1", false);
  }
  BOOST_TEST(next() == "sender");
  Plan.ended("sender", true);
  BOOST_TEST(next() == "near1");
  Plan.ended("near1", true);
  BOOST_TEST(next() == "near1");
}

BOOST_AUTO_TEST_CASE(questionsInProgressAreBounded) {
  Sources.Near = {"a", "b", "c", "d", "e", "f"};
  for (std::size_t I = 0; I < TableFetchPlan::MaxOutstanding; ++I) {
    BOOST_TEST(next() != "nobody");
    Now += TableFetchPlan::SecondSourceDelay;
  }
  BOOST_TEST(next() == "nobody");
  BOOST_TEST(Plan.asking().size() == TableFetchPlan::MaxOutstanding);
}

BOOST_AUTO_TEST_SUITE_END()
