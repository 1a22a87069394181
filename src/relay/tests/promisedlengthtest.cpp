#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawServer;

namespace {

bool hasStatus(const std::string &Answer, const char *Status) {
  return Answer.starts_with(std::string("HTTP/1.1 ") + Status);
}

/// The response of an endpoint that promises a body of this length.
RawServer::Answer promising(const std::string &Request,
                            const std::string &Length) {
  return {"HTTP/1.1 200 OK\r\nRequest-Id: " +
              testing::RelayFixture::field(Request, "Request-Id") +
              "\r\nSignature: s\r\nContent-Length: " + Length + "\r\n\r\nbody",
          true, false};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(PromisedLengthTests, testing::RelayFixture)

// LOST: a response whose head promises a huge length that is never sent ends
// the process, and the requests of all other callers with it.
BOOST_AUTO_TEST_CASE(hugeLengthEndsOnlyItsOwnRequest) {
  for (const char *Length :
       {"99999999999999", "9223372036854775807", "18446744073709551615"})
    for (const char *Route : {"book", "look", "draft", "ask"}) {
      BOOST_TEST_CONTEXT(Route << " " << Length) {
        RelayFixture Host;
        const char *Pool =
            Route[0] == 'd' || Route[0] == 'a' ? "engines" : "plain";
        Host.addEndpoint("a", Pool, [&](const std::string &R) {
          return promising(R, Length);
        });
        BOOST_CHECK_NO_THROW(
            BOOST_TEST(hasStatus(Host.ask(Host.request(Route)), "502")));
      }
    }
}

BOOST_AUTO_TEST_CASE(hugeLengthOfAnotherHostEndsOnlyItsOwnRequest) {
  addOtherHost("plain", [](const std::string &R) {
    return promising(R, "99999999999999");
  });
  BOOST_CHECK_NO_THROW(BOOST_TEST(hasStatus(ask(request("book")), "502")));
}

BOOST_AUTO_TEST_SUITE_END()
