#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawServer;

namespace {

using std::chrono::milliseconds;

/// A host on virtual time with a window of one second for its retry budget and
/// slack that it may use.
class RetryingHost : public testing::VirtualTimeRelay {
public:
  RetryingHost() {
    Decisions.setRetryBounds({1, std::chrono::seconds(1), 100});
    Now += std::chrono::seconds(SharedRetryBudget::WindowsWithoutSlack);
  }

  /// Extra sends that the budget counts in the window that ends now.
  double extraSends() {
    RequestDescriptor Request;
    Request.Deadline = Now + std::chrono::seconds(1);
    FleetRoute Route;
    Route.Kind = RepeatKind::Idempotent;
    Route.MaxEndpoints = 2;
    AttemptLog Log;
    Log.Pool = PoolName("plain");
    return Decisions.mayRetry(Request, Route, Log).Budget.value().Extra;
  }
};

RawServer::Answer hostRefusal(const std::string &Request,
                              const std::string &Extra) {
  return {"HTTP/1.1 503 No\r\nRequest-Id: " +
              testing::RelayFixture::field(Request, "Request-Id") + "\r\n" +
              NotRunField + ": 1\r\n" + Extra + "Content-Length: 0\r\n\r\n",
          false, false};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(RetryChargeTests, RetryingHost)

// BUDGET: retries that wait for an endpoint all arrive in a later window than
// the one in which they were counted.
BOOST_AUTO_TEST_CASE(retryCountsWhenItIsSent) {
  addEndpoint("failing", "plain", [](const std::string &R) {
    return RawServer::Answer{
        "HTTP/1.1 500 No\r\nRequest-Id: " + field(R, "Request-Id") +
            "\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
        false, false};
  });
  RawServer &Busy = addEndpoint(
      "busy", "plain", [](const std::string &R) { return ran(R, "done"); });
  takeSlots("busy");
  testing::RawCaller C(Loop, Front.address().str(), request("look"));
  runUntilHolds([&] { return Decisions.queue().size() == 1; });
  Now += milliseconds(1500);
  freeSlots();
  runUntilHolds([&] { return Busy.Requests.size() == 1; });
  BOOST_TEST(extraSends() == 1);
}

// BUDGET: another host refuses a request that one of its endpoints refused. One
// that no endpoint got does not count.
BOOST_AUTO_TEST_CASE(sendAfterAnotherHostsEndpointRefusedCounts) {
  for (bool Arrived : {true, false}) {
    RetryingHost Tested;
    RawServer *Endpoint = nullptr;
    Tested.addOtherHost("plain", [&](const std::string &R) {
      Endpoint = &Tested.addEndpoint(
          "new", "plain", [](const std::string &Q) { return ran(Q, "done"); });
      return hostRefusal(R, Arrived ? "Celerybeam-Arrived: 1\r\n" : "");
    });
    testing::RawCaller C(Tested.Loop, Tested.Front.address().str(),
                         Tested.request("look"));
    Tested.runUntilHolds([&] { return !C.received().empty(); });
    BOOST_REQUIRE(Endpoint != nullptr);
    BOOST_TEST(Endpoint->Requests.size() == 1U);
    BOOST_TEST(Tested.extraSends() == (Arrived ? 1 : 0));
  }
}

BOOST_AUTO_TEST_CASE(refusalTellsAnotherHostThatTheRequestReachedAnEndpoint) {
  for (bool Refuses : {true, false}) {
    RetryingHost Tested;
    if (Refuses)
      Tested.addEndpoint("full", "plain", [](const std::string &R) {
        return RawServer::Answer{
            "HTTP/1.1 503 No\r\nRequest-Id: " + field(R, "Request-Id") +
                "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            false, false};
      });
    HttpServer FromHosts(Tested.Loop, [&](HttpServerRequest R, auto Answer) {
      relayRequest(Tested.Context, std::move(R), std::move(Answer), true);
    });
    BOOST_REQUIRE(FromHosts.listen(Address("127.0.0.1:0")));
    testing::RawCaller C(Tested.Loop, FromHosts.address().str(),
                         Tested.request("look"));
    Tested.runUntilHolds([&] { return !C.received().empty(); });
    BOOST_TEST(C.received().starts_with("HTTP/1.1 503"));
    BOOST_TEST(field(C.received(), "Celerybeam-Arrived") ==
               (Refuses ? "1" : ""));
  }
}

BOOST_AUTO_TEST_SUITE_END()
