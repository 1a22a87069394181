#include "gateway/tests/callerfixture.h"
#include "gateway/tests/tlsclient.h"

using namespace celerybeam;

BOOST_FIXTURE_TEST_SUITE(CallerServing, CallerFixture)

BOOST_AUTO_TEST_CASE(AnswersWholeRequestsOverOneConnection) {
  Controller.Echo = true;
  TestClient Client(serve().port());
  for (const char *Body : {"first", "second"}) {
    Client.send(post("/v1/completions", "", Body));
    std::string Response = Client.readUntil(Body);
    BOOST_TEST(contains(Response, "HTTP/1.1 200 OK"));
    BOOST_TEST(contains(Response, "Content-Length: "));
    BOOST_TEST(Controller.lastBody() == Body);
  }
}

BOOST_AUTO_TEST_CASE(RefusesFromTheHeadBeforeAnyByteOfTheBody) {
  TestClient Client(serve().port());
  Client.send("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
              "Celerybeam-Region: huye\r\nContent-Length: 100000\r\n\r\n");
  std::string Response = Client.readAll();
  BOOST_TEST(contains(Response, "HTTP/1.1 421 "));
  BOOST_TEST(contains(Response, "\"entries\":[\"huye-1\"]"));
  BOOST_TEST(Controller.startedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(StreamsChunksAsTheyCome) {
  TestClient Client(serve().port());
  ResponseHooks Response = openStream(Client);
  Response.Chunk("data: a\n\n");
  BOOST_TEST(contains(Client.readUntil("data: a\n\n"), "chunked"));
  Response.Chunk("data: b\n\n");
  Client.readUntil("data: b\n\n");
  Response.End({});
  BOOST_TEST(contains(Client.readUntil("0\r\n\r\n"), "0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(AnswersRequestsWithoutBody) {
  TestClient Client(serve().port());
  auto Ask = [&Client](const std::string &Target, std::string_view Until) {
    Client.send("GET " + Target +
                " HTTP/1.1\r\nHost: h\r\n"
                "Authorization: Bearer k\r\n\r\n");
    std::string Response = Client.readUntil(Until);
    BOOST_TEST(contains(Response, Until), Target << ": " << Response);
  };
  Ask("/v1/entries?route=quotes", "{\"query\":\"route=quotes\"}");
  Ask("/v1/models", "{\"t\":\"roofers\"}");
  Ask("/v1/bookings/0193ca6e-4b0f-7cc3-98c4-dc0c0c07398f",
      "\"outcome\":\"done\"");
  Ask("/v1/bookings/17", "\"invalid_key\"");
  Ask("/readyz", "\"not_ready\"");
  Ask("/unknown", "\"not_found\"");
  Ask("/healthz", "{\"healthy\":true}");
  Client.send("GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(contains(Client.readUntil("}}"), "HTTP/1.1 401 "));
}

BOOST_AUTO_TEST_CASE(ManyStreamsEachGetTheirOwnResponse) {
  constexpr int StreamCount = 300;
  constexpr int EventCount = 20;
  serve();
  std::vector<std::unique_ptr<TestClient>> Clients;
  std::vector<ResponseHooks> Answers;
  for (int I = 0; I < StreamCount; ++I) {
    Clients.push_back(std::make_unique<TestClient>(Server->port()));
    Answers.push_back(openStream(*Clients.back()));
  }
  BOOST_TEST(Server->counts().InFlight == StreamCount);
  auto EventOf = [](int Stream, int Event) {
    return "data: " + std::to_string(Stream) + "/" + std::to_string(Event) +
           "\n\n";
  };
  for (int Event = 0; Event < EventCount; ++Event) {
    for (int I = 0; I < StreamCount; ++I)
      Answers[static_cast<std::size_t>(I)].Chunk(EventOf(I, Event));
  }
  for (int I = 0; I < StreamCount; ++I) {
    Answers[static_cast<std::size_t>(I)].End({});
    std::string Read =
        Clients[static_cast<std::size_t>(I)]->readUntil("0\r\n\r\n");
    std::size_t At = 0;
    for (int Event = 0; Event < EventCount && At != std::string::npos; ++Event)
      At = Read.find(EventOf(I, Event), At);
    BOOST_REQUIRE(At != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(ServesOverTls) {
  TestCertificate Certificate;
  Options.Tls = Certificate.files();
  TestClient Connection(serve().port());
  TlsClient Client(Connection.socket());
  Client.send(post("/v1/completions", "", "{}"));
  ResponseHooks Response = Controller.awaitStarted();
  Response.Head({200, {{"content-type", "text/event-stream"}}});
  Response.Chunk("data: 1\n\n");
  BOOST_TEST(contains(Client.readUntil("data: 1\n\n"), "200 OK"));
  Connection.close();
  Controller.await(Controller.Gone, 1);
}

BOOST_AUTO_TEST_CASE(HeadRequestsGetNoBody) {
  Controller.Echo = true;
  TestClient Client(serve().port());
  Client.send("HEAD /services/slots/a HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
  std::string Response = Client.readUntil("healthy");
  BOOST_TEST(contains(Response, "\r\n\r\nHTTP/1.1 200 OK"));
}

BOOST_AUTO_TEST_SUITE_END()
