#include <boost/test/unit_test.hpp>

#include "fleet/entrydirectory.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

const std::string Name = "wells.example";

HostState host(const std::string &Ip, const std::string &Region,
               bool Ready = true) {
  HostState H;
  H.Id = HostId("host-" + Ip);
  H.Ip = Ip;
  H.Region = RegionId(Region);
  H.StartedAt = 1;
  H.Ready = Ready;
  return H;
}

FleetRoute route(const std::string &Path, std::set<RegionId> Homes) {
  FleetRoute R;
  R.Name = RouteName("r-" + Path);
  R.Host = Name;
  R.PathPrefix = Path;
  if (!Homes.empty())
    R.Homes = HomeRegions::only(std::move(Homes));
  return R;
}

const RegionId Karaganda("karaganda");
const RegionId Temirtau("temirtau");
const RegionId Balkhash("balkhash");

/// The directory of a host in temirtau that is stopping, as the last one of its
/// region.
struct Fixture {
  testing::VirtualTime Time{1};
  HostRegistry Hosts{Time.runtime(), host("10.2.0.1", "temirtau", false)};
  FleetView View{Time.runtime(), {}};
  EntryDirectory Directory{Time.runtime(), Hosts, View};
  using Ips = std::vector<std::string>;

  Fixture() {
    Time.runFor(10s);
    Hosts.received(host("10.3.0.1", "balkhash"));
  }

  void adopt(std::vector<FleetRoute> Routes) {
    FleetTables Tables;
    Tables.Version = View.tables() ? View.tables()->Version + 1 : 1;
    Tables.Routes = std::move(Routes);
    View.adoptTables(std::move(Tables));
  }

  /// A main route and short-lived ones whose homes exclude each other.
  void adoptRoutesWithDisjointHomes() {
    adopt({route("/", {Karaganda, Temirtau}), route("/a/", {Karaganda}),
           route("/a/b/", {Temirtau})});
  }

  void receiveRequests(const std::string &Path, int Count) {
    for (int I = 0; I < Count; ++I)
      Directory.record(RouteName("r-" + Path));
  }

  Ips entriesFor(const std::string &Region) {
    return Directory.answer(RegionId(Region), Name).Ips;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryDirectoryTests, Fixture)

// HOME: homes of short-lived routes that exclude each other led callers of a
// region without ready hosts to a region that is nobody's home.
BOOST_AUTO_TEST_CASE(disjointHomesDoNotLeadCallersToAnyRegion) {
  adoptRoutesWithDisjointHomes();
  BOOST_TEST(entriesFor("temirtau").empty());
  BOOST_TEST(entriesFor("karaganda").empty());
}

// HOME: a host that has no tables yet does not know the homes.
BOOST_AUTO_TEST_CASE(directoryWithoutTablesNamesNoOtherRegion) {
  BOOST_TEST(entriesFor("temirtau").empty());
  BOOST_TEST((entriesFor("balkhash") == Ips{"10.3.0.1"}));
}

// HOME: the tables may be older than the name.
BOOST_AUTO_TEST_CASE(unknownNameIsNotLedToAnotherRegion) {
  adopt({route("/", {})});
  BOOST_TEST(Directory.answer(Temirtau, "other.example").Ips.empty());
}

BOOST_AUTO_TEST_CASE(callersOfALostRegionAreSentToAnother) {
  adopt({route("/", {})});
  Hosts.received(host("10.1.0.1", "karaganda"));
  BOOST_TEST((entriesFor("karaganda") == Ips{"10.1.0.1"}));
  Time.runFor(HostRegistry::RemoteSilence + 1ms);
  Hosts.received(host("10.3.0.1", "balkhash"));
  BOOST_TEST((entriesFor("karaganda") == Ips{"10.3.0.1"}));
}

// All hosts of a region are restarted at once: callers whose requests are
// limited to home regions are sent to one of these only.
BOOST_AUTO_TEST_CASE(callersAreSentToHomeRegionsOnly) {
  Hosts.received(host("10.1.0.1", "karaganda"));
  adopt({route("/", {Karaganda, Temirtau})});
  BOOST_TEST((entriesFor("temirtau") == Ips{"10.1.0.1"}));
  adopt({route("/", {Temirtau})});
  BOOST_TEST(entriesFor("temirtau").empty());
}

// HOME: the directory's own region comes first only if it is a home.
BOOST_AUTO_TEST_CASE(ownRegionOfTheDirectoryIsNotNamedOutsideHomes) {
  Hosts.setSelf(host("10.2.0.1", "temirtau"));
  adopt({route("/", {Karaganda, Balkhash})});
  BOOST_TEST((entriesFor("karaganda") == Ips{"10.3.0.1"}));
  adopt({route("/", {Karaganda})});
  BOOST_TEST(entriesFor("karaganda").empty());
}

BOOST_AUTO_TEST_CASE(theHomesOfTheRouteThatGetsTheRequestsCount) {
  adoptRoutesWithDisjointHomes();
  Hosts.received(host("10.1.0.1", "karaganda"));
  receiveRequests("/", 1000);
  receiveRequests("/a/b/", 20);
  BOOST_TEST((entriesFor("temirtau") == Ips{"10.1.0.1"}));
  receiveRequests("/a/b/", 60);
  BOOST_TEST(entriesFor("temirtau").empty());
}

BOOST_AUTO_TEST_CASE(rareRequestsWithHomesDoNotKeepTheOthersFromAnotherRegion) {
  adopt({route("/", {}), route("/a/", {Karaganda})});
  receiveRequests("/", 100);
  receiveRequests("/a/", 1);
  BOOST_TEST((entriesFor("temirtau") == Ips{"10.3.0.1"}));
  Hosts.received(host("10.1.0.1", "karaganda"));
  BOOST_TEST((entriesFor("temirtau") == Ips{"10.1.0.1"}));
}

// A changed route counts with its new homes.
BOOST_AUTO_TEST_CASE(changedHomesApplyAtOnce) {
  adopt({route("/", {Balkhash, Temirtau})});
  receiveRequests("/", 100);
  BOOST_TEST((entriesFor("temirtau") == Ips{"10.3.0.1"}));
  adopt({route("/", {Karaganda, Temirtau})});
  BOOST_TEST(entriesFor("temirtau").empty());
}

// HOME: a host that has just started knows few hosts.
BOOST_AUTO_TEST_CASE(directoryThatJustStartedNamesNoOtherRegion) {
  adopt({route("/", {})});
  EntryDirectory Fresh(Time.runtime(), Hosts, View);
  BOOST_TEST(Fresh.answer(Temirtau, Name).Ips.empty());
  BOOST_TEST(!Fresh.answer(Balkhash, Name).Ips.empty());
  Time.runFor(EntryDirectory::ListeningTime + 1ms);
  Hosts.received(host("10.3.0.1", "balkhash"));
  BOOST_TEST((Fresh.answer(Temirtau, Name).Ips == Ips{"10.3.0.1"}));
}

// Nobody has sent requests with this name here, so its routes cannot be told
// apart; its callers still get an answer in the end.
BOOST_AUTO_TEST_CASE(callersOfARareNameAreNotRefusedForever) {
  adopt({route("/", {}), route("/a/", {Karaganda}), route("/b/", {Temirtau})});
  BOOST_TEST(entriesFor("temirtau").empty());
  Time.runFor(EntryDirectory::LostAfter);
  Hosts.received(host("10.3.0.1", "balkhash"));
  BOOST_TEST((entriesFor("temirtau") == Ips{"10.3.0.1"}));
}

// HOME: one request decided for all callers of a name.
BOOST_AUTO_TEST_CASE(oneRequestDoesNotTellTheRoutesOfANameApart) {
  adopt({route("/", {}), route("/a/", {Karaganda}), route("/b/", {Temirtau})});
  BOOST_TEST(entriesFor("temirtau").empty());
  receiveRequests("/", 1);
  BOOST_TEST(entriesFor("temirtau").empty());
}

// HOME: the rule counts the requests with homes, not all of them.
BOOST_AUTO_TEST_CASE(fewRequestsWithHomesAreNotAllLedAstray) {
  adopt({route("/", {}), route("/a/", {Karaganda, Temirtau})});
  receiveRequests("/", 960);
  receiveRequests("/a/", 40);
  BOOST_TEST(entriesFor("temirtau").empty());
}

// A region is lost for good: few requests that only it may handle kept all its
// callers without an answer.
BOOST_AUTO_TEST_CASE(callersOfALostRegionAreNotRefusedForAFewRequests) {
  adopt({route("/", {}), route("/a/", {Temirtau})});
  for (int Second = 0; Second < 120; ++Second) {
    receiveRequests("/", 9);
    receiveRequests("/a/", 1);
    Time.runFor(1s);
    Hosts.received(host("10.3.0.1", "balkhash"));
  }
  BOOST_TEST((entriesFor("temirtau") == Ips{"10.3.0.1"}));
}

// HOME: a region without callers of its own counts no requests.
BOOST_AUTO_TEST_CASE(directoryWithoutCallersDoesNotNameItselfOutsideHomes) {
  HostRegistry Away(Time.runtime(), host("10.3.0.1", "balkhash"));
  EntryDirectory Idle(Time.runtime(), Away, View);
  adopt({route("/", {}), route("/a/", {Karaganda, Temirtau})});
  Time.runFor(EntryDirectory::LostAfter - 1ms);
  BOOST_TEST(Idle.answer(Temirtau, Name).Ips.empty());
}

// The lists of hosts are rebuilt while the regions are gone through.
BOOST_AUTO_TEST_CASE(answerUsesNoListOfHostsThatWasReplaced) {
  adopt({route("/", {})});
  Runtime Ticking = Time.runtime();
  Ticking.Now = [this] {
    Time.runFor(60ms);
    return Time.now();
  };
  HostRegistry Busy(Ticking, host("10.2.0.1", "temirtau"));
  for (int I = 0; I < 5; ++I)
    Busy.received(host("10.1.0." + std::to_string(I), "r" + std::to_string(I)));
  EntryDirectory Asked(Ticking, Busy, View);
  Time.runFor(EntryDirectory::ListeningTime);
  BOOST_TEST((Asked.answer(RegionId("none"), Name).Ips == Ips{"10.2.0.1"}));
}

BOOST_AUTO_TEST_CASE(oldRequestsAreForgotten) {
  RouteTraffic Traffic(Time.runtime());
  const RouteName Route("r");
  for (int I = 0; I < 8; ++I)
    Traffic.record(Route);
  Time.runFor(RouteTraffic::HalfLife);
  BOOST_TEST(Traffic.weight(Route) == 4.0, boost::test_tools::tolerance(0.001));
  Time.runFor(20 * RouteTraffic::HalfLife);
  Traffic.record(RouteName("other"));
  BOOST_TEST(Traffic.weight(Route) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
