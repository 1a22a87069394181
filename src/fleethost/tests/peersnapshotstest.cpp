#include <boost/test/unit_test.hpp>

#include "fleethost/internal/peersnapshots.h"
#include "fleethost/internal/snapshotcodec.h"
#include "relay/tests/rawpeer.h"

using namespace celerybeam;
using namespace celerybeam::detail;
using celerybeam::testing::RawServer;

namespace {

/// The summary that another host's response yields.
std::optional<MirrorSummary> summaryOf(const std::string &Status,
                                       const std::string &Body) {
  EventLoop Loop;
  HttpCaller Caller(Loop);
  RawServer Host(Loop, [&](const std::string &) {
    return RawServer::Answer{"HTTP/1.1 " + Status + "\r\nContent-Length: " +
                                 std::to_string(Body.size()) + "\r\n\r\n" +
                                 Body,
                             false, false};
  });
  std::string Where = Host.address();
  std::size_t Colon = Where.find(':');
  PeerSnapshots Snapshots(Loop.runtime(), Caller, Where.substr(Colon + 1));
  std::optional<Result<MirrorSummary>> Got;
  Snapshots.askSummary(
      Where.substr(0, Colon),
      [&](Result<MirrorSummary> Answer) { Got = std::move(Answer); });
  testing::runUntil(Loop, [&] { return Got.has_value(); });
  return *Got ? std::optional(**Got) : std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerSnapshotsTests)

// A host of an earlier version, or one that drains, refuses the request; its
// message would confirm tables that may be old.
BOOST_AUTO_TEST_CASE(refusalOfAHostIsNoSummary) {
  MirrorSummary Current{RegionId("kigali"), {1, 5}, {1, 6}, true, false};
  std::string Body = writeSummary(Current);
  auto Got = summaryOf("200 OK", Body);
  BOOST_REQUIRE(Got);
  BOOST_TEST(Got->Current);
  for (const char *Status :
       {"400 Bad Request", "404 Not Found", "503 Service Unavailable"})
    BOOST_TEST(!summaryOf(Status, Body).has_value(), Status);
}

BOOST_AUTO_TEST_SUITE_END()
