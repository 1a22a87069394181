#include <boost/test/unit_test.hpp>

#include "gateway/errorresponse.h"
#include "gateway/internal/callerroutes.h"
#include "gateway/internal/headchecks.h"
#include "gateway/internal/responsebuffer.h"

using namespace celerybeam;

namespace {

RequestHead headWith(HeaderFields Fields) {
  RequestHead Head{"POST", "/v1/completions", "", std::move(Fields)};
  return Head;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HeadChecks)

BOOST_AUTO_TEST_CASE(RefusesHeadsWithAmbiguousFraming) {
  HeaderField Length{"content-length", "5"};
  HeaderField Chunked{"transfer-encoding", "chunked"};
  for (const HeaderFields &Fields :
       {HeaderFields{Length, Length}, HeaderFields{Length, Chunked},
        HeaderFields{Chunked, Chunked},
        HeaderFields{{"transfer-encoding", "chunked, gzip"}},
        HeaderFields{{"transfer-encoding", "xchunked"}},
        HeaderFields{{"content-length", "5, 5"}},
        HeaderFields{{"content-length", "+5"}},
        HeaderFields{{"content-length", ""}},
        HeaderFields{{"content-length", "99999999999999999999"}}}) {
    auto Framing = readFraming(headWith(Fields));
    BOOST_REQUIRE(!Framing);
    BOOST_TEST((Framing.error().Kind == ErrorKind::BadRequest));
  }
  BOOST_TEST(*readFraming(headWith({Length}))->Length == 5U);
  BOOST_TEST(readFraming(headWith({Chunked}))->Chunked);
}

BOOST_AUTO_TEST_CASE(KeepsTargetsAsSentAndRefusesUnsafeOnes) {
  RequestHead Head;
  BOOST_REQUIRE(readTarget("/services/a/b%20c?x=1&y=2", Head));
  BOOST_TEST(Head.Path == "/services/a/b%20c");
  BOOST_TEST(Head.Query == "x=1&y=2");
  for (const char *Target :
       {"", "*", "http://other/", "/a b", "/a\r\nx", "/a#b", "/a/../b",
        "/a/%2e%2E/b", "/a/.", "/a/.%2e"}) {
    RequestHead Other;
    BOOST_TEST(!readTarget(Target, Other), Target);
  }
}

BOOST_AUTO_TEST_CASE(LimitsSizesAndNamesTheLimit) {
  RequestHead Head = headWith({{"x", std::string(100, 'a')}});
  BodyFraming Framing{50, false};
  BOOST_TEST(checkSizes(Head, Framing, 1000, 50).has_value());
  auto Long = checkSizes(Head, Framing, 100, 50);
  BOOST_TEST((Long.error().Kind == ErrorKind::HeadersTooLarge));
  auto Large = checkSizes(Head, Framing, 1000, 49);
  BOOST_TEST((Large.error().Kind == ErrorKind::BodyTooLarge));
  BOOST_TEST(Large.error().Message.find("49 bytes") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RoutesByPathAndMethod) {
  RequestHead Head{"GET", "/v1/entries", "", {}};
  BOOST_TEST((findCallerTarget(Head) == CallerTarget::Entries));
  Head.Method = "DELETE";
  auto Wrong = findCallerTarget(Head);
  BOOST_TEST(Wrong.error().Head.Status == 405);
  BOOST_TEST(findHeader(Wrong.error().Head.Headers, "allow") == "GET");
  Head.Path = "/services/slots/a";
  BOOST_TEST((findCallerTarget(Head) == CallerTarget::Request));
  Head.Path = "/services/";
  BOOST_TEST(findCallerTarget(Head).error().Head.Status == 404);
}

BOOST_AUTO_TEST_CASE(ErrorsIncludeRetryAfter) {
  Error Failure{ErrorKind::Overloaded, "Full.",
                std::chrono::milliseconds(1250)};
  CallerResponse Response = errorResponse(Failure);
  BOOST_TEST(Response.Head.Status == 503);
  BOOST_TEST(findHeader(Response.Head.Headers, "retry-after") == "2");
  BOOST_TEST(Response.Body == "{\"error\":{\"kind\":\"overloaded\",\"message\":"
                              "\"Full.\",\"retry_after_ms\":1250}}");
  BOOST_TEST(errorJson({ErrorKind::OutcomeUnknown, "?"})
                 .find("\"outcome\":\"unknown\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(BufferKnowsTheEndOfAnEvent) {
  ResponseBuffer Buffer;
  BOOST_TEST(Buffer.atEventBoundary());
  Buffer.append("data: 1\n");
  BOOST_TEST(!Buffer.atEventBoundary());
  Buffer.append("\n");
  BOOST_TEST(Buffer.atEventBoundary());
  Buffer.append("data: 2\r\n\r");
  BOOST_TEST(!Buffer.atEventBoundary());
  Buffer.append("\n");
  BOOST_TEST(Buffer.atEventBoundary());
  std::string Out(64, ' ');
  Out.resize(Buffer.take(Out.data(), Out.size()));
  BOOST_TEST(Out == "data: 1\n\ndata: 2\r\n\r\n");
  BOOST_TEST(Buffer.empty());
}

BOOST_AUTO_TEST_SUITE_END()
