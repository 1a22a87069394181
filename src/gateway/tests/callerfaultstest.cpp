#include <thread>

#include "gateway/tests/callerfixture.h"

using namespace celerybeam;

namespace {

constexpr std::chrono::milliseconds NoGrace{0};
constexpr std::chrono::seconds LongGrace{60};
const ResponseHead EventStream{200, {{"content-type", "text/event-stream"}}};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerFaults, CallerFixture)

BOOST_AUTO_TEST_CASE(HalfSentHeadIsClosed) {
  Options.HeadTimeout = std::chrono::milliseconds(300);
  TestClient Client(serve().port());
  Client.send("POST /v1/completions HTTP/1.1\r\nHos");
  Client.readAll();
  BOOST_TEST(Server->counts().TimedOut == 1U);
  BOOST_TEST(Controller.Heads == 0);
}

BOOST_AUTO_TEST_CASE(HalfSentBodyIsClosedAndNeverStarted) {
  Options.BodyTimeout = std::chrono::milliseconds(300);
  TestClient Client(serve().port());
  Client.send("POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
              "Content-Length: 10\r\n\r\nhalf");
  Client.readAll();
  BOOST_TEST(Server->counts().TimedOut == 1U);
  BOOST_TEST(Controller.startedCount() == 0U);
  Server->stop(LongGrace);
  BOOST_TEST(Server->counts().InFlight == 0U);
}

BOOST_AUTO_TEST_CASE(CallerThatLeavesBeforeTheHeadIsNoticed) {
  TestClient Client(serve().port());
  Client.send(post("/v1/completions", "", "{}"));
  ResponseHooks Response = Controller.awaitStarted();
  Client.close();
  Controller.await(Controller.Gone, 1);
  // Data that the producer delivers after the caller left is dropped.
  Response.Head(EventStream);
  BOOST_TEST((Response.Chunk("late") == Flow::Continue));
  Response.End({});
  Server->stop(LongGrace);
  BOOST_TEST(Controller.Gone == 1);
}

BOOST_AUTO_TEST_CASE(CallerThatLeavesMidStreamIsNoticed) {
  serve();
  for (bool Reset : {false, true}) {
    TestClient Client(Server->port());
    ResponseHooks Response = openStream(Client);
    Response.Chunk("data: 1\n\n");
    Client.readUntil("data: 1\n\n");
    Reset ? Client.reset() : Client.close();
    Controller.await(Controller.Gone, Reset ? 2 : 1);
  }
  Server->stop(LongGrace);
  BOOST_TEST(Controller.Gone == 2);
  BOOST_TEST(Server->counts().CallersGone == 2U);
}

BOOST_AUTO_TEST_CASE(SlowCallerPausesItsProducerAndLosesNothing) {
  constexpr std::size_t ChunkSize = 4096;
  constexpr int ChunkCount = 2000;
  TestClient Client(serve().port(), 4096);
  Client.send(post("/v1/completions", "", "{}"));
  ResponseHooks Response = Controller.awaitStarted();
  std::string Whole;
  Response.Head(
      {200, {{"content-length", std::to_string(ChunkSize * ChunkCount)}}});
  int Pauses = 0;
  int Reads = 0;
  std::string Read;
  for (int I = 0; I < ChunkCount; ++I) {
    std::string Data(ChunkSize, static_cast<char>('a' + I % 26));
    Whole += Data;
    if (Response.Chunk(std::move(Data)) == Flow::Continue)
      continue;
    ++Pauses;
    while (!Controller.reached(Controller.Ready, Pauses)) {
      Read += Client.readSome();
      ++Reads;
    }
  }
  Response.End({});
  BOOST_TEST(Pauses > 10);
  BOOST_TEST(Reads > 10);
  while (Read.size() < Whole.size())
    Read += Client.readSome();
  BOOST_TEST(Read.ends_with(Whole));
}

BOOST_AUTO_TEST_CASE(RequestsWithAmbiguousFramingAreRefusedAndNotReadFurther) {
  Controller.Echo = true;
  serve();
  std::string Hidden = "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                       "Content-Length: 1\r\n\r\nx";
  for (const char *Fields :
       {"Content-Length: 4\r\nContent-Length: 40\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: xchunked\r\n", "Content-Length: 4, 4\r\n",
        "Content-Length: -4\r\n", "Content-Length: 0x4\r\n"}) {
    TestClient Client(Server->port());
    Client.send("POST /v1/completions HTTP/1.1\r\nHost: h\r\n" +
                std::string(Fields) + "\r\n0\r\n\r\n" + Hidden);
    std::string Response = Client.readAll();
    BOOST_TEST(contains(Response, "HTTP/1.1 400 "), Fields << Response);
  }
  BOOST_TEST(Controller.startedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(RefusedBodyIsNotReadAsTheNextRequest) {
  Controller.Echo = true;
  serve();
  std::string Hidden = "GET /v1/entries HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const char *Method : {"POST", "DELETE", "PATCH", "GET"}) {
    TestClient Client(Server->port());
    Client.send(std::string(Method) +
                " /services/a/b HTTP/1.1\r\nHost: h\r\n"
                "Celerybeam-Region: huye\r\nContent-Length: " +
                std::to_string(Hidden.size()) + "\r\n\r\n" + Hidden);
    std::string Response = Client.readAll();
    BOOST_TEST(contains(Response, "HTTP/1.1 421 "));
    BOOST_TEST(!contains(Response, "\"query\""));
  }
}

BOOST_AUTO_TEST_CASE(ExpectedContinueGetsTheRefusalInstead) {
  Controller.Echo = true;
  serve();
  std::string Head = "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                     "Expect: 100-continue\r\nContent-Length: 2\r\n";
  TestClient Refused(Server->port());
  Refused.send(Head + "Celerybeam-Region: huye\r\n\r\n");
  BOOST_TEST(Refused.readAll().starts_with("HTTP/1.1 421 "));
  TestClient Accepted(Server->port());
  Accepted.send(Head + "\r\n");
  Accepted.readUntil("HTTP/1.1 100 Continue\r\n\r\n");
  Accepted.send("ok");
  BOOST_TEST(Accepted.readUntil("\r\n\r\nok").starts_with("HTTP/1.1 200 "));
}

BOOST_AUTO_TEST_CASE(LargeBodiesGet413) {
  Controller.Echo = true;
  Options.BodyLimit = 100;
  serve();
  TestClient Known(Server->port());
  Known.send("POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
             "Content-Length: 101\r\n\r\n");
  BOOST_TEST(Known.readAll().starts_with("HTTP/1.1 413 "));
  BOOST_TEST(Controller.Heads == 0);
  TestClient Chunked(Server->port());
  Chunked.send("POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
               "Transfer-Encoding: chunked\r\n\r\n65\r\n" +
               std::string(101, 'x') + "\r\n0\r\n\r\n");
  BOOST_TEST(Chunked.readAll().starts_with("HTTP/1.1 413 "));
  TestClient Endless(Server->port());
  Endless.send("POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
               "Transfer-Encoding: chunked\r\n\r\n");
  while (Endless.send("64\r\n" + std::string(100, 'x') + "\r\n")) {
  }
  BOOST_TEST(Controller.startedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(RefusalReachesACallerThatStillSends) {
  serve();
  TestClient Client(Server->port());
  std::string Body(4 << 20, 'x');
  Client.send(post("/v1/completions", "Celerybeam-Region: huye\r\n", Body));
  std::string Response = Client.readAll();
  BOOST_TEST(Response.starts_with("HTTP/1.1 421 "));
  BOOST_TEST(contains(Response, "huye-1"));
}

BOOST_AUTO_TEST_CASE(LargeHeadsGet431) {
  Options.HeaderLimit = 4096;
  serve();
  for (std::size_t Size : {4096U, 400000U}) {
    TestClient Client(Server->port());
    Client.send("GET /v1/entries HTTP/1.1\r\nHost: h\r\nX: " +
                std::string(Size, 'x') + "\r\n\r\n");
    BOOST_TEST(contains(Client.readUntil("\r\n"), "HTTP/1.1 431 "));
  }
}

BOOST_AUTO_TEST_CASE(ConnectionsAboveTheLimitGetAnErrorResponse) {
  auto Ask = [](TestClient &Client) {
    Client.send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
    return Client.readUntil("}");
  };
  for (bool PerIp : {false, true}) {
    Options.ConnectionLimit = PerIp ? 10 : 2;
    Options.ConnectionLimitPerIp = PerIp ? 2 : 10;
    serve();
    TestClient First(Server->port());
    TestClient Second(Server->port());
    BOOST_TEST(contains(Ask(First), "200 OK"));
    BOOST_TEST(contains(Ask(Second), "200 OK"));
    TestClient Third(Server->port());
    std::string Refused = Ask(Third);
    BOOST_TEST(contains(Refused, PerIp ? "HTTP/1.1 429 " : "HTTP/1.1 503 "));
    BOOST_TEST(contains(Refused, "retry-after: 1"));
    BOOST_TEST(contains(Ask(First), "200 OK"));
    BOOST_TEST(Server->counts().ConnectionsRefused == 1U);
  }
}

BOOST_AUTO_TEST_CASE(BrokenResponsesEndWithoutTheLastChunk) {
  serve();
  TestClient Client(Server->port());
  ResponseHooks Response = openStream(Client);
  Response.Chunk("data: 1\n\n");
  Response.End(makeError(ErrorKind::ConnectionLost, "The engine has gone."));
  std::string Read = Client.readAll();
  BOOST_TEST(contains(Read, "data: 1\n\n"));
  BOOST_TEST(!contains(Read, "0\r\n\r\n"));
  TestClient Other(Server->port());
  Other.send(post("/v1/completions", "", "{}"));
  Controller.awaitStarted().End(
      makeError(ErrorKind::Overloaded, "Full.", std::chrono::seconds(3)));
  std::string Refused = Other.readUntil("}}");
  BOOST_TEST(Refused.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(contains(Refused, "retry-after: 3\r\n"));
}

BOOST_AUTO_TEST_CASE(SilentStreamsGetCommentLinesBetweenEvents) {
  Options.KeepAliveInterval = std::chrono::milliseconds(50);
  serve();
  TestClient Client(Server->port());
  ResponseHooks Response = openStream(Client);
  Client.readUntil(": keep-alive\n\n");
  Response.Chunk("data: 1\n\n");
  Client.readUntil(": keep-alive\n\n");
  Response.End({});
  Client.readUntil("0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(GracefulStopFinishesRequestsInFlight) {
  serve();
  TestClient Idle(Server->port());
  Idle.send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
  Idle.readUntil("}");
  TestClient Client(Server->port());
  ResponseHooks Response = openStream(Client);
  Response.Chunk("data: 1\n\n");
  Client.readUntil("data: 1\n\n");
  std::size_t Aborted = 99;
  std::thread Stopping([&] { Aborted = Server->stop(LongGrace); });
  // The fake controller accepts these requests until the stop has begun.
  std::string Probed;
  while (!contains(Probed, "shutting_down")) {
    TestClient Probe(Server->port());
    Probe.send("GET /v1/bookings/0193ca6e-4b0f-7cc3-98c4-dc0c0c07398f "
               "HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n\r\n");
    Probed = Probe.readUntil("}");
  }
  Idle.send(post("/v1/completions", "", "{}"));
  std::string Refused = Idle.readAll();
  BOOST_TEST(contains(Refused, "\"shutting_down\""), Refused);
  Response.Chunk("data: 2\n\n");
  Response.End({});
  BOOST_TEST(contains(Client.readUntil("0\r\n\r\n"), "data: 2\n\n"));
  Stopping.join();
  BOOST_TEST(Aborted == 0U);
}

BOOST_AUTO_TEST_CASE(RepeatedStartsAndStopsDoNotCrash) {
  Options.Threads = 16;
  for (int I = 0; I < 200; ++I)
    serve().stop(LongGrace);
  BOOST_TEST(Server->counts().InFlight == 0U);
}

BOOST_AUTO_TEST_CASE(StopWithoutGraceAbortsAndNotifiesTheProducer) {
  serve();
  TestClient Client(Server->port());
  Client.send(post("/v1/completions", "", "{}"));
  ResponseHooks Response = Controller.awaitStarted();
  BOOST_TEST(Server->stop(NoGrace) == 1U);
  BOOST_TEST(Controller.Gone == 1);
  Server.reset();
  Response.Head(EventStream);
  Response.Chunk("late");
  Response.End({});
}

BOOST_AUTO_TEST_CASE(StopWithoutGraceEndsBodiesAndAnswersThatStandStill) {
  Options.BodyTimeout = std::chrono::hours(1);
  Options.SendTimeout = std::chrono::hours(1);
  serve();
  TestClient Half(Server->port());
  Half.send("POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
            "Content-Length: 10\r\n\r\nhalf");
  while (Server->counts().InFlight < 1)
    std::this_thread::yield();
  TestClient Slow(Server->port(), 4096);
  ResponseHooks Response = openStream(Slow);
  // More than the kernel holds.
  Response.Chunk(std::string(4 << 20, 'x'));
  Response.End({});
  BOOST_TEST(Server->stop(NoGrace) == 2U);
  BOOST_TEST(Server->counts().InFlight == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
