#include "gateway/tests/callerfixture.h"

using namespace celerybeam;

BOOST_FIXTURE_TEST_SUITE(CallerServing, CallerFixture)

BOOST_AUTO_TEST_CASE(AnswersWholeRequestsOverOneConnection) {
  Controller.Echo = true;
  TestClient Client(serve().port());
  for (const char *Body : {"first", "second"}) {
    Client.send(post("/v1/completions", "", Body));
    std::string Answer = Client.readUntil(Body);
    BOOST_TEST(contains(Answer, "HTTP/1.1 200 OK"));
    BOOST_TEST(contains(Answer, "Content-Length: "));
    BOOST_TEST(Controller.lastBody() == Body);
  }
}

BOOST_AUTO_TEST_CASE(RefusesFromTheHeadBeforeAnyByteOfTheBody) {
  TestClient Client(serve().port());
  Client.send("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
              "Celerybeam-Region: huye\r\nContent-Length: 100000\r\n\r\n");
  std::string Answer = Client.readAll();
  BOOST_TEST(contains(Answer, "HTTP/1.1 421 "));
  BOOST_TEST(contains(Answer, "\"entries\":[\"huye-1\"]"));
  BOOST_TEST(Controller.startedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(StreamsChunksAsTheyCome) {
  TestClient Client(serve().port());
  Client.send(post("/v1/chat/completions", "", "{}"));
  ResponseHooks Answer = Controller.awaitStarted();
  Answer.Head({200, {{"content-type", "text/event-stream"}}});
  Answer.Chunk("data: a\n\n");
  BOOST_TEST(contains(Client.readUntil("data: a\n\n"), "chunked"));
  Answer.Chunk("data: b\n\n");
  Client.readUntil("data: b\n\n");
  Answer.End({});
  BOOST_TEST(contains(Client.readUntil("0\r\n\r\n"), "0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(AnswersBodylessCalls) {
  TestClient Client(serve().port());
  auto Ask = [&Client](const std::string &Target, std::string_view Until) {
    Client.send("GET " + Target +
                " HTTP/1.1\r\nHost: h\r\n"
                "Authorization: Bearer k\r\n\r\n");
    std::string Answer = Client.readUntil(Until);
    BOOST_TEST(contains(Answer, Until), Target << ": " << Answer);
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

BOOST_AUTO_TEST_SUITE_END()
