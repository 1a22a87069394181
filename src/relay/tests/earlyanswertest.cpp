#include <boost/test/unit_test.hpp>

#include "relay/tests/earlyendpoint.h"
#include "relay/tests/receivedresponse.h"
#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::EarlyEndpoint;
using testing::parseResponse;
using testing::Received;
using testing::RelayFixture;
using Then = EarlyEndpoint::Then;

namespace {

/// More than the kernel holds for a connection to an EarlyEndpoint.
constexpr std::size_t LargeBody = 4U << 20U;
/// More than an EarlyEndpoint's receive buffer, but little enough for the
/// sender's buffer.
constexpr std::size_t BufferedBody = 256U << 10U;
constexpr const char *Routes[] = {"look", "book", "draft", "ask"};

enum class Framing { Close, Length, Chunks };

bool isStream(const std::string &Route) {
  return Route == "draft" || Route == "ask";
}

/// A response in two parts.
struct Sample {
  Sample(const std::string &Route, Framing Mark) : Mark(Mark) {
    if (isStream(Route))
      Parts = {"id: 1\ndata: aa\n\n", "id: 2\ndata: bb\n\n"};
  }

  std::string whole() const { return Parts.first + Parts.second; }
  std::string head(const std::string &Request) const {
    std::string Text = "HTTP/1.1 200 OK\r\nRequest-Id: " +
                       RelayFixture::field(Request, "Request-Id") +
                       "\r\nSignature: s\r\n";
    if (Mark == Framing::Length)
      Text += "Content-Length: " + std::to_string(whole().size()) + "\r\n";
    if (Mark == Framing::Chunks)
      Text += "Transfer-Encoding: chunked\r\n";
    return Text + "\r\n";
  }
  std::string first(const std::string &Request) const {
    return head(Request) + framed(Parts.first);
  }
  std::string rest() const {
    return framed(Parts.second) +
           (Mark == Framing::Chunks ? std::string(LastChunk) : std::string());
  }

  Framing Mark;
  std::pair<std::string, std::string> Parts = {"boo", "ked"};

private:
  std::string framed(const std::string &Part) const {
    return Mark == Framing::Chunks ? renderChunk(Part) : Part;
  }
};

/// Plays one request to an endpoint that responds as scripted.
struct Play {
  Play(const std::string &Route, std::size_t BodyBytes,
       EarlyEndpoint::Script Reply)
      : Endpoint(Host.Loop, std::move(Reply)) {
    Host.addEndpointAt("e1", isStream(Route) ? "engines" : "plain",
                       Endpoint.address());
    Got = parseResponse(
        Host.ask(Host.request(Route, {}, std::string(BodyBytes, 'x'))));
  }

  bool success() const { return Got.Status == 200 && Got.Complete; }

  RelayFixture Host{[] { return TimePoint(std::chrono::hours(1)); }};
  EarlyEndpoint Endpoint;
  Received Got;
};

/// Plays a response without a length that begins before the request has been
/// read, and of which only a part is sent.
void cutWhileSending(const std::string &Route, std::size_t BodyBytes, Then Next,
                     std::chrono::milliseconds Pause) {
  Sample S(Route, Framing::Close);
  Play P(Route, BodyBytes, [&](const std::string &Head) {
    return EarlyEndpoint::Answer{S.first(Head), Next, {}, Pause};
  });
  BOOST_TEST(!P.success(), Route << " after " << Pause.count() << " ms: \""
                                 << P.Got.Body << "\" passed on as whole");
}

void cutWhileSending(std::size_t BodyBytes, Then Next) {
  constexpr std::chrono::milliseconds AtOnce(0);
  constexpr std::chrono::milliseconds Later(50);
  for (const char *Route : Routes)
    for (auto Pause : {AtOnce, Later})
      cutWhileSending(Route, BodyBytes, Next, Pause);
}

} // namespace

// MIXED: a part of a response without a length was passed on as the whole one
// when its endpoint broke off while the request was being sent. The failing
// write takes the socket's error, so that the read sees a plain end.
BOOST_AUTO_TEST_SUITE(EarlyAnswerTests)

BOOST_AUTO_TEST_CASE(unmarkedResponseThatIsResetDuringTheUploadIsNotComplete) {
  cutWhileSending(LargeBody, Then::Reset);
}

BOOST_AUTO_TEST_CASE(unmarkedResponseThatIsClosedDuringTheUploadIsNotComplete) {
  cutWhileSending(LargeBody, Then::Close);
}

BOOST_AUTO_TEST_CASE(unmarkedResponseThatEndsDuringTheUploadIsNotComplete) {
  cutWhileSending(LargeBody, Then::EndSending);
}

// The kernel has taken the whole request, but the endpoint ended its response
// before it had received that.
BOOST_AUTO_TEST_CASE(unmarkedResponseThatEndsBeforeTheRequestIsNotComplete) {
  for (Then Next : {Then::Reset, Then::Close, Then::EndSending})
    cutWhileSending(BufferedBody, Next);
}

// A write that failed is not noted as a regular close of the endpoint.
BOOST_AUTO_TEST_CASE(resetDuringTheUploadIsLoggedAsReset) {
  Sample S("book", Framing::Close);
  Play P("book", LargeBody, [&](const std::string &Head) {
    return EarlyEndpoint::Answer{S.first(Head), Then::Reset};
  });
  BOOST_REQUIRE(!P.Host.Done.empty());
  BOOST_TEST(P.Host.Done.back().Attempts.find("peer=reset") !=
                 std::string::npos,
             P.Host.Done.back().Attempts);
}

// An endpoint may respond before it has read the request. What marks its own
// end is whole, however the connection ends.
BOOST_AUTO_TEST_CASE(markedResponseDuringTheUploadIsComplete) {
  for (const char *Route : Routes)
    for (Framing Mark : {Framing::Length, Framing::Chunks})
      for (Then Next : {Then::Reset, Then::Close, Then::EndSending}) {
        Sample S(Route, Mark);
        Play P(Route, LargeBody, [&](const std::string &Head) {
          return EarlyEndpoint::Answer{S.first(Head) + S.rest(), Next};
        });
        BOOST_TEST(P.success(), Route);
        BOOST_TEST(P.Got.Body == S.whole(), Route);
      }
}

BOOST_AUTO_TEST_CASE(markedResponseThatIsCutDuringTheUploadIsNotComplete) {
  for (const char *Route : Routes)
    for (Framing Mark : {Framing::Length, Framing::Chunks})
      for (Then Next : {Then::Reset, Then::Close, Then::EndSending}) {
        Sample S(Route, Mark);
        Play P(Route, LargeBody, [&](const std::string &Head) {
          return EarlyEndpoint::Answer{S.first(Head), Next};
        });
        BOOST_TEST(!P.success(), Route);
      }
}

// A response that begins early does not end the upload: the endpoint gets the
// rest of the request, and the caller the rest of the response.
BOOST_AUTO_TEST_CASE(uploadGoesOnDuringAnEarlyResponse) {
  for (const char *Route : Routes)
    for (Framing Mark : {Framing::Length, Framing::Chunks, Framing::Close}) {
      Sample S(Route, Mark);
      Play P(Route, LargeBody, [&](const std::string &Head) {
        return EarlyEndpoint::Answer{S.first(Head), Then::ReadOn, S.rest()};
      });
      BOOST_TEST(P.success(), Route);
      BOOST_TEST(P.Got.Body == S.whole(), Route);
      BOOST_TEST(P.Endpoint.RequestBytes > LargeBody, Route);
    }
}

// An endpoint that refuses a long upload may leave before it has read that. Its
// refusal is in the head; without it a request that has not run is lost.
BOOST_AUTO_TEST_CASE(refusalDuringTheUploadIsBelievedWithoutItsBody) {
  for (const char *Route : Routes)
    for (const char *Mark :
         {"", "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n"})
      for (Then Next : {Then::Reset, Then::Close, Then::EndSending}) {
        const std::string Refusal =
            std::string("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n") + Mark +
            "\r\n";
        Play P(Route, LargeBody, [&](const std::string &) {
          return EarlyEndpoint::Answer{Refusal, Next};
        });
        BOOST_REQUIRE(!P.Host.Done.empty());
        const std::string &Attempts = P.Host.Done.back().Attempts;
        BOOST_TEST(Attempts.find("refused=503") != std::string::npos,
                   Route << ": " << Attempts);
      }
}

BOOST_AUTO_TEST_SUITE_END()
