#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;

namespace {

using std::chrono::milliseconds;

/// An endpoint that answers when the test says so.
class HeldEndpoint {
public:
  HeldEndpoint(testing::RelayFixture &Host, const std::string &Id,
               const std::string &Pool)
      : Key(endpointKeyOf(EndpointId(Id), 1)),
        Server_(Host.Loop, [this](const HttpServerRequest &R, auto Exchange) {
          Id_ = findField(R.Head.Fields, "Request-Id").value_or("");
          Exchange_ = Exchange;
          Exchange_->onDisconnect([this] { ++Cancelled; });
          ++Received;
        }) {
    BOOST_REQUIRE(Server_.listen(Address("127.0.0.1:0")));
    Host.addEndpointAt(Id, Pool, Server_.address().str());
  }

  HttpResponseHead head(unsigned Status) const {
    return {Status, {{"Request-Id", Id_}, {"Signature", "s"}}};
  }
  void answer(unsigned Status, const std::string &Body) {
    Exchange_->respond(head(Status), Body);
  }
  HttpExchange &exchange() { return *Exchange_; }

  EndpointKey Key;
  unsigned Received = 0;
  unsigned Cancelled = 0;

private:
  std::string Id_;
  std::shared_ptr<HttpExchange> Exchange_;
  HttpServer Server_;
};

/// A host that has seen all first outputs as predicted, so that hedges are due
/// once the predicted time has passed: 60 ms in the pool "plain".
class HedgingHost : public testing::VirtualTimeRelay {
public:
  HedgingHost() { learn(0.02); }

  void learn(double Share) {
    Context.Hedges.setShare(Share);
    for (const char *Pool : {"plain", "engines"})
      for (int I = 0; I < 60; ++I) {
        Context.Hedges.countRequest(PoolName(Pool));
        Context.Hedges.observe(PoolName(Pool), milliseconds(60),
                               milliseconds(60));
      }
  }

  /// Sends a request that the endpoint "first" receives and adds "second".
  void begin(const std::string &Route) {
    Pool = Route == "look" || Route == "book" ? "plain" : "engines";
    First.emplace(*this, "first", Pool);
    Caller_.emplace(Loop, Front.address().str(), request(Route));
    runUntilHolds([&] { return First->Received == 1; });
    Second.emplace(*this, "second", Pool);
  }

  /// The same, and waits for the hedge.
  void beginHedged(const std::string &Route) {
    begin(Route);
    Now += milliseconds(90);
    runUntilHolds([&] { return Second->Received == 1; });
    BOOST_TEST(First->Cancelled == 0U);
  }

  void pass(milliseconds Span) {
    Now += Span;
    runUntilIdle();
  }

  void leave() { Caller_->close(); }

  std::string response() {
    runUntilHolds([&] { return Done.size() == 1; });
    runUntilIdle();
    return Caller_->received();
  }

  /// Extra sends that the retry budget counts.
  double extraSends() {
    RequestDescriptor Request;
    Request.Deadline = Now + std::chrono::seconds(1);
    FleetRoute Route;
    Route.Kind = RepeatKind::Idempotent;
    Route.MaxEndpoints = 2;
    AttemptLog Log;
    Log.Pool = PoolName(Pool);
    return Decisions.mayRetry(Request, Route, Log).Budget.value().Extra;
  }

  unsigned inFlight(const HeldEndpoint &Endpoint) {
    return Decisions.loads().at(Endpoint.Key).InFlight;
  }

  std::string Pool;
  std::optional<HeldEndpoint> First;
  std::optional<HeldEndpoint> Second;

private:
  std::optional<testing::RawCaller> Caller_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HedgeTests, HedgingHost)

BOOST_AUTO_TEST_CASE(hedgeAnswersForASlowEndpoint) {
  begin("look");
  pass(milliseconds(50));
  BOOST_TEST(Second->Received == 0U);
  BOOST_TEST(extraSends() == 0);
  pass(milliseconds(40));
  BOOST_TEST(Second->Received == 1U);
  BOOST_TEST(extraSends() == 1);
  Second->answer(200, "second");
  BOOST_TEST(response().ends_with("second"));
  BOOST_TEST(First->Cancelled == 1U);
  BOOST_TEST(inFlight(*First) == 0U);
  BOOST_TEST(inFlight(*Second) == 0U);
  BOOST_TEST(Done.front().Sends == 2U);
}

// Guards against a hedge that keeps a slot after the first send has answered.
BOOST_AUTO_TEST_CASE(hedgeIsCancelledWhenTheFirstSendAnswers) {
  beginHedged("look");
  First->answer(200, "first");
  BOOST_TEST(response().ends_with("first"));
  BOOST_TEST(Second->Cancelled == 1U);
  BOOST_TEST(inFlight(*First) == 0U);
  BOOST_TEST(inFlight(*Second) == 0U);
}

// Guards against a stream that is put together from two runs.
BOOST_AUTO_TEST_CASE(streamIsTakenFromTheRunWithTheFirstEvent) {
  for (bool HedgeWins : {true, false}) {
    HedgingHost Tested;
    Tested.beginHedged("ask");
    HeldEndpoint &Winner = HedgeWins ? *Tested.Second : *Tested.First;
    HeldEndpoint &Loser = HedgeWins ? *Tested.First : *Tested.Second;
    Winner.exchange().beginStream(Winner.head(200));
    Winner.exchange().streamPiece("id: 1\ndata: won\n\n");
    Tested.runUntilHolds([&] { return Loser.Cancelled == 1; });
    BOOST_TEST(Tested.inFlight(Loser) == 0U);
    BOOST_TEST(Tested.inFlight(Winner) == 1U);
    Winner.exchange().streamPiece("id: 2\ndata: also\n\n");
    Winner.exchange().endStream();
    std::string Got = Tested.response();
    BOOST_TEST(Got.find("data: won") != std::string::npos);
    BOOST_TEST(Got.find("data: also") != std::string::npos);
    BOOST_TEST(Tested.Done.front().Status == 200U);
    BOOST_TEST(Tested.inFlight(Winner) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(oneSendFailsAndTheOtherAnswers) {
  for (bool HedgeFails : {true, false})
    for (bool Breaks : {true, false}) {
      HedgingHost Tested;
      Tested.beginHedged("look");
      HeldEndpoint &Failing = HedgeFails ? *Tested.Second : *Tested.First;
      HeldEndpoint &Sound = HedgeFails ? *Tested.First : *Tested.Second;
      Breaks ? Failing.exchange().abort() : Failing.answer(500, "failed");
      Tested.runUntilHolds([&] { return Tested.inFlight(Failing) == 0; });
      BOOST_TEST(Tested.Done.empty());
      BOOST_TEST(Sound.Cancelled == 0U);
      Sound.answer(200, "sound");
      BOOST_TEST(Tested.response().ends_with("sound"));
      BOOST_TEST(Tested.inFlight(Sound) == 0U);
      BOOST_TEST(Tested.extraSends() == 1);
    }
}

// Guards against a third run, beyond what the route allows.
BOOST_AUTO_TEST_CASE(bothSendsFailAndTheRequestIsNotSentAgain) {
  beginHedged("look");
  HeldEndpoint Third(*this, "third", Pool);
  Second->exchange().abort();
  runUntilHolds([&] { return inFlight(*Second) == 0; });
  First->exchange().abort();
  BOOST_TEST(response().starts_with("HTTP/1.1 502"));
  BOOST_TEST(Third.Received == 0U);
}

BOOST_AUTO_TEST_CASE(bothSendsAreCancelledWhenTheCallerLeavesOrTimeIsUp) {
  for (bool Leaves : {true, false}) {
    HedgingHost Tested;
    Tested.beginHedged("look");
    if (Leaves)
      Tested.leave();
    else
      Tested.Now += std::chrono::seconds(11);
    BOOST_TEST(Tested.response().starts_with(Leaves ? "" : "HTTP/1.1 504"));
    for (HeldEndpoint *Endpoint : {&*Tested.First, &*Tested.Second}) {
      BOOST_TEST(Endpoint->Cancelled == 1U);
      BOOST_TEST(Tested.inFlight(*Endpoint) == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(nothingIsHedgedWithoutBudgetOrFreeSlot) {
  for (const char *Case :
       {"off", "share", "retries", "tables", "full", "suspect"}) {
    BOOST_TEST_CONTEXT(Case) {
      std::string Name = Case;
      HedgingHost Tested;
      if (Name == "off")
        Tested.learn(0);
      if (Name == "retries")
        Tested.Decisions.setRetryBounds({0, std::chrono::seconds(10), 0});
      if (Name == "tables")
        Tested.Context.Hooks.TablesInclude = [](TimePoint) { return false; };
      while (Name == "share" && Tested.Context.Hedges.take(PoolName("plain"))) {
      }
      // An ordinary placement would use it for a trial.
      if (Name == "suspect")
        Tested.Decisions.health().markSuspect(
            endpointKeyOf(EndpointId("second"), 1));
      Tested.Now += std::chrono::seconds(5);
      Tested.begin("look");
      if (Name == "full")
        Tested.takeSlots("second");
      // An attempt counts as stalled after three times the prediction and
      // 400 ms.
      Tested.pass(milliseconds(90));
      Tested.pass(milliseconds(400));
      BOOST_TEST(Tested.Second->Received == 0U);
      Tested.First->answer(200, "first");
      BOOST_TEST(Tested.response().ends_with("first"));
      BOOST_TEST(Tested.Done.front().Sends == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(onlyRepeatableRequestsAreHedged) {
  for (const char *Route : {"book", "draft"}) {
    HedgingHost Tested;
    Tested.begin(Route);
    Tested.pass(milliseconds(90));
    Tested.pass(milliseconds(1000));
    BOOST_TEST(Tested.Second->Received == 0U);
    Tested.First->answer(200, "first");
    Tested.response();
  }
}

BOOST_AUTO_TEST_SUITE_END()
