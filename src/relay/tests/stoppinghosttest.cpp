#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawCaller;
using testing::RawServer;

namespace {

struct StoppedClock {
  TimePoint Now{std::chrono::hours(1)};
};

/// A host whose endpoint takes requests and does not answer them.
class StoppingHost : public StoppedClock, public testing::RelayFixture {
public:
  StoppingHost() : RelayFixture([this] { return Now; }) {}

  RawServer &addSilentEndpoint(const std::string &Pool,
                               const std::string &Start = {}) {
    return addEndpoint("e1", Pool, [Start](const std::string &Request) {
      return RawServer::Answer{
          Start.empty() ? "" : streamHead(Request) + renderChunk(Start), false,
          false};
    });
  }

  RawCaller &send(const std::string &Route) {
    return *Callers.emplace_back(std::make_unique<RawCaller>(
        Loop, Front.address().str(), request(Route)));
  }

  void stop() {
    BOOST_TEST(Context.Open.endAll() == Callers.size());
    for (const auto &Caller : Callers)
      testing::runUntil(Loop, [&] {
        return Caller->closed() ||
               Caller->received().find("\r\n\r\n") != std::string::npos;
      });
  }

  std::size_t answered(const std::string &Status) const {
    return static_cast<std::size_t>(
        std::count_if(Callers.begin(), Callers.end(), [&](const auto &Caller) {
          return Caller->received().starts_with("HTTP/1.1 " + Status);
        }));
  }

  std::vector<std::unique_ptr<RawCaller>> Callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoppingHostTests, StoppingHost)

BOOST_AUTO_TEST_CASE(queuedRequestsAreRefusedAndRunningOnesFail) {
  constexpr std::size_t Slots = 8;
  constexpr std::size_t Queued = 3;
  RawServer &Endpoint = addSilentEndpoint("plain");
  for (std::size_t I = 0; I < Slots + Queued; ++I)
    send("book");
  testing::runUntil(Loop, [&] {
    return Endpoint.Requests.size() == Slots &&
           Front.inFlight() == Slots + Queued;
  });
  stop();
  BOOST_TEST(answered("502") == Slots);
  BOOST_TEST(answered("503") == Queued);
  for (const auto &Caller : Callers)
    if (Caller->received().starts_with("HTTP/1.1 503"))
      BOOST_TEST(field(Caller->received(), "Retry-After") == "0.000");
  BOOST_TEST(Endpoint.Requests.size() == Slots);
  BOOST_TEST(Done.back().Outcome == "leaving");
}

BOOST_AUTO_TEST_CASE(runningStreamIsCut) {
  addSilentEndpoint("engines", "id: 1\ndata: t\n\n");
  RawCaller &Caller = send("draft");
  testing::runUntil(Loop, [&] {
    return Caller.received().find("data: t") != std::string::npos;
  });
  stop();
  testing::runUntil(Loop, [&] { return Caller.closed(); });
  BOOST_TEST(!Caller.received().ends_with(LastChunk));
  BOOST_TEST(Done.back().SentAs == "cut");
}

BOOST_AUTO_TEST_CASE(noRunBeginsWhenTheHostIsAboutToStop) {
  RawServer &Endpoint = addSilentEndpoint("plain");
  Context.StopsAt = Now;
  for (const char *Route : {"book", "look"}) {
    std::string Got = ask(request(Route));
    BOOST_TEST(Got.starts_with("HTTP/1.1 503"), Route);
    BOOST_TEST(field(Got, "Retry-After") == "0.000");
  }
  BOOST_TEST(Endpoint.Requests.empty());
}

BOOST_AUTO_TEST_CASE(timeLeftOfARequestEndsWhenTheHostStops) {
  std::string Head;
  addEndpoint("e1", "plain", [&](const std::string &Request) {
    Head = Request;
    return ran(Request, "booked");
  });
  Context.StopsAt = Now + std::chrono::milliseconds(2500);
  ask(request("book"));
  BOOST_TEST(field(Head, "Time-Left") == "2500");
}

BOOST_AUTO_TEST_CASE(lateRequestIsRefusedAlthoughTimersAreLate) {
  RawServer &Endpoint = addSilentEndpoint("plain");
  Context.RefusesFrom = Now + std::chrono::milliseconds(1500);
  Now += std::chrono::milliseconds(1500);
  BOOST_TEST(ask(request("book")).starts_with("HTTP/1.1 503"));
  BOOST_TEST(Endpoint.Requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()
