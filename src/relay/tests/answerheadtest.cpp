#include "relay/internal/answerhead.h"

#include <boost/test/unit_test.hpp>

using namespace celerybeam;
using namespace celerybeam::detail;

namespace {

WireNames names() {
  WireNames Names;
  Names.RequestId = "Request-Id";
  Names.Signature = "Signature";
  Names.NotExecuted = "Not-Executed";
  return Names;
}

const HttpField OwnId{"Request-Id", "q1"};
const HttpField OtherId{"Request-Id", "q2"};
const HttpField Signed{"Signature", "s"};
const HttpField NotExecuted{"Not-Executed", "1"};
const HttpField NotRunBetweenHosts{NotRunField, "1"};

constexpr AnswerSource Endpoint{false, false};
constexpr AnswerSource UsedEndpoint{false, true};
constexpr AnswerSource Host{true, false};
constexpr AnswerSource UsedHost{true, true};

AnswerKind kindOf(unsigned Status, HttpFields Fields, AnswerSource Source) {
  return classifyAnswer({Status, std::move(Fields)}, names(), RequestId("q1"),
                        Source);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseHeadTests)

BOOST_AUTO_TEST_CASE(successNeedsIdAndSignature) {
  for (AnswerSource Source : {Endpoint, UsedEndpoint, Host, UsedHost}) {
    BOOST_TEST((kindOf(200, {OwnId, Signed}, Source) == AnswerKind::Response));
    BOOST_TEST((kindOf(200, {OwnId}, Source) == AnswerKind::Spoiled));
    BOOST_TEST((kindOf(200, {Signed}, Source) == AnswerKind::Spoiled));
    BOOST_TEST(
        (kindOf(200, {OtherId, Signed}, Source) == AnswerKind::OfAnother));
  }
}

BOOST_AUTO_TEST_CASE(refusalOfAnotherRequestIsIgnored) {
  for (AnswerSource Source : {Endpoint, UsedEndpoint, Host, UsedHost})
    BOOST_TEST((kindOf(503, {OtherId, NotExecuted, NotRunBetweenHosts},
                       Source) == AnswerKind::OfAnother));
}

BOOST_AUTO_TEST_CASE(refusalWithoutIdIsAcceptedOnAnUnusedConnectionOnly) {
  BOOST_TEST((kindOf(503, {NotExecuted}, Endpoint) == AnswerKind::NotRun));
  BOOST_TEST((kindOf(421, {}, Endpoint) == AnswerKind::NotRun));
  BOOST_TEST((kindOf(408, {NotRunBetweenHosts}, Host) == AnswerKind::NotRun));
  BOOST_TEST((kindOf(503, {NotExecuted}, UsedEndpoint) == AnswerKind::Spoiled));
  BOOST_TEST((kindOf(421, {}, UsedEndpoint) == AnswerKind::Spoiled));
  BOOST_TEST(
      (kindOf(408, {NotRunBetweenHosts}, UsedHost) == AnswerKind::Spoiled));
}

BOOST_AUTO_TEST_CASE(refusalWithIdIsAcceptedOnEachConnection) {
  for (AnswerSource Source : {Endpoint, UsedEndpoint})
    BOOST_TEST(
        (kindOf(503, {OwnId, NotExecuted}, Source) == AnswerKind::NotRun));
  for (AnswerSource Source : {Host, UsedHost})
    BOOST_TEST((kindOf(503, {OwnId, NotRunBetweenHosts}, Source) ==
                AnswerKind::NotRun));
}

// Endpoints and hosts state with different fields that a request has not run. A
// field of the other kind must have no effect.
BOOST_AUTO_TEST_CASE(notRunFieldOfTheOtherKindIsIgnored) {
  for (unsigned Status : {400U, 408U, 413U, 421U, 429U, 431U, 503U}) {
    BOOST_TEST(
        (kindOf(Status, {OwnId, NotExecuted}, Host) == AnswerKind::Response));
    BOOST_TEST((kindOf(Status, {NotExecuted}, Host) == AnswerKind::Spoiled));
    if (Status != 421)
      BOOST_TEST((kindOf(Status, {OwnId, NotRunBetweenHosts}, Endpoint) ==
                  AnswerKind::Response));
  }
}

// A host's own refusal without the field and without an id must not be taken
// for an endpoint's response.
BOOST_AUTO_TEST_CASE(hostRefusalIsNeverAnEndpointResponse) {
  for (unsigned Status : {400U, 408U, 413U, 431U, 500U, 503U})
    for (AnswerSource Source : {Host, UsedHost})
      BOOST_TEST((kindOf(Status, {}, Source) == AnswerKind::Spoiled));
  for (unsigned Status : {400U, 413U, 431U, 500U})
    BOOST_TEST((kindOf(Status, {}, Endpoint) == AnswerKind::Response));
}

BOOST_AUTO_TEST_CASE(recodedBodyIsInvalid) {
  const HttpField Coded{"Content-Encoding", "gzip"};
  for (AnswerSource Source : {Endpoint, Host})
    BOOST_TEST((kindOf(404, {OwnId, Coded}, Source) == AnswerKind::Spoiled));
}

BOOST_AUTO_TEST_CASE(fourStatusesPromiseNotRun) {
  for (unsigned Status = 200; Status < 600; ++Status) {
    bool Expected =
        Status == 408 || Status == 421 || Status == 429 || Status == 503;
    BOOST_TEST(promisesNotRun(Status) == Expected);
  }
}

BOOST_AUTO_TEST_SUITE_END()
