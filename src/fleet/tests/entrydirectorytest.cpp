#include <boost/test/unit_test.hpp>

#include "fleet/fleettypes.h"
#include "fleet/hostregistry.h"
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
  R.Homes = std::move(Homes);
  return R;
}

/// The directory of a host in temirtau that is stopping, as the last one of its
/// region.
struct Fixture {
  testing::VirtualTime Time{1};
  HostRegistry Hosts{Time.runtime(), host("10.2.0.1", "temirtau", false)};
  std::optional<FleetTables> Tables;
  using Ips = std::vector<std::string>;

  Fixture() {
    Time.runFor(10s);
    Hosts.received(host("10.3.0.1", "balkhash"));
  }

  /// A main route and short-lived ones whose homes exclude each other.
  void adoptRoutesWithDisjointHomes() {
    Tables.emplace();
    Tables->Version = 3;
    Tables->Routes = {
        route("/", {RegionId("karaganda"), RegionId("temirtau")}),
        route("/a/", {RegionId("karaganda")}),
        route("/a/b/", {RegionId("temirtau")})};
  }

  Ips entriesFor(const std::string &Region) {
    return Hosts.entriesFor(RegionId(Region), Tables ? Tables->homesOf(Name)
                                                     : std::set<RegionId>());
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
  Tables.emplace();
  Tables->Routes = {route("/", {})};
  Tables->Routes.front().Host = "other.example";
  BOOST_TEST(entriesFor("temirtau").empty());
}

BOOST_AUTO_TEST_SUITE_END()
