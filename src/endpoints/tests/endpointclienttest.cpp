#include "endpoints/endpointclient.h"

#include <boost/test/unit_test.hpp>

#include "fakes/fakeengine.h"
#include "fakes/fakerunner.h"
#include "httpclient/tests/awaited.h"
#include "httpclient/tests/recordedcall.h"

using namespace celerybeam;
using namespace celerybeam::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Now{seconds(1000)};
const std::string ChatPath = "/v1/chat/completions";

CallObserver observe(RecordedCall &Record) {
  ResponseHooks Hooks = Record.hooks();
  return {Hooks.Head, Hooks.Chunk, Hooks.End};
}

EndpointCall makeCall(const std::string &Where, std::string Path,
                      std::string Body) {
  EndpointCall Call;
  Call.Id = {RequestId("r/1"), 2};
  Call.Where = Address(Where);
  Call.Head.Method = "POST";
  Call.Head.Path = std::move(Path);
  Call.Body = std::make_shared<const std::string>(std::move(Body));
  Call.ConnectTimeout = seconds(5);
  Call.Timeout = seconds(30);
  return Call;
}

EndpointCall streamCall(const std::string &Where, unsigned Tokens) {
  return makeCall(Where, ChatPath,
                  R"({"model":"m@1","stream":true,"max_tokens":)" +
                      std::to_string(Tokens) +
                      R"(,"messages":[{"role":"user","content":"hi"}]})");
}

fakes::FakeEngineSettings engineSettings() {
  fakes::FakeEngineSettings S;
  S.Models = {"m@1"};
  S.FirstToken = S.TokenGap = milliseconds(1);
  return S;
}

fakes::FakeRunnerSettings runnerSettings() {
  fakes::FakeRunnerSettings S;
  S.WorkTime = milliseconds(1);
  return S;
}

struct Fixture {
  Fixture()
      : Engine(0, engineSettings()), Runner(0, runnerSettings()),
        Client(Http, [] { return Now; }), Calls(Client.hooks()) {}

  void setMode(const std::string &Address, const std::string &Mode) {
    request(Http, "PUT", Address, "/control/mode?mode=" + Mode);
  }
  Result<LoadPage> load(const std::string &Where) {
    Awaited<LoadPage> A;
    Calls.FetchLoad(EndpointId("e"), Address(Where), A.completion());
    return A.get();
  }
  void waitUntilIdle() {
    while (load(Engine.address()).value().Report.Running > 0)
      continue;
  }

  fakes::FakeEngine Engine;
  fakes::FakeRunner Runner;
  HttpClient Http;
  EndpointClient Client;
  EndpointHooks Calls;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointClientTests)

BOOST_FIXTURE_TEST_CASE(streamArrivesWholeAndResumesWithTheSameTokens,
                        Fixture) {
  RecordedCall Whole;
  Calls.Start(streamCall(Engine.address(), 20), observe(Whole));
  BOOST_TEST(!Whole.waitError().has_value());
  const ResponseHead Head = Whole.waitHead();
  BOOST_TEST(Head.Status == 200);
  BOOST_TEST(findHeader(Head.Headers, "x-request-id") == "r/1");
  BOOST_TEST(findHeader(Head.Headers, "x-attempt") == "2");
  BOOST_TEST(findHeader(Head.Headers, "x-load-running") == "1");
  BOOST_TEST(Whole.body().starts_with("id: 0\n"));
  BOOST_TEST(Whole.body().ends_with("data: [DONE]\n\n"));
  EndpointCall Rest = streamCall(Engine.address(), 20);
  Rest.Head.Headers = {{"x-resume-from", "15"}};
  RecordedCall Resumed;
  Calls.Start(Rest, observe(Resumed));
  BOOST_TEST(!Resumed.waitError().has_value());
  BOOST_TEST(Resumed.body().starts_with("id: 15\n"));
  BOOST_TEST(Whole.body().ends_with(Resumed.body()));
  BOOST_TEST(Client.counts().InFlight == 0);
}

BOOST_FIXTURE_TEST_CASE(responsesOfOtherExchangesAreDropped, Fixture) {
  setMode(Engine.address(), "crossed");
  RecordedCall Record;
  Calls.Start(streamCall(Engine.address(), 5), observe(Record));
  BOOST_TEST((Record.waitError() == ErrorKind::ConnectionLost));
  BOOST_TEST(Record.body().empty());
  BOOST_TEST(Client.counts().MismatchedResponses == 1);
}

BOOST_FIXTURE_TEST_CASE(cancelStopsTheWorkOfAStalledEngine, Fixture) {
  RecordedCall Record;
  EndpointCall Call = streamCall(Engine.address(), 1000000);
  Calls.Start(Call, observe(Record));
  Record.waitBody(1);
  setMode(Engine.address(), "stall");
  Calls.Cancel(Call.Id);
  Calls.Cancel(Call.Id);
  BOOST_TEST((Record.waitError() == ErrorKind::Cancelled));
  waitUntilIdle();
  BOOST_TEST(Client.counts().Cancellations == 1);
  BOOST_TEST(Record.ends() == 1);
}

BOOST_FIXTURE_TEST_CASE(timeoutStopsTheWorkOfTheEngine, Fixture) {
  EndpointCall Call = streamCall(Engine.address(), 1000000);
  Call.Timeout = seconds(1);
  RecordedCall Record;
  Calls.Start(Call, observe(Record));
  BOOST_TEST((Record.waitError() == ErrorKind::RequestTimeout));
  waitUntilIdle();
}

BOOST_FIXTURE_TEST_CASE(streamOfAStoppedEngineEndsWithConnectionLost, Fixture) {
  RecordedCall Record;
  Calls.Start(streamCall(Engine.address(), 1000000), observe(Record));
  Record.waitBody(1);
  Engine.stop();
  BOOST_TEST((Record.waitError() == ErrorKind::ConnectionLost));
  BOOST_TEST(Record.body().find("[DONE]") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(callsEndWithTheHttpClient) {
  fakes::FakeEngine Engine(0, engineSettings());
  RecordedCall Record;
  {
    HttpClient Http;
    EndpointClient Client(Http, [] { return Now; });
    Client.hooks().Start(streamCall(Engine.address(), 1000000),
                         observe(Record));
    Record.waitBody(1);
  }
  BOOST_TEST((Record.waitError() == ErrorKind::Cancelled));
}

BOOST_FIXTURE_TEST_CASE(pausedStreamGoesOnWhenResumed, Fixture) {
  RecordedCall Record;
  Record.pauseAfterChunk();
  EndpointCall Call = streamCall(Engine.address(), 50);
  Calls.Start(Call, observe(Record));
  Record.waitBody(1);
  Calls.Resume(Call.Id);
  BOOST_TEST(!Record.waitError().has_value());
  BOOST_TEST(Record.body().ends_with("data: [DONE]\n\n"));
}

BOOST_FIXTURE_TEST_CASE(refusalsOfADrainingEngineAreForwarded, Fixture) {
  setMode(Engine.address(), "leaving");
  RecordedCall Record;
  Calls.Start(streamCall(Engine.address(), 5), observe(Record));
  BOOST_TEST(!Record.waitError().has_value());
  BOOST_TEST(Record.waitHead().Status == 503);
  BOOST_TEST(findHeader(Record.waitHead().Headers, "x-endpoint-leaving") ==
             "1");
  BOOST_TEST(load(Engine.address()).value().Leaving);
}

BOOST_FIXTURE_TEST_CASE(bookingsUseFreshConnections, Fixture) {
  for (const char *Key : {"a", "b"}) {
    EndpointCall Call = makeCall(Runner.address(), "/slots/7", "{}");
    Call.Head.Headers = {{"idempotency-key", Key}};
    RecordedCall Record;
    Calls.Start(Call, observe(Record));
    BOOST_TEST(!Record.waitError().has_value());
    BOOST_TEST(Record.waitHead().Status == 200);
  }
  BOOST_TEST(Http.counts().Connections == 2);
  BOOST_TEST(request(Http, "GET", Runner.address(), "/control/executions") ==
             R"({"a":1,"b":1})");
}

BOOST_AUTO_TEST_CASE(requestCarriesItsExchangeIdAndTimeout) {
  std::promise<fakes::FakeRequest> Seen;
  fakes::FakeServer Server(0, [&](const fakes::FakeRequest &R) {
    Seen.set_value(R);
    return fakes::FakeReply();
  });
  HttpClient Http;
  EndpointClient Client(Http, [] { return Now; });
  EndpointCall Call = makeCall(Server.address(), "/a%20b", "x");
  Call.Head.Query = "q=1%202";
  Call.Head.Headers = {{"x-request-id", "forged"}, {"request-timeout", "900"}};
  RecordedCall Record;
  Client.hooks().Start(Call, observe(Record));
  // A plain service may omit the exchange id from its response.
  BOOST_TEST(!Record.waitError().has_value());
  const fakes::FakeRequest R = Seen.get_future().get();
  BOOST_TEST(R.Path == "/a b");
  BOOST_TEST(R.query("q") == "1 2");
  BOOST_TEST(R.header("x-request-id") == "r/1");
  BOOST_TEST(R.header("x-attempt") == "2");
  BOOST_TEST(R.header("request-timeout") == "30.000");
}

BOOST_AUTO_TEST_CASE(loadPageIsParsedWithItsLag) {
  std::string Page = R"({"running":3,"waiting":2,"lag_ms":1500,
      "cache_use":7.5,"leaving":true,"loaded":["m@1"]})";
  fakes::FakeServer Server(0, [&](const fakes::FakeRequest &) {
    return fakes::jsonReply(200, Page);
  });
  HttpClient Http;
  EndpointClient Client(Http, [] { return Now; });
  auto Ask = [&](const std::string &Where) {
    Awaited<LoadPage> A;
    Client.hooks().FetchLoad(EndpointId("e"), Address(Where), A.completion());
    return A.get();
  };
  const LoadPage Load = Ask(Server.address()).value();
  BOOST_TEST(Load.Report.Running == 3);
  BOOST_TEST(Load.Report.Waiting == 2);
  BOOST_TEST((Load.Report.MeasuredAt == Now - milliseconds(1500)));
  BOOST_TEST(Load.Report.CacheUse == 1.0);
  BOOST_TEST(Load.Leaving);
  BOOST_TEST((Load.Loaded == std::vector{ModelName("m@1")}));
  for (const char *Bad : {"", "[]", R"({"running":"x","waiting":1})",
                          R"({"running":1,"waiting":1,"loaded":[1]})"}) {
    Page = Bad;
    BOOST_TEST((errorOf(Ask(Server.address())) == ErrorKind::ConnectionLost));
  }
  BOOST_TEST((errorOf(Ask("127.0.0.1:1")) == ErrorKind::ConnectFailed));
}

BOOST_AUTO_TEST_SUITE_END()
