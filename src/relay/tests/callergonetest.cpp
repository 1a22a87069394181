#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawCaller;
using testing::RawServer;

namespace {

/// A host on virtual time whose callers leave.
class LeftHost : public testing::VirtualTimeRelay {
public:
  /// Sends a request and closes the connection behind it, before the host
  /// handles either. Runs until the host has ended the request.
  void askAndLeave(const std::string &Request) {
    std::size_t Before = Done.size();
    RawCaller C(Loop, Front.address().str(), Request);
    C.close();
    runUntilHolds([&] { return Done.size() > Before; });
    // What was sent by mistake arrives.
    runReady();
  }
};

RawServer::Answer done(const std::string &Request) {
  return testing::RelayFixture::ran(Request, "done");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerGoneTests, LeftHost)

// GONE: a host that reads late finds a request and its caller's close together,
// and an idle connection is at hand.
BOOST_AUTO_TEST_CASE(requestWhoseCallerHasClosedIsNotSent) {
  RawServer &E = addEndpoint("a", "plain", done);
  ask(request("look"));
  BOOST_REQUIRE(E.Requests.size() == 1U);
  askAndLeave(request("look"));
  BOOST_TEST(E.Requests.size() == 1U);
  BOOST_TEST(Done.back().Outcome == "caller_left");
  askAndLeave(request("book"));
  BOOST_TEST(E.Requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(requestWhoseCallerHasClosedIsNotForwarded) {
  RawServer &Other = addOtherHost("plain", done);
  ask(request("look"));
  BOOST_REQUIRE(Other.Requests.size() == 1U);
  askAndLeave(request("look"));
  BOOST_TEST(Other.Requests.size() == 1U);
  BOOST_TEST(Done.back().Outcome == "caller_left");
}

// GONE: the close lies behind more bytes than the host reads ahead.
BOOST_AUTO_TEST_CASE(closeBehindUnreadBytesIsNoticed) {
  RawServer &E = addEndpoint(
      "a", "plain", [](const std::string &) { return RawServer::Answer{}; });
  RawCaller C(Loop, Front.address().str(),
              request("book") + request("book", {}, std::string(100000, 'x')));
  runUntilHolds([&] { return E.Requests.size() == 1; });
  C.close();
  for (int Step = 0; Step < 10 && Done.empty(); ++Step) {
    Now += std::chrono::milliseconds(50);
    runReady();
  }
  BOOST_REQUIRE(Done.size() == 1U);
  BOOST_TEST(Done.back().Outcome == "caller_left");
  BOOST_TEST(E.ClosedByPeer == 1U);
}

// GONE: the first host ends its call while the request waits at the second.
BOOST_AUTO_TEST_CASE(requestThatWaitsIsDroppedWhenItsCallerLeaves) {
  for (bool FromHost : {false, true}) {
    LeftHost Tested;
    RawServer &E = Tested.addEndpoint("a", "plain", done);
    Tested.takeSlots("a");
    HttpServer Server(Tested.Loop, [&](HttpServerRequest R, auto Answer) {
      relayRequest(Tested.Context, std::move(R), std::move(Answer), FromHost);
    });
    BOOST_REQUIRE(Server.listen(Address("127.0.0.1:0")));
    RawCaller C(Tested.Loop, Server.address().str(), Tested.request("look"));
    Tested.runUntilHolds([&] { return Tested.Decisions.queue().size() == 1; });
    C.close();
    Tested.runUntilHolds([&] { return Tested.Done.size() == 1; });
    BOOST_TEST(Tested.Done.back().LeftWhile == "queued");
    BOOST_TEST(Tested.Decisions.queue().size() == 0U);
    Tested.freeSlots();
    Tested.Now += std::chrono::milliseconds(50);
    Tested.runReady();
    BOOST_TEST(E.Requests.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
