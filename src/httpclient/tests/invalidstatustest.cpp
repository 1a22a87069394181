#include <array>
#include <memory>

#include <boost/test/unit_test.hpp>

#include "httpclient/httpclient.h"
#include "httpclient/tests/rawreplyserver.h"
#include "httpclient/tests/recordedcall.h"

using namespace celerybeam;
using namespace celerybeam::tests;

namespace {

constexpr std::array InvalidStatuses = {"000", "001", "099",
                                        "101", "600", "999"};

std::string respond(std::string_view Status, std::string_view Framing) {
  std::string Text = "HTTP/1.1 " + std::string(Status) + " Any\r\n";
  if (Framing == "length")
    return Text + "Content-Length: 3\r\n\r\nran";
  if (Framing == "chunks")
    return Text + "Transfer-Encoding: chunked\r\n\r\n3\r\nran\r\n0\r\n\r\n";
  return Text + "\r\nran";
}

/// What a call tells of a response.
struct Told {
  /// 0 without a head.
  int Status = 0;
  std::string Body;
  std::optional<ErrorKind> Failure;
  unsigned Arrivals = 0;
};

/// \param Close  whether the server closes the connection after the response.
Told call(const std::string &Response, bool Close) {
  RawReplyServer Server(Response, Close);
  // Destroyed before the server, which closes the connection.
  HttpClient Client;
  HttpCall Call;
  Call.Method = "POST";
  Call.Url = Server.url();
  Call.Body = std::make_shared<const std::string>();
  // Only a call that waits for a further response takes this time.
  Call.Timeout = std::chrono::seconds(5);
  Told T;
  auto Record = std::make_shared<RecordedCall>();
  ResponseHooks Hooks = Record->hooks();
  Hooks.Head = [&T](const ResponseHead &Head) { T.Status = Head.Status; };
  Client.start(Call, Hooks);
  T.Failure = Record->waitError();
  T.Body = Record->body();
  T.Arrivals = Server.arrivals();
  return T;
}

} // namespace

BOOST_AUTO_TEST_SUITE(InvalidStatusTests)

// A status that is none must neither be passed on nor count as an interim one,
// which leaves a call without a head or waiting for a further response.
BOOST_AUTO_TEST_CASE(invalidStatusFailsTheCall) {
  for (const char *Status : InvalidStatuses)
    for (const char *Framing : {"length", "chunks", "close"})
      BOOST_TEST_CONTEXT(Status << " by " << Framing) {
        Told T =
            call(respond(Status, Framing), Framing == std::string("close"));
        BOOST_TEST(T.Status == 0);
        BOOST_TEST(T.Body.empty());
        BOOST_TEST((T.Failure == ErrorKind::ConnectionLost));
        BOOST_TEST(T.Arrivals == 1U);
      }
}

// A response after one with an invalid status must not be taken for the answer.
BOOST_AUTO_TEST_CASE(invalidStatusIsNoInterimResponse) {
  for (const char *Status : InvalidStatuses)
    BOOST_TEST_CONTEXT(Status) {
      Told T = call("HTTP/1.1 " + std::string(Status) + " Any\r\n\r\n" +
                        respond("200", "length"),
                    false);
      BOOST_TEST(T.Status == 0);
      BOOST_TEST((T.Failure == ErrorKind::ConnectionLost));
    }
}

// Guards against the refusal of interim responses.
BOOST_AUTO_TEST_CASE(interimResponsesPrecedeTheFinalOne) {
  for (const char *Interim : {"100", "102", "103", "199"})
    BOOST_TEST_CONTEXT(Interim) {
      Told T = call("HTTP/1.1 " + std::string(Interim) + " Any\r\n\r\n" +
                        respond("200", "length"),
                    false);
      BOOST_TEST(T.Status == 200);
      BOOST_TEST(T.Body == "ran");
      BOOST_TEST(!T.Failure.has_value());
    }
}

// Guards against the refusal of a status at the ends of the valid range.
BOOST_AUTO_TEST_CASE(validFinalStatusesAreDelivered) {
  for (int Status : {200, 299, 300, 399, 400, 499, 500, 599})
    for (const char *Framing : {"length", "chunks", "close"})
      BOOST_TEST_CONTEXT(Status << " by " << Framing) {
        Told T = call(respond(std::to_string(Status), Framing),
                      Framing == std::string("close"));
        BOOST_TEST(T.Status == Status);
        BOOST_TEST(!T.Failure.has_value());
      }
}

BOOST_AUTO_TEST_SUITE_END()
