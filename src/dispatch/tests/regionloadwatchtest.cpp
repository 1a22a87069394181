#include <boost/test/unit_test.hpp>

#include "dispatch/regionloadwatch.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

const RegionId Oslo("oslo");

struct WatchFixture {
  void report() { Loads.received(Oslo, HostId("o0"), {1, 0ms, 1, 1, 1}); }

  /// Updates every 50 ms.
  void run(Duration Span) {
    for (Duration Past{}; Past < Span; Past += 50ms) {
      Time.runFor(50ms);
      for (const RegionLoadChange &Change : Watch.update(Needed))
        Changes.push_back(Change);
    }
  }

  testing::VirtualTime Time{1};
  RegionLoadTracker Loads{Time.runtime()};
  RegionLoadWatch Watch{Time.runtime(), Loads};
  std::set<RegionId> Needed{Oslo};
  std::vector<RegionLoadChange> Changes;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RegionLoadWatchTests, WatchFixture)

// Requests are refused while nothing in the log says why.
BOOST_AUTO_TEST_CASE(lossAndReturnAreTold) {
  report();
  run(2900ms);
  BOOST_TEST(Changes.empty());
  run(5s);
  BOOST_REQUIRE(Changes.size() == 1U);
  BOOST_TEST(!Changes[0].Known);
  BOOST_TEST(Changes[0].EverReported);
  BOOST_TEST((Changes[0].Age > RegionLoadTracker::MaxAge));
  BOOST_TEST((Changes[0].Age <= RegionLoadTracker::MaxAge + 50ms));
  BOOST_TEST(Watch.isUnknown(Oslo));
  report();
  run(100ms);
  BOOST_REQUIRE(Changes.size() == 2U);
  BOOST_TEST(Changes[1].Known);
  BOOST_TEST((Changes[1].Age > 4s));
  BOOST_TEST(!Watch.isUnknown(Oslo));
}

// A new placer that is never sent the load; but none that is about to be.
BOOST_AUTO_TEST_CASE(loadThatNeverComesIsTold) {
  run(1s);
  BOOST_TEST(Changes.empty());
  run(2s);
  BOOST_REQUIRE(Changes.size() == 1U);
  BOOST_TEST(!Changes[0].EverReported);
  BOOST_TEST((Changes[0].Age >= RegionLoadWatch::FirstReport));
}

// Only aggregators are sent the load of other regions; a host that ceases to be
// one must not warn.
BOOST_AUTO_TEST_CASE(regionThatIsNotNeededIsNotTold) {
  report();
  run(1s);
  Needed.clear();
  run(10s);
  BOOST_TEST(Changes.empty());
  BOOST_TEST(!Watch.isUnknown(Oslo));
}

BOOST_AUTO_TEST_SUITE_END()
