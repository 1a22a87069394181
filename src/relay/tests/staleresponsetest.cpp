#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawServer;

namespace {

/// An endpoint's statement that it has not run a request; without an id if that
/// is empty.
std::string refusal(const std::string &Id) {
  std::string IdLine = Id.empty() ? "" : "Request-Id: " + Id + "\r\n";
  return "HTTP/1.1 503 No\r\n" + IdLine +
         "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string withLength(const std::string &Head, const std::string &Body) {
  return Head + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// Two endpoints that write the same bytes before, or instead of, their
/// response to each request, and a clock that stands still.
class FaultyEndpoints : public testing::RelayFixture {
public:
  using Bytes = std::function<std::string(const std::string &Request)>;

  FaultyEndpoints()
      : RelayFixture([] { return TimePoint(std::chrono::seconds(1000)); }) {}

  void addBoth(const Bytes &Written) {
    for (const char *Id : {"a", "b"})
      Endpoints_.push_back(
          &addEndpoint(Id, "plain", [this, Written](const std::string &R) {
            return RawServer::Answer{Written(R), Closes, false};
          }));
  }

  /// Whether the endpoints close their connections after the bytes.
  bool Closes = false;

  /// Sends a request and runs it to its end. \return the caller's status.
  unsigned statusOf(const std::string &Request) {
    std::size_t Before = Done.size();
    testing::RawCaller C(Loop, Front.address().str(), Request);
    testing::runUntil(Loop, [&] { return Done.size() > Before; });
    return Done.back().Status;
  }

  std::size_t sent() const {
    std::size_t Sum = 0;
    for (const RawServer *E : Endpoints_)
      Sum += E->Requests.size();
    return Sum;
  }

private:
  std::vector<RawServer *> Endpoints_;
};

/// The same request as another method without a body in its response.
std::string asHead(const std::string &Post) { return "HEAD" + Post.substr(4); }

} // namespace

BOOST_FIXTURE_TEST_SUITE(StaleResponseTests, FaultyEndpoints)

BOOST_AUTO_TEST_CASE(refusalWithoutIdAfterASkippedResponseIsInvalid) {
  addBoth([](const std::string &) { return refusal("other") + refusal(""); });
  BOOST_TEST(statusOf(request("book")) == 502U);
  BOOST_TEST(sent() == 1U);
}

BOOST_AUTO_TEST_CASE(trailerFieldsDoNotMakeARefusal) {
  addBoth([](const std::string &R) {
    return "HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n"
           "0\r\nRequest-Id: " +
           field(R, "Request-Id") + "\r\nNot-Executed: 1\r\n\r\n";
  });
  BOOST_TEST(statusOf(request("book")) == 502U);
  BOOST_TEST(sent() == 1U);
}

// Whether a skipped response has a body depends on the method of its request.
BOOST_AUTO_TEST_CASE(headRequestDoesNotSkipAResponse) {
  addBoth([](const std::string &R) {
    return withLength("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n",
                      refusal(field(R, "Request-Id")));
  });
  BOOST_TEST(statusOf(asHead(request("book"))) == 502U);
  BOOST_TEST(sent() == 1U);
}

BOOST_AUTO_TEST_CASE(connectionOfAHeadRequestIsNotReused) {
  addBoth([](const std::string &R) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + field(R, "Request-Id") +
           "\r\nSignature: s\r\nContent-Length: 4\r\n\r\n";
  });
  for (unsigned Made : {1U, 2U}) {
    BOOST_TEST(statusOf(asHead(request("look"))) == 200U);
    BOOST_TEST(Caller.connectionsMade() == Made);
  }
}

BOOST_AUTO_TEST_CASE(skippedResponseOfAnyFramingIsReadToItsEnd) {
  const std::string Other = "Request-Id: other\r\nNot-Executed: 1\r\n";
  // What a response of this request looks like; the id is that of the request.
  const std::string Own = refusal("q1");
  const std::string Chunk = renderChunk(Own);
  const std::vector<std::string> Responses = {
      withLength("HTTP/1.1 503 No\r\n" + Other, Own),
      withLength("HTTP/1.0 503 No\r\nConnection: keep-alive\r\n" + Other, Own),
      "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n" + Other + "\r\n" +
          Chunk + "0;a=\"b\"\r\nRequest-Id: q1\r\n\r\n",
      "HTTP/1.1 204 No\r\n" + Other + "\r\n",
      "HTTP/1.1 304 No\r\nContent-Length: 9\r\n" + Other + "\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n" + refusal("other"),
      "HTTP/1.1 103 Hints\r\nRequest-Id: q1\r\nNot-Executed: 1\r\n\r\n" +
          refusal("other"),
      refusal("Q1"),
      refusal("q1 q1"),
      refusal("other") + refusal("other")};
  for (const std::string &Stale : Responses) {
    FaultyEndpoints Tested;
    Tested.addBoth(
        [&](const std::string &R) { return Stale + ran(R, "own").Bytes; });
    BOOST_TEST_CONTEXT(Stale) {
      BOOST_TEST(Tested.ask(Tested.request("book")).ends_with("\r\n\r\nown"));
      BOOST_TEST(Tested.sent() == 1U);
    }
  }
}

// Where it ends is unknown, so what follows is not read as a response.
BOOST_AUTO_TEST_CASE(nothingIsReadAfterASkippedResponseWithoutLength) {
  for (const char *Head :
       {"HTTP/1.1 503 No\r\n", "HTTP/1.0 503 No\r\nContent-Length: 0\r\n",
        "HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n"}) {
    FaultyEndpoints Tested;
    Tested.Closes = true;
    Tested.addBoth([&](const std::string &) {
      return Head + std::string("Request-Id: other\r\n\r\n") + refusal("q1");
    });
    BOOST_TEST_CONTEXT(Head) {
      BOOST_TEST(Tested.statusOf(Tested.request("book")) == 502U);
      BOOST_TEST(Tested.sent() == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(refusalAfterTheOwnHeadIsNotBelieved) {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSignature: s\r\n";
  struct Case {
    std::string Begun;
    unsigned Status;
  };
  for (const Case &Each :
       {Case{Head + "Transfer-Encoding: chunked\r\n\r\n", 502},
        Case{Head + "Transfer-Encoding: chunked\r\n\r\n" + renderChunk("own"),
             502},
        Case{Head + "Content-Length: 999\r\n\r\nown", 502},
        Case{withLength(Head, "own"), 200}}) {
    FaultyEndpoints Tested;
    Tested.Closes = true;
    Tested.addBoth(
        [&](const std::string &) { return Each.Begun + refusal("q1"); });
    BOOST_TEST_CONTEXT(Each.Begun) {
      BOOST_TEST(Tested.statusOf(Tested.request("book")) == Each.Status);
      BOOST_TEST(Tested.sent() == 1U);
    }
  }
}

// Another endpoint may have the same address, for example after a restart.
BOOST_AUTO_TEST_CASE(bookingIsSentAgainOnANewConnectionOnly) {
  unsigned Sent = 0;
  RawServer Server(Loop, [&](const std::string &R) {
    return RawServer::Answer{++Sent == 1 ? refusal(field(R, "Request-Id"))
                                         : ran(R, "own").Bytes,
                             false, false};
  });
  addEndpointAt("a", "plain", Server.address());
  addEndpointAt("b", "plain", Server.address());
  BOOST_TEST(statusOf(request("book")) == 200U);
  BOOST_TEST(Sent == 2U);
  BOOST_TEST(Caller.connectionsMade() == 2U);
}

BOOST_AUTO_TEST_CASE(lookUpSentAgainToAnAddressIsNotTakenForRefusedTwice) {
  unsigned Sent = 0;
  RawServer Server(Loop, [&](const std::string &R) {
    std::string Earlier =
        "HTTP/1.1 421 No\r\nRequest-Id: " + field(R, "Request-Id") +
        "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    if (++Sent == 1)
      return RawServer::Answer{Earlier, false, false};
    // The refusal comes once more on the connection on which it was sent.
    bool SameConnection = Caller.connectionsMade() == 1;
    return RawServer::Answer{
        (SameConnection ? Earlier : "") + ran(R, "own").Bytes, false, false};
  });
  addEndpointAt("a", "plain", Server.address());
  addEndpointAt("b", "plain", Server.address());
  BOOST_TEST(statusOf(request("look")) == 200U);
  BOOST_TEST(Sent == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
