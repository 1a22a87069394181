#include <condition_variable>
#include <map>
#include <mutex>

#include <boost/test/unit_test.hpp>

#include "gateway/callerserver.h"
#include "gateway/tests/testclient.h"

using namespace celerybeam;

namespace {

constexpr std::chrono::milliseconds NoGrace{0};
constexpr std::chrono::seconds LongGrace{60};

/// Stands in for the request controller and lets a test answer by hand.
class FakeController {
public:
  CallerHandler handler() {
    CallerHandler H;
    H.AcceptHead = [this](const RequestHead &Head) { return accept(Head); };
    H.Start = [this](const AcceptedHead &Accepted, std::string Body,
                     ResponseHooks Answer) {
      return start(Accepted, std::move(Body), std::move(Answer));
    };
    H.CallerReady = [this](const RequestId &) { bump(Ready); };
    H.CallerGone = [this](const RequestId &) { bump(Gone); };
    H.Authenticate = [](std::string_view Key) -> Result<TenantId> {
      if (Key != "Bearer k")
        return makeError(ErrorKind::Unauthorized, "Send the tenant's key.");
      return TenantId("roofers");
    };
    H.Models = [](const TenantId &T) { return "{\"t\":\"" + T.str() + "\"}"; };
    H.Entries = [](const RequestHead &Head) -> Result<std::string> {
      return "{\"query\":\"" + Head.Query + "\"}";
    };
    H.EntriesElsewhere = [](const RequestHead &) { return "[\"huye-1\"]"; };
    H.BookingStatus = [](const TenantId &, const RequestHead &, const Uuid7 &,
                         const Completion<BookingOutcome> &Done) {
      Done(BookingOutcome{BookingState::Done, 201, "text/plain", "slot 4"});
    };
    H.Ready = []() -> Result<void> {
      return makeError(ErrorKind::NotReady, "No tables yet.");
    };
    return H;
  }

  /// Waits for the next started request.
  ResponseHooks awaitStarted() {
    std::unique_lock Lock(Mutex_);
    Changed_.wait(Lock, [this] { return Taken_ < Started_.size(); });
    return Started_[Taken_++];
  }

  void await(const int &Count, int Least) {
    std::unique_lock Lock(Mutex_);
    Changed_.wait(Lock, [&] { return Count >= Least; });
  }

  bool Echo = false;
  int Ready = 0;
  int Gone = 0;
  int Heads = 0;

  std::string lastBody() {
    std::lock_guard Lock(Mutex_);
    return LastBody_;
  }
  std::size_t startedCount() {
    std::lock_guard Lock(Mutex_);
    return Started_.size();
  }

private:
  Result<AcceptedHead> accept(const RequestHead &Head) {
    bump(Heads);
    if (findHeader(Head.Headers, "celerybeam-region") == "huye")
      return makeError(ErrorKind::WrongRegion, "Use an entry host of huye.");
    AcceptedHead Accepted;
    Accepted.Head = Head;
    return Accepted;
  }

  RequestId start(const AcceptedHead &, std::string Body,
                  ResponseHooks Answer) {
    if (Echo) {
      Answer.Head({200,
                   {{"content-type", "text/plain"},
                    {"content-length", std::to_string(Body.size())}}});
      Answer.Chunk(Body);
      Answer.End({});
    }
    std::lock_guard Lock(Mutex_);
    LastBody_ = std::move(Body);
    Started_.push_back(std::move(Answer));
    Changed_.notify_all();
    return RequestId("r" + std::to_string(Started_.size()));
  }

  void bump(int &Count) {
    std::lock_guard Lock(Mutex_);
    ++Count;
    Changed_.notify_all();
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<ResponseHooks> Started_;
  std::size_t Taken_ = 0;
  std::string LastBody_;
};

struct Fixture {
  Fixture() { Options.Threads = 2; }

  CallerServer &serve() {
    Server.emplace(Options, Controller.handler());
    auto Started = Server->start();
    BOOST_REQUIRE_MESSAGE(Started, "the listener starts");
    return *Server;
  }

  static std::string post(std::string_view Path, std::string_view Fields,
                          std::string_view Body) {
    return "POST " + std::string(Path) + " HTTP/1.1\r\nHost: h\r\n" +
           std::string(Fields) +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           std::string(Body);
  }

  FakeController Controller;
  CallerServerOptions Options;
  std::optional<CallerServer> Server;
};

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerServing, Fixture)

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
  std::string Key = "0193ca6e-4b0f-7cc3-98c4-dc0c0c07398f";
  Client.send("GET /v1/entries?route=quotes HTTP/1.1\r\nHost: h\r\n\r\n");
  Client.readUntil("{\"query\":\"route=quotes\"}");
  Client.send("GET /v1/models HTTP/1.1\r\nHost: h\r\n"
              "Authorization: Bearer k\r\n\r\n");
  Client.readUntil("{\"t\":\"roofers\"}");
  Client.send("GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n");
  Client.readUntil("\"unauthorized\"");
  Client.send("GET /v1/bookings/" + Key +
              " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n\r\n");
  Client.readUntil("\"outcome\":\"done\"");
  Client.send("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
  Client.readUntil("\"not_ready\"");
  Client.send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
  Client.readUntil("{\"healthy\":true}");
}

BOOST_AUTO_TEST_SUITE_END()
