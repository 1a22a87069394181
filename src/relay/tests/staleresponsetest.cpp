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
          &addEndpoint(Id, "plain", [Written](const std::string &R) {
            return RawServer::Answer{Written(R), false, false};
          }));
  }

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

BOOST_AUTO_TEST_SUITE_END()
