#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

#include "fleethost/internal/sourceranking.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using detail::SourceRanking;
using Ips = std::vector<std::string>;

namespace {

const RegionId Home("kigali");
const RegionId Abroad("oslo");
constexpr StoreRevision Old{1, 5};
constexpr StoreRevision New{1, 6};

HostState host(const std::string &Ip, const RegionId &Region,
               StoreRevision Tables) {
  HostState H;
  H.Id = HostId(Ip);
  H.Ip = Ip;
  H.Region = Region;
  H.Ready = true;
  H.OperatorRevision = Tables;
  return H;
}

struct Fixture {
  testing::VirtualTime Time{1};
  HostRegistry Hosts{Time.runtime(), host("10.0.0.9", Home, Old)};
  SourceRanking Ranking{Time.runtime(), Hosts};

  void add(const std::string &Ip, const RegionId &Region, StoreRevision Tables,
           bool Leaving = false, bool Watches = false) {
    HostState H = host(Ip, Region, Tables);
    H.Leaving = Leaving;
    H.Watches = Watches;
    Hosts.received(H);
  }

  detail::RankedSources newer(const std::set<std::string> &Except = {}) const {
    return Ranking.newerThan(MirrorPart::OperatorTables, Old, Except);
  }

  /// Lets time pass in which no host changes what it reports.
  void passWithReports(Duration Span) {
    auto Alive = Hosts.alive();
    for (Duration Passed{}; Passed < Span; Passed += 100ms) {
      Time.runFor(100ms);
      for (const HostState &Host : Alive)
        Hosts.received(Host);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SourceRankingTests, Fixture)

// CONFIG, TWICE, HOME: a host that is being stopped refuses to hand over its
// copy and goes on to report it.
BOOST_AUTO_TEST_CASE(leavingHostComesAfterOthersThatHaveTheRevision) {
  add("10.0.0.1", Home, {1, 7}, true);
  add("10.0.0.2", Home, New);
  add("10.0.0.3", Home, Old);
  BOOST_TEST((newer().Near == Ips{"10.0.0.2", "10.0.0.1", "10.0.0.3"}));
}

BOOST_AUTO_TEST_CASE(hostsOfTheRegionComeBeforeNewerOnesOfOthers) {
  add("10.0.0.1", Home, New);
  add("10.1.0.1", Abroad, {1, 9});
  BOOST_TEST((newer().Near == Ips{"10.0.0.1"}));
  BOOST_TEST((newer().Far == Ips{"10.1.0.1"}));
}

// A host that was cut off or killed is still reported for some seconds.
BOOST_AUTO_TEST_CASE(hostThatFailedIsAskedAgainLastAndNotAtOnce) {
  add("10.0.0.1", Home, {1, 9});
  add("10.0.0.2", Home, New);
  add("10.0.0.3", Home, Old);
  Ranking.recordFailure("10.0.0.1");
  BOOST_TEST((newer().Near == Ips{"10.0.0.2", "10.0.0.3"}));
  passWithReports(SourceRanking::RetryInterval);
  BOOST_TEST((newer().Near == Ips{"10.0.0.2", "10.0.0.3", "10.0.0.1"}));
  Ranking.recordFailure("10.0.0.2");
  passWithReports(SourceRanking::RetryInterval);
  BOOST_TEST((newer().Near == Ips{"10.0.0.3", "10.0.0.1", "10.0.0.2"}));
  Ranking.recordSuccess("10.0.0.2");
  BOOST_TEST(newer().Near.front() == "10.0.0.2");
  passWithReports(SourceRanking::FailureMemory);
  BOOST_TEST(newer().Near.back() == "10.0.0.3");
}

// Guards against one host that hands its copy to all others.
BOOST_AUTO_TEST_CASE(equalHostsShareTheLoad) {
  constexpr unsigned Draws = 400;
  for (const char *Ip : {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"})
    add(Ip, Home, New);
  std::map<std::string, unsigned> First;
  for (unsigned I = 0; I < Draws; ++I)
    ++First[newer().Near.front()];
  BOOST_REQUIRE(First.size() == 4U);
  for (const auto &[Ip, Count] : First)
    BOOST_TEST(Count > Draws / 8);
}

// Two watchers that drain must not be the only ones that a host asks when it
// wakes.
BOOST_AUTO_TEST_CASE(confirmersThatFailGiveWayToTheOthers) {
  add("10.0.0.1", Home, New, true, true);
  add("10.0.0.2", Home, New, false, true);
  add("10.0.0.3", Home, New);
  BOOST_TEST(
      (Ranking.confirmers({}).Near == Ips{"10.0.0.2", "10.0.0.3", "10.0.0.1"}));
  Ranking.recordFailure("10.0.0.2");
  BOOST_TEST(
      (Ranking.confirmers({}).Near == Ips{"10.0.0.3", "10.0.0.1", "10.0.0.2"}));
}

// A host that nobody hands the changes over may be cut off.
BOOST_AUTO_TEST_CASE(changesAreOfferedByHostsThatHaveNotFailed) {
  add("10.0.0.1", Home, Old);
  BOOST_TEST(!Ranking.isOffered(MirrorPart::OperatorTables, Old));
  add("10.1.0.1", Abroad, New);
  BOOST_TEST(Ranking.isOffered(MirrorPart::OperatorTables, Old));
  BOOST_TEST(!Ranking.isOffered(MirrorPart::OperatorTables, New));
  Ranking.recordFailure("10.1.0.1");
  BOOST_TEST(!Ranking.isOffered(MirrorPart::OperatorTables, Old));
  Ranking.recordSuccess("10.1.0.1");
  BOOST_TEST(Ranking.isOffered(MirrorPart::OperatorTables, Old));
}

BOOST_AUTO_TEST_SUITE_END()
