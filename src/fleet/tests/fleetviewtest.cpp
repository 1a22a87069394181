#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "fleet/fleetview.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  testing::VirtualTime Time{1};
  std::vector<EndpointKey> Ended;
  std::vector<EndpointKey> MaybeCold;
  FleetView View{
      Time.runtime(),
      {nullptr, [this](const EndpointKey &Key) { Ended.push_back(Key); },
       [this](const EndpointKey &Key) { MaybeCold.push_back(Key); }}};

  static FleetTables tables(std::uint64_t Version) {
    FleetTables T;
    T.Version = Version;
    FleetPool Pool;
    Pool.Name = PoolName("quotes");
    Pool.ColdSpan = 3s;
    Pool.ColdRequestsPerSecond = 2;
    T.Pools[Pool.Name] = Pool;
    return T;
  }

  static FleetEndpoint endpoint(const std::string &Id, std::int64_t Start = 1) {
    FleetEndpoint E;
    E.Id = EndpointId(Id);
    E.StartedAt = Start;
    E.Key = endpointKeyOf(E.Id, Start);
    E.Pool = PoolName("quotes");
    E.Zone = ZoneId("kigali-a");
    E.Region = RegionId("kigali");
    return E;
  }

  std::size_t usable() const {
    return View.usable(PoolName("quotes"), RegionId("kigali")).size();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetViewTests, Fixture)

BOOST_AUTO_TEST_CASE(tablesNeverGoBack) {
  BOOST_TEST(View.adoptTables(tables(7)));
  BOOST_TEST(!View.adoptTables(tables(3)));
  BOOST_TEST(!View.adoptTables(tables(7)));
  BOOST_TEST(View.tables()->Version == 7U);
}

BOOST_AUTO_TEST_CASE(leavingGoneAndEvacuatedEndpointsAreNotUsable) {
  View.putEndpoint(endpoint("a"));
  View.putEndpoint(endpoint("b"));
  View.putEndpoint(endpoint("c"));
  BOOST_TEST(usable() == 3U);
  FleetEndpoint Leaving = endpoint("a");
  Leaving.Leaving = true;
  View.putEndpoint(Leaving);
  View.removeEndpoint(EndpointId("b"), 0s);
  BOOST_TEST(usable() == 1U);
  View.setEvacuated(ZoneId("kigali-a"), true);
  BOOST_TEST(usable() == 0U);
}

BOOST_AUTO_TEST_CASE(endpointsAreCheckedAfterAnEvacuation) {
  View.putEndpoint(endpoint("a"));
  View.setEvacuated(ZoneId("kigali-a"), true);
  BOOST_TEST(MaybeCold.empty());
  View.setEvacuated(ZoneId("kigali-a"), false);
  BOOST_TEST((MaybeCold ==
              std::vector<EndpointKey>{endpointKeyOf(EndpointId("a"), 1)}));
}

BOOST_AUTO_TEST_CASE(entryThatLapsedInAnOutageMayReturn) {
  View.putEndpoint(endpoint("a"));
  View.removeEndpoint(EndpointId("a"), 2s);
  Time.runFor(1s);
  View.tick();
  BOOST_TEST(usable() == 1U);
  View.putEndpoint(endpoint("a"));
  Time.runFor(3s);
  View.tick();
  BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(entryThatDoesNotReturnIsRemoved) {
  View.putEndpoint(endpoint("a"));
  View.removeEndpoint(EndpointId("a"), 2s);
  Time.runFor(2100ms);
  View.tick();
  BOOST_TEST(usable() == 0U);
  BOOST_TEST(Ended.size() == 1U);
}

BOOST_AUTO_TEST_CASE(sameIdWithAnotherStartTimeIsAnotherEndpoint) {
  View.putEndpoint(endpoint("a", 1));
  View.noteMoved(EndpointId("a"));
  BOOST_TEST(usable() == 0U);
  View.putEndpoint(endpoint("a", 2));
  BOOST_TEST(usable() == 1U);
  BOOST_TEST(
      (Ended == std::vector<EndpointKey>{endpointKeyOf(EndpointId("a"), 1)}));
}

BOOST_AUTO_TEST_CASE(longestMatchingPrefixIsChosen) {
  FleetTables T;
  for (const char *Prefix : {"/a/", "/a/b/", "/"}) {
    FleetRoute Route;
    Route.Name = RouteName(Prefix);
    Route.Host = "x.example";
    Route.PathPrefix = Prefix;
    T.Routes.push_back(Route);
  }
  BOOST_TEST(T.find("x.example", "/a/b/c?d=/a/")->Name.str() == "/a/b/");
  BOOST_TEST(T.find("x.example", "/a/bc")->Name.str() == "/a/");
  BOOST_TEST((T.find("y.example", "/a/b/") == nullptr));
}

BOOST_AUTO_TEST_CASE(leavingReportAppliesUntilTheEndpointRestarts) {
  View.putEndpoint(endpoint("a"));
  View.applyReport({endpoint("a").Key, true, {}, "10.0.0.1"});
  BOOST_TEST(usable() == 0U);
  // Meanwhile its entry may be written again, or lapse and return.
  View.putEndpoint(endpoint("a"));
  BOOST_TEST(usable() == 0U);
  View.removeEndpoint(EndpointId("a"), 0ms);
  View.putEndpoint(endpoint("a"));
  BOOST_TEST(usable() == 0U);
  View.putEndpoint(endpoint("a", 2));
  BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(reportMayComeBeforeTheEntry) {
  View.applyReport({endpoint("a").Key, true, {}, "10.0.0.1"});
  View.putEndpoint(endpoint("a"));
  BOOST_TEST(usable() == 0U);
}

BOOST_AUTO_TEST_CASE(coldTimeOfAnyLengthFits) {
  View.putEndpoint(endpoint("a"));
  const FleetEndpoint *E = View.endpoint(EndpointId("a"));
  View.noteCold(E->Id, std::chrono::milliseconds::max());
  BOOST_TEST((E->ColdUntil > Time.now()));
  View.noteCold(E->Id, std::chrono::milliseconds::min());
  BOOST_TEST((E->ColdUntil == Time.now()));
}

BOOST_AUTO_TEST_CASE(backOffEndsByItself) {
  View.putEndpoint(endpoint("a"));
  EndpointKey Key = endpoint("a").Key;
  BOOST_TEST((View.backOffOf(Key) == 0ms));
  View.applyReport({Key, false, 300ms, "10.0.0.1"});
  View.applyReport({Key, false, 100ms, "10.0.0.2"});
  Time.runFor(200ms);
  BOOST_TEST((View.backOffOf(Key) == 100ms));
  Time.runFor(100ms);
  BOOST_TEST((View.backOffOf(Key) == 0ms));
}

// Guards against logs that do not show whether a request ran outside its home
// regions; without restricted routes the line stays as it was.
BOOST_AUTO_TEST_CASE(adoptedTablesAreLoggedWithHomeRegions) {
  std::string Detail;
  FleetView Logged(Time.runtime(), {[&Detail](const ViewChange &Change) {
                                      Detail = Change.Detail;
                                    },
                                    nullptr, nullptr});
  auto RouteOf = [](const std::string &Name, const HomeRegions &Homes) {
    FleetRoute Route;
    Route.Name = RouteName(Name);
    Route.Homes = Homes;
    return Route;
  };
  FleetTables T = tables(1);
  T.Routes = {RouteOf("open", {})};
  Logged.adoptTables(T);
  BOOST_TEST(Detail == "routes=1");

  T.Version = 2;
  T.Routes.push_back(RouteOf(
      "records", HomeRegions::only({RegionId("kigali"), RegionId("oslo")})));
  T.Routes.push_back(RouteOf("closed", HomeRegions::only({})));
  Logged.adoptTables(T);
  BOOST_TEST(Detail == "routes=3 homes=[records: kigali oslo; closed: none]");

  T.Version = 3;
  T.Routes.assign(45, RouteOf("r", HomeRegions::only({RegionId("oslo")})));
  Logged.adoptTables(T);
  BOOST_TEST(Detail.ends_with("r: oslo; 5 more]"));
  BOOST_TEST(std::count(Detail.begin(), Detail.end(), ':') == 40);
}

BOOST_AUTO_TEST_SUITE_END()
