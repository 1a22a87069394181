#include "relay/internal/responsehead.h"

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

constexpr ResponseSource Endpoint{false, false};
constexpr ResponseSource UsedEndpoint{false, true};
constexpr ResponseSource Host{true, false};
constexpr ResponseSource UsedHost{true, true};

ResponseKind kindOf(unsigned Status, HttpFields Fields, ResponseSource Source) {
  return classifyResponse({Status, std::move(Fields)}, names(), RequestId("q1"),
                          Source);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseHeadTests)

BOOST_AUTO_TEST_CASE(successNeedsIdAndSignature) {
  for (ResponseSource Source : {Endpoint, UsedEndpoint, Host, UsedHost}) {
    BOOST_TEST(
        (kindOf(200, {OwnId, Signed}, Source) == ResponseKind::Response));
    BOOST_TEST((kindOf(200, {OwnId}, Source) == ResponseKind::Invalid));
    BOOST_TEST((kindOf(200, {Signed}, Source) == ResponseKind::Invalid));
    BOOST_TEST(
        (kindOf(200, {OtherId, Signed}, Source) == ResponseKind::OtherRequest));
  }
}

BOOST_AUTO_TEST_CASE(refusalOfAnotherRequestIsIgnored) {
  for (ResponseSource Source : {Endpoint, UsedEndpoint, Host, UsedHost})
    BOOST_TEST((kindOf(503, {OtherId, NotExecuted, NotRunBetweenHosts},
                       Source) == ResponseKind::OtherRequest));
}

BOOST_AUTO_TEST_CASE(refusalWithoutIdIsAcceptedOnAnUnusedConnectionOnly) {
  BOOST_TEST((kindOf(503, {NotExecuted}, Endpoint) == ResponseKind::NotRun));
  BOOST_TEST((kindOf(421, {}, Endpoint) == ResponseKind::NotRun));
  BOOST_TEST((kindOf(408, {NotRunBetweenHosts}, Host) == ResponseKind::NotRun));
  BOOST_TEST(
      (kindOf(503, {NotExecuted}, UsedEndpoint) == ResponseKind::Invalid));
  BOOST_TEST((kindOf(421, {}, UsedEndpoint) == ResponseKind::Invalid));
  BOOST_TEST(
      (kindOf(408, {NotRunBetweenHosts}, UsedHost) == ResponseKind::Invalid));
}

BOOST_AUTO_TEST_CASE(refusalWithIdIsAcceptedOnEachConnection) {
  for (ResponseSource Source : {Endpoint, UsedEndpoint})
    BOOST_TEST(
        (kindOf(503, {OwnId, NotExecuted}, Source) == ResponseKind::NotRun));
  for (ResponseSource Source : {Host, UsedHost})
    BOOST_TEST((kindOf(503, {OwnId, NotRunBetweenHosts}, Source) ==
                ResponseKind::NotRun));
}

BOOST_AUTO_TEST_CASE(responseWithIdsOfTwoRequestsIsInvalid) {
  for (ResponseSource Source : {Endpoint, UsedEndpoint, Host, UsedHost})
    for (const HttpFields &Ids :
         {HttpFields{OwnId, OtherId}, HttpFields{OtherId, OwnId}})
      for (const HttpField &Claim : {NotExecuted, NotRunBetweenHosts, Signed})
        BOOST_TEST(
            (kindOf(Claim.Name == Signed.Name ? 200 : 503,
                    {Ids[0], Claim, Ids[1]}, Source) == ResponseKind::Invalid));
  BOOST_TEST((kindOf(503, {OwnId, OwnId, NotExecuted}, UsedEndpoint) ==
              ResponseKind::NotRun));
}

BOOST_AUTO_TEST_CASE(responseWithoutIdOnAUsedConnectionIsInvalid) {
  for (unsigned Status : {200U, 302U, 400U, 404U, 413U, 421U, 500U, 503U})
    for (ResponseSource Source : {UsedEndpoint, UsedHost})
      BOOST_TEST((kindOf(Status, {}, Source) == ResponseKind::Invalid));
}

// Endpoints and hosts state with different fields that a request has not run. A
// field of the other kind must have no effect.
BOOST_AUTO_TEST_CASE(notRunFieldOfTheOtherKindIsIgnored) {
  for (unsigned Status : {400U, 408U, 413U, 421U, 429U, 431U, 503U}) {
    BOOST_TEST(
        (kindOf(Status, {OwnId, NotExecuted}, Host) == ResponseKind::Response));
    BOOST_TEST((kindOf(Status, {NotExecuted}, Host) == ResponseKind::Invalid));
    if (Status != 421)
      BOOST_TEST((kindOf(Status, {OwnId, NotRunBetweenHosts}, Endpoint) ==
                  ResponseKind::Response));
  }
}

// A host's own refusal without the field and without an id must not be taken
// for an endpoint's response.
BOOST_AUTO_TEST_CASE(hostRefusalIsNeverAnEndpointResponse) {
  for (unsigned Status : {400U, 408U, 413U, 431U, 500U, 503U})
    for (ResponseSource Source : {Host, UsedHost})
      BOOST_TEST((kindOf(Status, {}, Source) == ResponseKind::Invalid));
  for (unsigned Status : {400U, 413U, 431U, 500U})
    BOOST_TEST((kindOf(Status, {}, Endpoint) == ResponseKind::Response));
}

BOOST_AUTO_TEST_CASE(recodedBodyIsInvalid) {
  const HttpField Coded{"Content-Encoding", "gzip"};
  for (ResponseSource Source : {Endpoint, Host})
    BOOST_TEST((kindOf(404, {OwnId, Coded}, Source) == ResponseKind::Invalid));
}

BOOST_AUTO_TEST_CASE(fourStatusesPromiseNotRun) {
  for (unsigned Status = 200; Status < 600; ++Status) {
    bool Expected =
        Status == 408 || Status == 421 || Status == 429 || Status == 503;
    BOOST_TEST(promisesNotRun(Status) == Expected);
  }
}

BOOST_AUTO_TEST_SUITE_END()
