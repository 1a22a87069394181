#include "configuration/configurationcontroller.h"

#include <boost/test/unit_test.hpp>

#include "configuration/tests/fleet.h"
#include "configuration/tests/tablerows.h"

using namespace celerybeam;
using namespace celerybeam::tests;
using namespace std::chrono_literals;

namespace {

// Maximum time from the acceptance of a change until it is in force on every
// host that has a path to the store or to a host with the change.
constexpr Duration InForceLimit = 12s;

/// Two regions, one with two zones, three hosts a zone.
void addHosts(Fleet &F) {
  for (const char *Id :
       {"ka1", "ka2", "ka3", "kb1", "kb2", "kb3", "ma1", "ma2", "ma3"})
    F.add(Id);
}

/// Puts the first revision in force on all hosts.
TableRows start(Fleet &F) {
  TableRows Rows = someRows(20);
  BOOST_REQUIRE(F.apply({}, Rows)->has_value());
  F.Time.runFor(InForceLimit);
  BOOST_REQUIRE(F.allHave(1));
  return Rows;
}

/// Applies an edit that makes the next revision.
void edit(Fleet &F, TableRows &Rows, int Seconds) {
  TableRows Next = withDeadline(Rows, "r0", Seconds);
  BOOST_REQUIRE(F.apply(Rows, Next)->has_value());
  Rows = Next;
}

bool inRegion(const HostId &Host, char Region) {
  return Host.str().front() == Region;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationControllerTests)

BOOST_AUTO_TEST_CASE(aChangeIsInForceEverywhere) {
  Fleet F;
  addHosts(F);
  TableRows Rows = start(F);
  edit(F, Rows, 7);
  F.Time.runFor(InForceLimit);
  BOOST_TEST(F.allHave(2));
  const RouteRow *Row = F["ma3"].Board.tables()->findRoute(RouteName("r0"));
  BOOST_TEST(Row->DefaultDeadline.count() == 7'000'000);
}

BOOST_AUTO_TEST_CASE(aHostIsReadyWhenTheStoreHasNoTables) {
  Fleet F;
  F.add("ka1");
  BOOST_TEST(!F["ka1"].Controller->ready());
  F.Time.runFor(1s);
  BOOST_TEST(F["ka1"].Controller->ready());
}

BOOST_AUTO_TEST_CASE(aHostIsNotReadyWhileTheStoreIsDownAndNoPeerExists) {
  Fleet F;
  F.Store.Down = true;
  F.add("ka1");
  F.Time.runFor(60s);
  BOOST_TEST(!F["ka1"].Controller->ready());
  F.Store.Down = false;
  F.Time.runFor(InForceLimit);
  BOOST_TEST(F["ka1"].Controller->ready());
}

BOOST_AUTO_TEST_CASE(aStaleEmptyReadOfTheStoreMakesNoHostReady) {
  Fleet F;
  addHosts(F);
  start(F);
  F.Store.ReportsEmpty = true;
  Fleet::Host &Fresh = F.add("ka9");
  F.Passes = [](const auto &, const HostId &To, auto &) {
    return To.str() != "ka9";
  };
  F.Time.runFor(10s);
  BOOST_TEST(!Fresh.Controller->ready());
}

BOOST_AUTO_TEST_CASE(aHostThatStartsInAnOutageGetsTheTablesFromPeers) {
  Fleet F;
  addHosts(F);
  TableRows Rows = start(F);
  edit(F, Rows, 7);
  F.Time.runFor(InForceLimit);
  F.Store.Down = true;
  F.Time.runFor(600s);
  Fleet::Host &Fresh = F.add("ka9");
  F.Time.runFor(5s);
  BOOST_TEST(Fresh.inForce() == 2U);
  BOOST_TEST(Fresh.Controller->ready());
  // Hosts that have tables keep them in force.
  BOOST_TEST(F.allHave(2));
}

BOOST_AUTO_TEST_CASE(aStaleReadOfTheStoreRevertsNothing) {
  Fleet F;
  addHosts(F);
  TableRows Rows = start(F);
  edit(F, Rows, 7);
  F.Time.runFor(InForceLimit);
  F.Store.freeze();
  edit(F, Rows, 8);
  F.Time.runFor(InForceLimit);
  BOOST_TEST(F.allHave(2));
  F.Store.thaw();
  F.Time.runFor(InForceLimit);
  BOOST_TEST(F.allHave(3));
}

BOOST_AUTO_TEST_CASE(aRegionPartitionedFromTheStoreGetsTablesFromTheOther) {
  Fleet F;
  addHosts(F);
  TableRows Rows = start(F);
  for (const char *Id : {"ma1", "ma2", "ma3"})
    F[Id].StorePartitioned = true;
  // Only one host of the region still reaches the other region.
  F.Passes = [](const HostId &From, const HostId &To, auto &) {
    return inRegion(From, 'm') == inRegion(To, 'm') || From.str() == "ma2" ||
           To.str() == "ma2";
  };
  edit(F, Rows, 7);
  F.Time.runFor(InForceLimit);
  BOOST_TEST(F.allHave(2));
}

BOOST_AUTO_TEST_CASE(aZoneWhoseWatchersCannotReachTheStoreStillGetsTables) {
  // Each host of the zone in turn is the only one that can reach the store.
  for (const char *Open : {"ma1", "ma2", "ma3"}) {
    Fleet F;
    addHosts(F);
    TableRows Rows = start(F);
    F.Passes = [](const HostId &From, const HostId &To, auto &) {
      return inRegion(From, 'm') == inRegion(To, 'm');
    };
    for (const char *Id : {"ma1", "ma2", "ma3"})
      F[Id].StorePartitioned = std::string(Open) != Id;
    edit(F, Rows, 7);
    F.Time.runFor(2 * InForceLimit);
    BOOST_TEST(F.allHave(2));
  }
}

BOOST_AUTO_TEST_CASE(duplicatedAndReorderedRepliesChangeNothing) {
  Fleet F;
  addHosts(F);
  TableRows Rows = start(F);
  F.Copies = 3;
  for (int Seconds = 1; Seconds <= 10; ++Seconds) {
    edit(F, Rows, Seconds);
    F.Time.runFor(Duration(300ms) * Seconds);
  }
  F.Time.runFor(InForceLimit);
  BOOST_TEST(F.allHave(11));
  for (const char *Id : {"ka1", "kb2", "ma3"})
    BOOST_TEST((rowsOf(*F[Id].Board.tables()) == Rows));
}

BOOST_AUTO_TEST_CASE(changesWithAWrongDigestAreFetchedAgainAsFullTables) {
  Fleet F;
  addHosts(F);
  TableRows Rows = start(F);
  for (const char *Id : {"ma1", "ma2", "ma3"})
    F[Id].StorePartitioned = true;
  int Changes = 0;
  int Whole = 0;
  F.Passes = [&](const auto &, const HostId &To, messages::Envelope &M) {
    if (!M.has_revision_reply() || !inRegion(To, 'm'))
      return true;
    bool IsChange = M.revision_reply().base_revision() != 0;
    (IsChange ? Changes : Whole) += 1;
    if (IsChange)
      M.mutable_revision_reply()->set_digest("0");
    return true;
  };
  edit(F, Rows, 7);
  F.Time.runFor(InForceLimit);
  BOOST_TEST(F.allHave(2));
  BOOST_TEST(Changes > 0);
  BOOST_TEST(Whole > 0);
}

BOOST_AUTO_TEST_CASE(fullTablesWithAWrongDigestAreNeverPutInForce) {
  Fleet F;
  addHosts(F);
  TableRows Rows = start(F);
  for (const char *Id : {"ma1", "ma2", "ma3"})
    F[Id].StorePartitioned = true;
  F.Passes = [&](const auto &, const auto &, messages::Envelope &M) {
    if (M.has_revision_reply())
      M.mutable_revision_reply()->set_digest("0");
    return true;
  };
  edit(F, Rows, 7);
  F.Time.runFor(2 * InForceLimit);
  BOOST_TEST(F["ma1"].inForce() == 1U);
  BOOST_TEST(F["ma1"].Adoptions == 1);
  BOOST_TEST(F["ma1"].Refusals > 0);
  BOOST_TEST(F["ka1"].inForce() == 2U);
}

BOOST_AUTO_TEST_CASE(aCorruptChunkInTheStoreIsNeverPutInForce) {
  Fleet F;
  F.add("ka1");
  TableRows Rows = start(F);
  TableRows Next = withDeadline(Rows, "r0", 7);
  F["ka1"].StorePartitioned = true;
  BOOST_REQUIRE(F.apply(Rows, Next)->has_value());
  for (const Chunk &Each : chunksOf(Next.Routes))
    F.Store.corrupt(chunkKey(Each.Id), Each.Data + " ");
  F["ka1"].StorePartitioned = false;
  F.Time.runFor(30s);
  BOOST_TEST(F["ka1"].inForce() == 1U);
}

BOOST_AUTO_TEST_CASE(aMalformedHeadKeepsTheTablesInForce) {
  Fleet F;
  F.add("ka1");
  start(F);
  F.Store.corrupt(headKey(), "{");
  F.Time.runFor(30s);
  BOOST_TEST(F["ka1"].inForce() == 1U);
  BOOST_TEST(F["ka1"].Controller->ready());
}

BOOST_AUTO_TEST_CASE(aPausedHostCatchesUpAndRevertsNothing) {
  Fleet F;
  addHosts(F);
  TableRows Rows = start(F);
  F["ka1"].Paused = F["kb1"].Paused = true;
  edit(F, Rows, 7);
  F.Time.runFor(40s);
  edit(F, Rows, 8);
  F.Time.runFor(5s);
  F["ka1"].Paused = F["kb1"].Paused = false;
  F.Time.runFor(InForceLimit);
  BOOST_TEST(F.allHave(3));
}

BOOST_AUTO_TEST_CASE(anOutageInTheMiddleOfAReadIsRetried) {
  Fleet F;
  F.add("ka1");
  TableRows Rows = start(F);
  F.Store.Delay = 400ms;
  TableRows Next = withDeadline(Rows, "r0", 7);
  BOOST_REQUIRE(!F.apply(Rows, Next).has_value());
  F.Time.runFor(4s);
  F.Store.Down = true;
  F.Time.runFor(30s);
  F.Store.Down = false;
  F.Time.runFor(30s);
  BOOST_TEST(F["ka1"].inForce() == 2U);
}

BOOST_AUTO_TEST_CASE(readsOfTheStoreDoNotGrowWithTheHostsOfAZone) {
  auto ReadsWith = [](int Hosts) {
    Fleet F;
    for (int I = 0; I < Hosts; ++I)
      F.add("ka" + std::to_string(I));
    start(F);
    int Before = F.Store.Reads;
    F.Time.runFor(300s);
    return F.Store.Reads - Before;
  };
  int Few = ReadsWith(4);
  int Many = ReadsWith(38);
  BOOST_TEST_MESSAGE("reads in 300 s: " << Few << " with 4 hosts, " << Many
                                        << " with 38");
  BOOST_TEST(Many <= Few + Few / 3);
}

BOOST_AUTO_TEST_SUITE_END()
