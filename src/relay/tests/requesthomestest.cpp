#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawServer;

namespace {

const RegionId Kigali("kigali");
const RegionId Musanze("musanze");

/// A host in kigali that hears of another one in musanze.
class Fixture : public testing::RelayFixture {
public:
  Fixture()
      : FromHosts(Loop, [this](HttpServerRequest Request, auto Answer) {
          relayRequest(Context, std::move(Request), std::move(Answer), true);
        }) {
    BOOST_REQUIRE(FromHosts.listen(Address("127.0.0.1:0")));
  }

  /// Puts tables in force in which the routes have other homes.
  void moveHomes(const HomeRegions &Homes) {
    FleetTables Tables = *Fleet.tables();
    ++Tables.Version;
    for (FleetRoute &Route : Tables.Routes)
      Route.Homes = Homes;
    bool Adopted = Fleet.adoptTables(std::move(Tables));
    BOOST_REQUIRE(Adopted);
  }

  RawServer &addEndpointIn(const std::string &Id) {
    return addEndpoint(Id, "plain",
                       [](const std::string &R) { return ran(R, "done"); });
  }

  RawServer &addOtherHost() {
    return RelayFixture::addOtherHost(
        "plain", [](const std::string &R) { return ran(R, "done"); });
  }

  /// Sends a request and returns while the connect to where it is sent is in
  /// progress.
  std::unique_ptr<testing::RawCaller> sendUntilConnect() {
    auto C = std::make_unique<testing::RawCaller>(Loop, Front.address().str(),
                                                  request("book"));
    while (Caller.connectionsMade() == 0)
      Loop.context().run_one();
    return C;
  }

  void awaitEnd() {
    testing::runUntil(Loop, [&] { return Done.size() == 1; });
  }

  /// The response to a request that another host forwards.
  std::string askFromHost(const std::string &Extra) {
    testing::RawCaller C(Loop, FromHosts.address().str(),
                         request("book", Extra));
    testing::runUntil(Loop, [&] {
      return C.received().find("\r\n\r\n") != std::string::npos;
    });
    return C.received();
  }

  HttpServer FromHosts;
};

bool hasStatus(const std::string &Answer, const char *Status) {
  return Answer.starts_with(std::string("HTTP/1.1 ") + Status);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestHomesTests, Fixture)

// HOME: the homes changed while the request waited to be sent.
BOOST_AUTO_TEST_CASE(requestDoesNotRunOutsideHomesThatChangedBeforeItWasSent) {
  RawServer &E = addEndpointIn("a");
  auto C = sendUntilConnect();
  moveHomes(HomeRegions::only({Musanze}));
  awaitEnd();
  BOOST_TEST(E.Requests.empty());
  BOOST_TEST(Done[0].Status == 503U);
}

// HOME: the homes changed while another endpoint had the request.
BOOST_AUTO_TEST_CASE(secondAttemptFollowsTheHomesOfNewerTables) {
  unsigned Sent = 0;
  auto MoveAndRefuse = [&](const std::string &) {
    if (++Sent == 1)
      moveHomes(HomeRegions::only({Musanze}));
    return RawServer::Answer{"HTTP/1.1 503 No\r\nNot-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n",
                             false, false};
  };
  addEndpoint("a", "plain", MoveAndRefuse);
  addEndpoint("b", "plain", MoveAndRefuse);
  BOOST_TEST(hasStatus(ask(request("book")), "503"));
  BOOST_TEST(Sent == 1U);
}

// HOME: the request goes where the newer tables allow it.
BOOST_AUTO_TEST_CASE(requestIsForwardedToItsNewHome) {
  RawServer &E = addEndpointIn("a");
  RawServer &Other = addOtherHost();
  auto C = sendUntilConnect();
  moveHomes(HomeRegions::only({Musanze}));
  awaitEnd();
  BOOST_TEST(E.Requests.empty());
  BOOST_TEST(Other.Requests.size() == 1U);
  BOOST_TEST(Done[0].Status == 200U);
}

// HOME: the body is not sent to a region that is no home any more.
BOOST_AUTO_TEST_CASE(requestIsNotForwardedOutsideHomesThatChanged) {
  RawServer &Other = addOtherHost();
  auto C = sendUntilConnect();
  moveHomes(HomeRegions::only({Kigali}));
  awaitEnd();
  BOOST_TEST(Other.Requests.empty());
  BOOST_TEST(Done[0].Status == 503U);
}

// HOME: the host that receives a forwarded request has older tables.
BOOST_AUTO_TEST_CASE(forwardedRequestKeepsTheHomesOfTheSendersNewerTables) {
  RawServer &E = addEndpointIn("a");
  std::string Answer = askFromHost("Celerybeam-Tables: 2\r\n"
                                   "Celerybeam-Homes: musanze\r\n");
  BOOST_TEST(hasStatus(Answer, "503"));
  BOOST_TEST(!field(Answer, NotRunField).empty());
  BOOST_TEST(E.Requests.empty());
}

BOOST_AUTO_TEST_CASE(forwardedRequestFollowsTheReceiversNewerTables) {
  RawServer &E = addEndpointIn("a");
  moveHomes(HomeRegions::only({Kigali}));
  BOOST_TEST(hasStatus(askFromHost("Celerybeam-Tables: 1\r\n"
                                   "Celerybeam-Homes: musanze\r\n"),
                       "200"));
  BOOST_TEST(E.Requests.size() == 1U);
  BOOST_TEST(field(E.Requests[0], "Celerybeam-Homes").empty());
  BOOST_TEST(field(E.Requests[0], "Celerybeam-Tables").empty());
}

BOOST_AUTO_TEST_CASE(forwardedRequestCarriesHomesAndVersion) {
  RawServer &Other = addOtherHost();
  moveHomes(HomeRegions::only({Musanze, Kigali}));
  BOOST_TEST(hasStatus(ask(request("book")), "200"));
  BOOST_REQUIRE(Other.Requests.size() == 1U);
  BOOST_TEST(field(Other.Requests[0], "Celerybeam-Tables") == "2");
  BOOST_TEST(field(Other.Requests[0], "Celerybeam-Homes") == "kigali musanze");
}

// HOME: the route was removed, and a shorter prefix with other homes is left.
BOOST_AUTO_TEST_CASE(removedRouteDoesNotTakeTheHomesOfAnotherRoute) {
  RawServer &E = addEndpointIn("a");
  RawServer &Other = addOtherHost();
  moveHomes(HomeRegions::only({Musanze}));
  auto C = sendUntilConnect();
  FleetTables Tables = *Fleet.tables();
  ++Tables.Version;
  Tables.Routes.resize(1);
  Tables.Routes[0].Name = RouteName("main");
  Tables.Routes[0].PathPrefix = "/";
  Tables.Routes[0].Homes = HomeRegions::only({Kigali});
  bool Adopted = Fleet.adoptTables(std::move(Tables));
  BOOST_REQUIRE(Adopted);
  awaitEnd();
  BOOST_TEST(E.Requests.empty());
  BOOST_TEST(Other.Requests.size() == 1U);
}

// A caller cannot set what hosts tell each other.
BOOST_AUTO_TEST_CASE(callersFieldsForHostsAreIgnored) {
  RawServer &E = addEndpointIn("a");
  BOOST_TEST(hasStatus(ask(request("book", "Celerybeam-Tables: 9\r\n"
                                           "Celerybeam-Homes: musanze\r\n")),
                       "200"));
  BOOST_REQUIRE(E.Requests.size() == 1U);
  BOOST_TEST(field(E.Requests[0], "Celerybeam-Tables").empty());
}

BOOST_AUTO_TEST_SUITE_END()
