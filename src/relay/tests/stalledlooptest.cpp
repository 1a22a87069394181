#include <thread>

#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawServer;

namespace {

/// A host whose loop can be stalled while its sockets continue to receive.
class StalledHost : public testing::RelayFixture {
public:
  /// Runs the loop handler by handler until the condition holds, then stalls it
  /// for the given time.
  void stallWhen(const std::function<bool()> &Holds,
                 std::chrono::milliseconds Span) {
    while (!Holds())
      Loop.context().run_one();
    std::this_thread::sleep_for(Span);
  }
};

/// Exceeds the time-out of connects to endpoints.
constexpr std::chrono::milliseconds PastConnect(450);

} // namespace

BOOST_FIXTURE_TEST_SUITE(StalledLoopTests, StalledHost)

BOOST_AUTO_TEST_CASE(bookingSentAfterAStallIsNotRefused) {
  RawServer &E = addEndpoint(
      "a", "plain", [](const std::string &R) { return ran(R, "done"); });
  testing::RawCaller C(Loop, Front.address().str(), request("book"));
  stallWhen([&] { return Caller.connectionsMade() == 1; }, PastConnect);
  testing::runUntil(Loop, [&] { return Done.size() == 1; });
  testing::runUntil(Loop, [&] { return !C.received().empty(); });
  BOOST_TEST(E.Requests.size() == 1U);
  BOOST_TEST(C.received().starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(bookingSentAfterAStallIsNotSentAgain) {
  auto Run = [](const std::string &R) { return ran(R, "done"); };
  RawServer &A = addEndpoint("a", "plain", Run);
  RawServer &B = addEndpoint("b", "plain", Run);
  testing::RawCaller C(Loop, Front.address().str(), request("book"));
  stallWhen([&] { return Caller.connectionsMade() == 1; }, PastConnect);
  testing::runUntil(Loop, [&] { return Done.size() == 1; });
  BOOST_TEST(A.Requests.size() + B.Requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(requestRefusedAsTooSlowNeverRuns) {
  RawServer &E = addEndpoint(
      "a", "plain", [](const std::string &R) { return ran(R, "done"); });
  HttpServerLimits Limits;
  Limits.IdleTimeout = std::chrono::milliseconds(200);
  Front.setLimits(Limits);
  std::string Request = request("book", "", std::string(9000, 'x'));
  std::size_t Head = Request.find("\r\n\r\n") + 4;
  testing::RawCaller C(Loop, Front.address().str(), Request.substr(0, Head));
  // The head is received and the time-out for the body starts.
  for (int Turns = 0; Turns < 3; ++Turns)
    Loop.context().run_one();
  C.send(Request.substr(Head));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  testing::runUntil(Loop, [&] { return C.closed() || !Done.empty(); });
  testing::runUntil(Loop, [&] { return C.closed() || !Done.empty(); });
  bool Refused = C.received().starts_with("HTTP/1.1 408");
  BOOST_TEST((!Refused || E.Requests.empty()));
  BOOST_TEST(
      (!Refused || C.received().find("HTTP/1.1 200") == std::string::npos));
}

BOOST_AUTO_TEST_CASE(bytesAfterAClosingRequestAffectNoOtherCaller) {
  // Exceeds the kernel's buffers for a caller that does not read.
  addEndpoint("a", "plain", [](const std::string &R) {
    return ran(R, std::string(4000000, 'x'));
  });
  detail::Tcp::socket Caller(Loop.context());
  Caller.open(detail::Tcp::v4());
  Caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  const std::string Where = Front.address().str();
  Caller.connect({boost::asio::ip::make_address("127.0.0.1"),
                  static_cast<unsigned short>(
                      std::stoul(Where.substr(Where.find(':') + 1)))});
  boost::asio::write(
      Caller, boost::asio::buffer(request("look", "Connection: close\r\n")));
  testing::runUntil(Loop, [&] { return Done.size() == 1; });
  boost::asio::write(Caller, boost::asio::buffer(request("look")));
  for (int Turns = 0; Turns < 20; ++Turns)
    Loop.context().run_one_for(std::chrono::milliseconds(5));
  BOOST_TEST(ask(request("book")).starts_with("HTTP/1.1 200"));
}

// A request that follows a pipelined one must neither be lost nor run twice.
// Three requests are needed: bytes of the third arrive while those of the
// second are still in the buffer.
BOOST_AUTO_TEST_CASE(pipelinedRequestsRunOnceEach) {
  std::vector<std::string> Ids;
  addEndpoint("a", "plain", [&](const std::string &R) {
    Ids.push_back(field(R, "Request-Id"));
    return ran(R, "done");
  });
  const std::string First = request("book");
  const std::string Second = request("book");
  const std::string Third = request("book");
  testing::RawCaller C(Loop, Front.address().str(), First);
  // The second request arrives while the first is at its endpoint, the third
  // while the second is.
  testing::runUntil(Loop, [&] { return Caller.connectionsMade() == 1; });
  C.send(Second);
  testing::runUntil(Loop, [&] { return Caller.connectionsMade() == 2; });
  C.send(Third);
  testing::runUntil(Loop, [&] { return Done.size() >= 3; });
  for (int Turns = 0; Turns < 20; ++Turns)
    Loop.context().run_one_for(std::chrono::milliseconds(1));
  BOOST_TEST(Ids == (std::vector<std::string>{"q1", "q2", "q3"}),
             boost::test_tools::per_element());
}

// The host responds to these requests by itself. If each were parsed
// synchronously after the previous response, the stack would overflow.
BOOST_AUTO_TEST_CASE(manyPipelinedRequestsDoNotGrowTheStack) {
  std::string All;
  constexpr int Requests = 2000;
  for (int I = 0; I < Requests; ++I)
    All += "GET / HTTP/1.1\r\n\r\n";
  testing::RawCaller C(Loop, Front.address().str(), All);
  testing::runUntil(Loop, [&] {
    std::size_t Answers = 0;
    for (std::size_t At = C.received().find("HTTP/1.1 404");
         At != std::string::npos;
         At = C.received().find("HTTP/1.1 404", At + 1))
      ++Answers;
    return Answers == Requests;
  });
}

// A response must be written completely to a caller that has closed its sending
// side.
BOOST_AUTO_TEST_CASE(halfClosedCallerReceivesItsWholeResponse) {
  HttpServer Pages(Loop, [](const auto &, const auto &Answer) {
    Answer->respond({200, {}}, std::string(3000000, 'x'));
  });
  BOOST_REQUIRE(Pages.listen(Address("127.0.0.1:0")));
  testing::RawCaller C(Loop, Pages.address().str(),
                       "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  C.endSending();
  testing::runUntil(Loop, [&] { return C.closed(); });
  BOOST_TEST(C.received().size() > 3000000U);
}

// A handler that keeps an exchange beyond its turn must not affect the next
// turn.
BOOST_AUTO_TEST_CASE(exchangeOfAnEarlierTurnHasNoEffect) {
  std::vector<std::shared_ptr<HttpExchange>> Exchanges;
  HttpServer Pages(Loop, [&](const auto &, const auto &Answer) {
    Exchanges.push_back(Answer);
  });
  BOOST_REQUIRE(Pages.listen(Address("127.0.0.1:0")));
  const std::string Get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  testing::RawCaller C(Loop, Pages.address().str(), Get + Get);
  testing::runUntil(Loop, [&] { return Exchanges.size() == 1; });
  Exchanges[0]->respond({200, {}}, "first");
  testing::runUntil(Loop, [&] { return Exchanges.size() == 2; });
  bool Disconnected = false;
  Exchanges[1]->onDisconnect([&] { Disconnected = true; });
  Exchanges[0]->respond({200, {}}, "late");
  Exchanges[0]->beginStream({200, {}});
  Exchanges[0]->streamPiece("late");
  Exchanges[0]->endStream();
  Exchanges[0]->onDisconnect([] {});
  Exchanges[0]->abort();
  Exchanges.erase(Exchanges.begin());
  BOOST_TEST(Pages.inFlight() == 1U);
  Exchanges[0]->respond({200, {}}, "second");
  testing::runUntil(Loop, [&] { return C.received().ends_with("second"); });
  BOOST_TEST(C.received().find("late") == std::string::npos);
  BOOST_TEST(!Disconnected);
}

// If a handler drops the exchange without a response, the caller must not wait
// forever.
BOOST_AUTO_TEST_CASE(droppedExchangeClosesItsConnection) {
  HttpServer Pages(Loop, [](const auto &, const auto &) {});
  BOOST_REQUIRE(Pages.listen(Address("127.0.0.1:0")));
  testing::RawCaller C(Loop, Pages.address().str(),
                       "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  testing::runUntil(Loop, [&] { return C.closed(); });
  BOOST_TEST(C.received().empty());
  BOOST_TEST(Pages.inFlight() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
