#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawServer;

namespace {

/// A host in kigali to which other hosts forward requests.
class Fixture : public testing::RelayFixture {
public:
  Fixture()
      : FromHosts(Loop, [this](HttpServerRequest Request, auto Answer) {
          relayRequest(Context, std::move(Request), std::move(Answer), true);
        }) {
    BOOST_REQUIRE(FromHosts.listen(Address("127.0.0.1:0")));
    Context.Hooks.FetchTables = [this](const std::string &Ip) {
      if (std::exchange(AskedIp, Ip).empty() && AnswersFetch)
        Time.After(std::chrono::milliseconds(30), [this] { adoptNewer(); });
    };
  }

  /// Puts tables in force in which "look" belongs to the pool of the engines,
  /// or may run once at most.
  void adoptNewer() {
    FleetTables Tables = *Fleet.tables();
    ++Tables.Version;
    for (FleetRoute &Route : Tables.Routes) {
      if (Route.Name != RouteName("look"))
        continue;
      if (MovesRoute)
        Route.Pools = {{PoolName("engines"), 1}};
      else
        Route.Kind = RepeatKind::AtMostOnce;
    }
    bool Adopted = Fleet.adoptTables(std::move(Tables));
    BOOST_REQUIRE(Adopted);
  }

  /// The response to a request that a host with these tables forwards.
  std::string forward(unsigned TablesVersion) {
    testing::RawCaller C(
        Loop, FromHosts.address().str(),
        request("look", "Celerybeam-Runs: 2\r\nCelerybeam-Tables: " +
                            std::to_string(TablesVersion) +
                            "\r\nCelerybeam-Host: 127.0.0.9\r\n"));
    testing::runUntil(Loop, [&] { return Done.size() == 1; });
    testing::runUntil(Loop, [&] {
      return C.received().find("\r\n\r\n") != std::string::npos;
    });
    return C.received();
  }

  HttpServer FromHosts;
  std::string AskedIp;
  bool AnswersFetch = true;
  bool MovesRoute = false;
};

RawServer::Answer failed(const std::string &Request) {
  return {"HTTP/1.1 500 No\r\nRequest-Id: " +
              testing::RelayFixture::field(Request, "Request-Id") +
              "\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
          false, false};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ForwardedTablesTests, Fixture)

// TWICE: by the sender's newer tables the request may run once at most.
BOOST_AUTO_TEST_CASE(forwardedRequestIsNotRepeatedByOlderTables) {
  RawServer &A = addEndpoint("a", "plain", failed);
  RawServer &B = addEndpoint("b", "plain", failed);
  // A caller's request counts for the retry budget.
  ask(request("look"));
  BOOST_REQUIRE(A.Requests.size() + B.Requests.size() == 2U);
  A.Requests.clear();
  B.Requests.clear();
  Done.clear();
  BOOST_TEST(forward(2).starts_with("HTTP/1.1 500"));
  BOOST_TEST(A.Requests.size() + B.Requests.size() == 1U);
  BOOST_TEST(AskedIp == "127.0.0.9");
  BOOST_TEST(Done[0].TablesVersion == 2U);
  BOOST_TEST(Done[0].SenderTables == 2U);
}

// CONFIG: by the sender's newer tables the route belongs to another pool.
BOOST_AUTO_TEST_CASE(forwardedRequestIsNotRunByOlderTables) {
  MovesRoute = true;
  RawServer &Old = addEndpoint(
      "a", "plain", [](const std::string &R) { return ran(R, "old"); });
  RawServer &New = addEndpoint(
      "b", "engines", [](const std::string &R) { return ran(R, "new"); });
  BOOST_TEST(forward(2).starts_with("HTTP/1.1 200"));
  BOOST_TEST(Old.Requests.empty());
  BOOST_TEST(New.Requests.size() == 1U);
}

// The sender can try elsewhere: nothing has run.
BOOST_AUTO_TEST_CASE(forwardedRequestIsRefusedWithoutTheSendersTables) {
  AnswersFetch = false;
  RawServer &A = addEndpoint("a", "plain", failed);
  std::string Answer = forward(2);
  BOOST_TEST(Answer.starts_with("HTTP/1.1 503"));
  BOOST_TEST(!field(Answer, NotRunField).empty());
  BOOST_TEST(A.Requests.empty());
  BOOST_TEST(Done[0].Outcome == "tables_older_than_senders");
}

BOOST_AUTO_TEST_CASE(forwardedRequestDoesNotWaitForKnownTables) {
  adoptNewer();
  addEndpoint("a", "plain",
              [](const std::string &R) { return ran(R, "done"); });
  BOOST_TEST(forward(1).starts_with("HTTP/1.1 200"));
  BOOST_TEST(AskedIp.empty());
}

BOOST_AUTO_TEST_SUITE_END()
