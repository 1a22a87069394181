#include <map>

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

BOOST_AUTO_TEST_CASE(silentHostIsNotNamedButContacted) {
  Hosts.received(host("10.0.0.2", "kigali"));
  BOOST_TEST(
      (Hosts.entriesIn(RegionId("kigali")) == Ips{"10.0.0.1", "10.0.0.2"}));
  Time.runFor(HostRegistry::RegionSilence + 1ms);
  BOOST_TEST((Hosts.entriesIn(RegionId("kigali")) == Ips{"10.0.0.1"}));
  BOOST_TEST((Hosts.silentContacts(9) == Ips{"10.0.0.2"}));
}

BOOST_AUTO_TEST_CASE(leavingHostIsNotNamed) {
  HostState Other = host("10.0.0.2", "kigali");
  Other.Leaving = true;
  Hosts.received(Other);
  BOOST_TEST((Hosts.entriesIn(RegionId("kigali")) == Ips{"10.0.0.1"}));
}

BOOST_AUTO_TEST_CASE(messageOfEarlierIncarnationIsIgnored) {
  BOOST_TEST(Hosts.received(host("10.0.0.2", "kigali", 5)));
  BOOST_TEST(!Hosts.received(host("10.0.0.2", "kigali", 4)));
}

BOOST_AUTO_TEST_CASE(hostRestartedAfterClockJumpedBackIsAccepted) {
  Hosts.received(host("10.0.0.2", "kigali", 5000));
  Time.runFor(HostRegistry::MaxMessageDelay + 1ms);
  BOOST_TEST(Hosts.received(host("10.0.0.2", "kigali", 3000)));
  BOOST_TEST(Hosts.serving(RegionId("kigali")).size() == 1U);
}

// DRAIN: a host of another region that was killed 8 s ago is still named.
BOOST_AUTO_TEST_CASE(reportedHostIsNotNamedLongAfterItsLastUpdate) {
  Hosts.hostReported(host("10.1.0.1", "huye"), 0ms);
  Time.runFor(8s);
  Hosts.hostReported(host("10.1.0.2", "huye"), 0ms);
  BOOST_TEST((Hosts.entriesIn(RegionId("huye")) == Ips{"10.1.0.2"}));
}

BOOST_AUTO_TEST_CASE(unreachableHostGetsNoRequestsForAWhile) {
  Hosts.received(host("10.1.0.1", "huye"));
  Hosts.unreachable("10.1.0.1");
  BOOST_TEST(Hosts.serving(RegionId("huye")).empty());
  Time.runFor(HostRegistry::HoldOff + 1ms);
  Hosts.received(host("10.1.0.1", "huye"));
  BOOST_TEST(Hosts.serving(RegionId("huye")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(silentHostsCountAsKnownHosts) {
  Hosts.received(host("10.0.0.2", "kigali"));
  Time.runFor(10s);
  BOOST_TEST(Hosts.fleetSize().Hosts == 2U);
  BOOST_TEST(Hosts.aliveInRegion().empty());
}

// BUDGET: a host behind a cut takes the hosts of its own region for all.
BOOST_AUTO_TEST_CASE(fleetSizeIsUnknownUntilEachRegionWasHeard) {
  HostRegistry Partitioned(Time.runtime(), host("10.0.0.1", "kigali"),
                           {RegionId("kigali"), RegionId("huye")});
  Partitioned.received(host("10.0.0.2", "kigali"));
  Partitioned.setSelf(Partitioned.self());
  BOOST_TEST(!Partitioned.fleetSize().KnownSince);
  BOOST_TEST(Partitioned.self().FleetHosts == 0U);
  Partitioned.hostReported(host("10.1.0.1", "huye"), 100ms);
  Partitioned.setSelf(Partitioned.self());
  BOOST_TEST(Partitioned.fleetSize().KnownSince.has_value());
  BOOST_TEST(Partitioned.self().FleetHosts == 3U);
}

BOOST_AUTO_TEST_CASE(fleetSizeIsTakenFromAHostThatKnowsIt) {
  HostRegistry Partitioned(Time.runtime(), host("10.0.0.1", "kigali"),
                           {RegionId("kigali"), RegionId("huye")});
  HostState Knowing = host("10.0.0.2", "kigali");
  Knowing.FleetHosts = 13;
  Knowing.FleetHostsAge = 10min;
  Partitioned.received(Knowing);
  Partitioned.setSelf(Partitioned.self());
  BOOST_TEST(Partitioned.fleetSize().Hosts == 13U);
  BOOST_TEST(Partitioned.fleetSize().KnownSince.has_value());
  BOOST_TEST(Partitioned.self().FleetHosts == 13U);
  BOOST_TEST((Partitioned.self().FleetHostsAge == 10min));
}

// Two hosts that tell each other an outdated number, but count fewer hosts.
BOOST_AUTO_TEST_CASE(toldFleetSizeIsForgotten) {
  HostState Other = host("10.0.0.2", "kigali");
  Other.FleetHosts = 13;
  for (Duration Told{}; Told <= HostRegistry::Retention + 1min; Told += 1min) {
    Hosts.received(Other);
    Hosts.setSelf(Hosts.self());
    Time.runFor(1min);
    Other.FleetHosts = Hosts.self().FleetHosts;
    Other.FleetHostsAge = Hosts.self().FleetHostsAge + 1min;
  }
  Hosts.received(Other);
  BOOST_TEST(Hosts.fleetSize().Hosts == 2U);
}

BOOST_AUTO_TEST_CASE(hostIsKnownFromAnotherHostsReport) {
  BOOST_TEST(Hosts.hostReported(host("10.0.0.2", "kigali"), 300ms));
  BOOST_TEST(Hosts.serving(RegionId("kigali")).size() == 1U);
  Time.runFor(HostRegistry::ReportedSilence - 300ms + 1ms);
  BOOST_TEST(Hosts.serving(RegionId("kigali")).empty());
}

// Another host's report is older than a message received from the host itself.
BOOST_AUTO_TEST_CASE(olderReportOfAHostIsIgnored) {
  HostState Leaving = host("10.0.0.2", "kigali");
  Leaving.Leaving = true;
  Hosts.received(Leaving);
  Time.runFor(100ms);
  BOOST_TEST(!Hosts.hostReported(host("10.0.0.2", "kigali"), 200ms));
  BOOST_TEST(Hosts.serving(RegionId("kigali")).empty());
}

BOOST_AUTO_TEST_CASE(hostKnownOnlyFromReportsStaysAlive) {
  Hosts.received(host("10.0.0.2", "kigali"));
  for (int Second = 0; Second < 10; ++Second) {
    Time.runFor(1s);
    Hosts.hostReported(host("10.0.0.2", "kigali"), 200ms);
    BOOST_TEST(Hosts.isAlive("10.0.0.2"));
  }
}

// In a region with hosts of different sizes the largest are delegates, and each
// host gets callers in proportion to its size.
BOOST_AUTO_TEST_CASE(largestHostsAreDelegates) {
  for (int I = 2; I < 40; ++I) {
    HostState H = host("10.0.0." + std::to_string(I), "kigali");
    H.MilliCores = I % 10 == 0 ? 500 : 84;
    Hosts.received(H);
  }
  HostState Self = Hosts.self();
  Self.MilliCores = 84;
  Hosts.setSelf(Self);
  RegionDelegates D = Hosts.delegates(RegionId("kigali"));
  BOOST_TEST(D.Placers.size() == 4U);
  BOOST_TEST(D.Aggregators.size() == 6U);
  for (std::size_t I = 0; I < 3; ++I)
    BOOST_TEST(D.Placers[I].MilliCores == 500U);
  std::map<std::string, int> Named;
  constexpr int Answers = 2000;
  for (int I = 0; I < Answers; ++I) {
    auto Ips = Hosts.entriesIn(RegionId("kigali"));
    // 3 * 0.5 + 36 * 0.084 cores equal a little more than 9 large hosts, so 9
    // or 10 hosts are named.
    BOOST_TEST(Ips.size() >= 9U);
    BOOST_TEST(Ips.size() <= 10U);
    for (const std::string &Ip : Ips)
      ++Named[Ip];
  }
  // The large host is about six times as large as a small one and so is named
  // about six times as often, though never twice in one response.
  BOOST_TEST(Named["10.0.0.10"] > 0.95 * Answers);
  BOOST_TEST(Named["10.0.0.11"] > 0.15 * Answers);
  BOOST_TEST(Named["10.0.0.11"] < 0.23 * Answers);
}

// The lists are rebuilt as time passes, also while a caller iterates over one:
// the iteration must not use a list that was replaced.
BOOST_AUTO_TEST_CASE(listsStayValidWhileTheyAreRead) {
  Runtime Ticking = Time.runtime();
  Ticking.Now = [this] {
    Time.runFor(60ms);
    return Time.now();
  };
  HostRegistry Busy(Ticking, host("10.0.0.1", "kigali"));
  for (int I = 0; I < 5; ++I)
    Busy.received(host("10.1.0." + std::to_string(I), "r" + std::to_string(I)));
  unsigned Seen = 0;
  for (const RegionId &Region : Busy.otherRegions()) {
    Busy.drawServing(Region);
    ++Seen;
  }
  BOOST_TEST(Seen == 5U);
  BOOST_TEST(Busy.entriesIn(RegionId("kigali")).size() == 1U);
}

// Such a host refuses the request.
BOOST_AUTO_TEST_CASE(hostWithStaleTablesGetsRequestsOnlyIfAllHaveThem) {
  HostState Stale = host("10.1.0.1", "oslo");
  Stale.TablesStale = true;
  Hosts.received(Stale);
  BOOST_TEST(Hosts.drawServing(RegionId("oslo"))->Ip == "10.1.0.1");
  Hosts.received(host("10.1.0.2", "oslo"));
  for (unsigned I = 0; I < 50; ++I)
    BOOST_TEST(Hosts.drawServing(RegionId("oslo"))->Ip == "10.1.0.2");
}

BOOST_AUTO_TEST_CASE(hostsOfOneSizeAreAllNamed) {
  for (int I = 2; I < 6; ++I)
    Hosts.received(host("10.0.0." + std::to_string(I), "kigali"));
  BOOST_TEST(Hosts.entriesIn(RegionId("kigali")).size() == 5U);
  BOOST_TEST(Hosts.delegates(RegionId("kigali")).Placers.size() == 1U);
  BOOST_TEST(Hosts.delegates(RegionId("kigali")).Aggregators.size() == 5U);
}

BOOST_AUTO_TEST_CASE(leavingHostIsNoDelegate) {
  HostState Large = host("10.0.0.2", "kigali");
  Large.MilliCores = 4000;
  Hosts.received(Large);
  BOOST_TEST(Hosts.delegates(RegionId("kigali")).Placers[0].Ip == "10.0.0.2");
  Large.Leaving = true;
  Hosts.received(Large);
  BOOST_TEST(Hosts.delegates(RegionId("kigali")).Placers[0].Ip == "10.0.0.1");
}

// A region that has just been cut off counts as alive for up to 13 s by
// reports: an allocator that relies on them grants the shares of its hosts
// anew.
BOOST_AUTO_TEST_CASE(regionIsInContactOnlyByItsOwnMessages) {
  constexpr Duration Within = 6s;
  BOOST_TEST(Hosts.allInContact(Within));
  Hosts.received(host("10.0.0.2", "kigali"));
  Hosts.hostReported(host("10.1.0.1", "musanze"), 500ms);
  BOOST_TEST(!Hosts.allInContact(Within));
  Hosts.received(host("10.1.0.2", "musanze"));
  BOOST_TEST(Hosts.allInContact(Within));
  Time.runFor(HostRegistry::RegionSilence + 1ms);
  Hosts.received(host("10.0.0.2", "kigali"));
  BOOST_TEST(Hosts.isAlive("10.1.0.1"));
  BOOST_TEST(Hosts.isAlive("10.1.0.2"));
  BOOST_TEST(!Hosts.allInContact(Within));
  // A region that has been silent for longer holds no shares.
  Time.runFor(Within);
  Hosts.received(host("10.0.0.2", "kigali"));
  BOOST_TEST(Hosts.isAlive("10.1.0.1"));
  BOOST_TEST(Hosts.allInContact(Within));
}

BOOST_AUTO_TEST_SUITE_END()
