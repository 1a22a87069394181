// Seeded mutations of good inputs: whatever comes from outside is read or
// refused, and never ends the process. Run under the sanitizers by
// scripts/test_sanitized.sh.

#include <random>

#include <boost/test/unit_test.hpp>

#include "platform/platformsettings.h"
#include "platform/tabledecoder.h"
#include "platform/wirenames.h"
#include "relay/eventsplitter.h"
#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using namespace celerybeam::platform;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr int Rounds = 2000;
constexpr int SocketRounds = 200;

/// Changes, drops, doubles or inserts a few bytes.
std::string mutate(std::string Text, std::mt19937_64 &Random) {
  for (auto Edits = 1 + Random() % 4; Edits > 0 && !Text.empty(); --Edits) {
    std::size_t At = Random() % Text.size();
    switch (Random() % 4) {
    case 0:
      Text[At] = static_cast<char>(Random());
      break;
    case 1:
      Text.erase(At, 1 + Random() % 8);
      break;
    case 2:
      Text.insert(At, Text.substr(At, 1 + Random() % 16));
      break;
    default:
      Text.insert(At, 1, "\r\n:,{}\"0-"[Random() % 9]);
    }
  }
  return Text;
}

template <typename Check> void fuzz(const std::string &Good, Check Read) {
  std::mt19937_64 Random(Seed);
  for (int I = 0; I < Rounds; ++I)
    Read(mutate(Good, Random));
}

} // namespace

BOOST_AUTO_TEST_SUITE(InputFuzz)

BOOST_AUTO_TEST_CASE(tables) {
  fuzz(R"({"version":7,"routes":[{"name":"r","hostname":"x","pathPrefix":"/a/",
          "routeType":"streaming","timeoutMs":3000,"backend":"b",
          "homeRegions":["k"]}],"services":[{"name":"b","engine":{"slots":4,
          "stride":8}}],"limits":{"maxBodyBytes":9}})",
       [](const std::string &Text) {
         auto Tables = decodeTables(Text);
         if (!Tables)
           BOOST_TEST(!Tables.error().Message.empty());
       });
}

BOOST_AUTO_TEST_CASE(endpoints) {
  const ZoneRegions Zones = {{ZoneId("z"), RegionId("r")}};
  fuzz(R"({"backend":"b","address":"10.0.0.1:80","zone":"z","slots":4,
          "state":"ready","coldRemainingMs":5,"born":17})",
       [&](const std::string &Text) {
         auto E = decodeEndpoint("servers/e", Text, Zones, TimePoint());
         if (E)
           BOOST_TEST(E->Region.str() == "r");
       });
}

BOOST_AUTO_TEST_CASE(settings) {
  fuzz("nodeName: a\nip: 10.0.0.1\nzone: z\nregion: r\nzones: {z: r}\n"
       "listen: {front: '10.0.0.1:1', ready: '10.0.0.1:2', directory: "
       "'10.0.0.1:3'}\ninternalPorts: [5, 6]\nplatform: {address: 'b:1'}\n",
       [](const std::string &Text) {
         auto S = parseSettings(Text);
         if (!S)
           BOOST_TEST((S.error().Kind == ErrorKind::InvalidSettings));
       });
}

BOOST_AUTO_TEST_CASE(requestFields) {
  fuzz("5c1e07a2:800,91bd3f06:410", [](const std::string &Text) {
    HttpServerRequest R;
    R.Head = {"GET",
              "/",
              {{"Host", Text},
               {"X-Attempt-Id", "a"},
               {"X-Token-Count", Text},
               {"X-Prompt-Prefix", Text},
               {"X-Deadline-Ms", Text}}};
    decodeRequest(R);
    decodeLoad(Text);
  });
}

BOOST_AUTO_TEST_CASE(eventStreams) {
  fuzz("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n",
       [](const std::string &Text) {
         EventSplitter Whole;
         std::string Out = Whole.take(Text);
         BOOST_TEST(Out.size() + Whole.partial().size() <= Text.size());
       });
}

// Whatever a caller sends, an endpoint runs at most the request that was meant.
BOOST_FIXTURE_TEST_CASE(callersBytes, testing::RelayFixture) {
  testing::RawServer &E = addEndpoint(
      "a", "plain", [](const std::string &R) { return ran(R, "done"); });
  std::mt19937_64 Random(Seed);
  for (int I = 0; I < SocketRounds; ++I) {
    std::size_t Before = E.Requests.size();
    testing::RawCaller C(Loop, Front.address().str(),
                         mutate(request("book", "", "0123456789"), Random));
    // A request cut short is ended by its caller.
    for (int Turn = 0; Turn < 20 && C.received().empty(); ++Turn)
      Loop.context().run_one_for(std::chrono::milliseconds(1));
    C.close();
    BOOST_TEST(E.Requests.size() <= Before + 1);
  }
  BOOST_TEST(ask(request("book")).ends_with("done"));
}

// Whatever an endpoint answers, a caller gets a whole signed answer or a
// failure of ours.
BOOST_FIXTURE_TEST_CASE(endpointsBytes, testing::RelayFixture) {
  std::mt19937_64 Random(Seed);
  addEndpoint("a", "plain", [&](const std::string &R) {
    auto Good = ran(R, "0123456789");
    Good.Bytes = mutate(Good.Bytes, Random);
    Good.Close = true;
    return Good;
  });
  for (int I = 0; I < SocketRounds; ++I) {
    std::string Answer = ask(request("book"));
    BOOST_TEST(Answer.starts_with("HTTP/1.1 "));
    if (Answer.starts_with("HTTP/1.1 200"))
      BOOST_TEST(!field(Answer, "Signature").empty());
    Decisions.health().recordCheck(endpointKeyOf(EndpointId("a"), 1), true);
  }
}

BOOST_AUTO_TEST_SUITE_END()
