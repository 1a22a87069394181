#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawServer;

namespace {

using std::chrono::milliseconds;

/// A base class, so that it exists before the host that reads it.
struct VirtualClock {
  TimePoint Now{std::chrono::seconds(1000)};
};

/// A host on virtual time with a window of one second for its retry budget and
/// slack that it may use.
class RetryingHost : public VirtualClock, public testing::RelayFixture {
public:
  RetryingHost() : RelayFixture([this] { return Now; }) {
    Decisions.setRetryBounds({1, std::chrono::seconds(1), 100});
    Now += std::chrono::seconds(SharedRetryBudget::WindowsWithoutSlack);
  }

  /// Adds an endpoint whose slots are taken by others.
  RawServer &addBusyEndpoint() {
    RawServer &E = addEndpoint(
        "busy", "plain", [](const std::string &R) { return ran(R, "done"); });
    for (int Slot = 0; Slot < 8; ++Slot)
      Taken_.push_back(Decisions.loads().recordStart(
          endpointKeyOf(EndpointId("busy"), 1), {}));
    return E;
  }

  void freeBusyEndpoint() {
    for (DispatchId Id : Taken_)
      Decisions.loads().recordEnd(Id);
  }

  /// Runs handlers and due timers until the condition holds.
  void runUntilHolds(const std::function<bool()> &Holds) {
    testing::runUntil(Loop, [&] {
      Loop.timers().runDue(Now);
      return Holds();
    });
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

private:
  std::vector<DispatchId> Taken_;
};

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
  RawServer &Busy = addBusyEndpoint();
  testing::RawCaller C(Loop, Front.address().str(), request("look"));
  runUntilHolds([&] { return Decisions.queue().size() == 1; });
  Now += milliseconds(1500);
  freeBusyEndpoint();
  runUntilHolds([&] { return Busy.Requests.size() == 1; });
  BOOST_TEST(extraSends() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
