#include <boost/test/unit_test.hpp>

#include <new>
#include <stdexcept>

#include "relay/datagramlink.h"
#include "relay/internal/beast.h"
#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

struct ReportingLoop {
  ReportingLoop() {
    Loop.onException(
        [this](const std::string &Message) { Reported.push_back(Message); });
  }

  EventLoop Loop;
  std::vector<std::string> Reported;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EventLoopTests, ReportingLoop)

// LOST: an exception in the handler of one connection ended the process.
BOOST_AUTO_TEST_CASE(exceptionEndsOnlyItsOwnHandler) {
  unsigned Ran = 0;
  detail::asio::post(Loop.context(),
                     [] { throw std::runtime_error("handler"); });
  detail::asio::post(Loop.context(), [&] { ++Ran; });
  Loop.after(0ms, [] { throw std::bad_alloc(); });
  Loop.after(0ms, [&] { ++Ran; });
  Loop.after(1ms, [&] { Loop.stop(); });
  Loop.run();
  BOOST_TEST(Ran == 2U);
  BOOST_REQUIRE(Reported.size() == 2U);
  BOOST_TEST(Reported[0] == "handler");
}

BOOST_AUTO_TEST_CASE(datagramsAreReceivedAfterAnException) {
  unsigned Received = 0;
  DatagramLink Link(Loop, [&](std::string_view) {
    if (++Received == 1)
      throw std::runtime_error("datagram");
    Loop.stop();
  });
  detail::Udp::socket Sender(Loop.context(), detail::Udp::v4());
  // A free port is found by asking for any.
  detail::Udp::socket Probe(Loop.context(),
                            {detail::asio::ip::make_address("127.0.0.1"), 0});
  auto Where = Probe.local_endpoint();
  Probe.close();
  BOOST_REQUIRE(
      Link.open(Address("127.0.0.1:" + std::to_string(Where.port()))));
  for (int I = 0; I < 2; ++I)
    Sender.send_to(detail::asio::buffer("x", 1), Where);
  Loop.run();
  BOOST_TEST(Received == 2U);
  BOOST_TEST(Reported.size() == 1U);
}

// The connection whose request was handled is closed; others are served.
BOOST_AUTO_TEST_CASE(callersAreServedAfterAnException) {
  unsigned Handled = 0;
  HttpServer Server(Loop, [&](const auto &, const auto &Exchange) {
    if (++Handled == 1)
      throw std::runtime_error("request");
    Exchange->respond({200, {}}, "served");
    Loop.after(10ms, [&] { Loop.stop(); });
  });
  BOOST_REQUIRE(Server.listen(Address("127.0.0.1:0")));
  const std::string Get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  testing::RawCaller First(Loop, Server.address().str(), Get);
  testing::RawCaller Second(Loop, Server.address().str(), Get);
  Loop.run();
  BOOST_TEST(Handled == 2U);
  BOOST_TEST(Reported.size() == 1U);
  BOOST_TEST((First.received() + Second.received()).ends_with("served"));
}

BOOST_AUTO_TEST_SUITE_END()
