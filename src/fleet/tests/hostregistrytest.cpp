#include <boost/test/unit_test.hpp>

#include "fleet/hostregistry.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

HostState host(const std::string &Ip, const std::string &Region,
               std::int64_t Start = 1) {
  HostState H;
  H.Id = HostId("host-" + Ip);
  H.Ip = Ip;
  H.Region = RegionId(Region);
  H.StartedAt = Start;
  H.Ready = true;
  return H;
}

struct Fixture {
  testing::VirtualTime Time{1};
  HostRegistry Hosts{Time.runtime(), host("10.0.0.1", "kigali")};
  using Ips = std::vector<std::string>;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HostRegistryTests, Fixture)

BOOST_AUTO_TEST_CASE(silentHostIsNotNamedButWrittenTo) {
  Hosts.heard(host("10.0.0.2", "kigali"));
  BOOST_TEST((Hosts.entriesFor(RegionId("kigali"), {}) ==
              Ips{"10.0.0.1", "10.0.0.2"}));
  Time.runFor(HostRegistry::RegionSilence + 1ms);
  BOOST_TEST((Hosts.entriesFor(RegionId("kigali"), {}) == Ips{"10.0.0.1"}));
  BOOST_TEST((Hosts.contacts(true) == Ips{"10.0.0.2"}));
}

BOOST_AUTO_TEST_CASE(leavingHostIsNotNamed) {
  HostState Other = host("10.0.0.2", "kigali");
  Other.Leaving = true;
  Hosts.heard(Other);
  BOOST_TEST((Hosts.entriesFor(RegionId("kigali"), {}) == Ips{"10.0.0.1"}));
}

BOOST_AUTO_TEST_CASE(messageOfAnEarlierStartIsIgnored) {
  BOOST_TEST(Hosts.heard(host("10.0.0.2", "kigali", 5)));
  BOOST_TEST(!Hosts.heard(host("10.0.0.2", "kigali", 4)));
}

BOOST_AUTO_TEST_CASE(hostRestartedAfterItsClockJumpedBackIsHeard) {
  Hosts.heard(host("10.0.0.2", "kigali", 5000));
  Time.runFor(HostRegistry::MessageLife + 1ms);
  BOOST_TEST(Hosts.heard(host("10.0.0.2", "kigali", 3000)));
  BOOST_TEST(Hosts.serving(RegionId("kigali")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(callersOfALostRegionAreSentElsewhere) {
  Hosts.heard(host("10.1.0.1", "huye"));
  BOOST_TEST((Hosts.entriesFor(RegionId("huye"), {}) == Ips{"10.1.0.1"}));
  Time.runFor(HostRegistry::FarSilence + 1ms);
  BOOST_TEST((Hosts.entriesFor(RegionId("huye"), {}) == Ips{"10.0.0.1"}));
}

// All hosts of a region are restarted at once: callers whose requests have
// homes are led to one of these only.
BOOST_AUTO_TEST_CASE(callersAreLedToHomesOnly) {
  Hosts.heard(host("10.1.0.1", "musanze"));
  const std::set<RegionId> Homes = {RegionId("musanze"), RegionId("huye")};
  BOOST_TEST((Hosts.entriesFor(RegionId("huye"), Homes) == Ips{"10.1.0.1"}));
  BOOST_TEST((Hosts.entriesFor(RegionId("huye"), {RegionId("huye")}).empty()));
}

BOOST_AUTO_TEST_CASE(unreachableHostGetsNoRequestsForAWhile) {
  Hosts.heard(host("10.1.0.1", "huye"));
  Hosts.unreachable("10.1.0.1");
  BOOST_TEST(Hosts.serving(RegionId("huye")).empty());
  Time.runFor(HostRegistry::HoldOff + 1ms);
  Hosts.heard(host("10.1.0.1", "huye"));
  BOOST_TEST(Hosts.serving(RegionId("huye")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(budgetsAreDividedBySilentHostsToo) {
  Hosts.heard(host("10.0.0.2", "kigali"));
  Time.runFor(10s);
  BOOST_TEST(Hosts.knownHosts() == 2U);
  BOOST_TEST(Hosts.aliveInRegion() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
