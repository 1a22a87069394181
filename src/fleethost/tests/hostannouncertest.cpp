#include <boost/test/unit_test.hpp>

#include "fleethost/internal/hostannouncer.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using detail::HostAnnouncer;

namespace {

/// A store that counts calls, and hosts that stand in it.
struct Fixture {
  StoreAccess store() {
    StoreAccess S;
    auto Answer = [this](const auto &Then) {
      ++Lists;
      Time.after(4ms, [Then] {
        StoreSnapshot All;
        All.Items.push_back({"hosts/k9", "10.0.0.9", {0, 3}, false});
        Then(All);
      });
    };
    S.List = S.ListStale = [Answer](const std::string &, const auto &Then) {
      Answer(Then);
    };
    S.Grant = [this](Duration, const auto &Then) {
      ++Grants;
      Time.after(4ms, [this, Then] {
        if (Reachable)
          return Then(LeaseId{Grants});
        Then(makeError(ErrorKind::StoreUnreachable, "down"));
      });
    };
    S.Renew = [this](LeaseId Lease, const auto &Then) {
      ++Renewals;
      LastRenewed = Lease.Value;
      Time.after(4ms, [Then] { Then({}); });
    };
    S.Put = [this](const std::string &, const std::string &, LeaseId,
                   const auto &Then) {
      ++Puts;
      Time.after(4ms, [Then] { Then({}); });
    };
    S.End = [this](LeaseId, const auto &) { ++Ends; };
    return S;
  }

  testing::VirtualTime Time{1};
  unsigned Lists = 0;
  unsigned Grants = 0;
  unsigned Puts = 0;
  unsigned Renewals = 0;
  unsigned Ends = 0;
  std::uint64_t LastRenewed = 0;
  bool Reachable = true;
  bool Aggregator = false;
  bool Alone = false;
  std::vector<std::string> Found;
  std::shared_ptr<HostAnnouncer> Announcer = std::make_shared<HostAnnouncer>(
      Time.runtime(), store(), "hosts/", "hosts/k1", "10.0.0.1",
      HostAnnouncer::Hooks{
          [this](const std::string &Ip) { Found.push_back(Ip); },
          [this] { return Aggregator; }, [this] { return Alone; }});
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HostAnnouncerTests, Fixture)

// Hundreds of hosts: one that hears others and tells nobody calls nothing.
BOOST_AUTO_TEST_CASE(ordinaryHostCallsNothing) {
  Announcer->start();
  Time.runFor(60s);
  BOOST_TEST(Lists + Grants + Puts + Renewals == 0U);
}

BOOST_AUTO_TEST_CASE(messengerStandsInTheStoreAndReadsIt) {
  Aggregator = true;
  Announcer->start();
  Time.runFor(HostAnnouncer::CheckInterval + HostAnnouncer::TimeToLive + 100ms);
  BOOST_TEST(Grants == 1U);
  BOOST_TEST(Puts == 1U);
  BOOST_TEST(Renewals == 3U);
  BOOST_TEST(Lists == 4U);
  Announcer->withdraw();
  BOOST_TEST(Ends == 1U);
}

// No address that it was told at its start answers.
BOOST_AUTO_TEST_CASE(hostThatHearsNobodyReadsAtOnce) {
  Alone = true;
  Announcer->start();
  Time.runFor(HostAnnouncer::CheckInterval + 10ms);
  BOOST_REQUIRE(Found.size() == 1U);
  BOOST_TEST(Found[0] == "10.0.0.9");
  Alone = false;
  Time.runFor(30s);
  BOOST_TEST(Lists == 1U);
}

// A third of the hosts is cut off from the others for long: calls are paid for,
// and tell nothing new.
BOOST_AUTO_TEST_CASE(hostThatIsCutOffReadsEverMoreRarely) {
  Alone = true;
  Announcer->start();
  Time.runFor(HostAnnouncer::CheckInterval + 35s);
  BOOST_TEST(Lists <= 7U);
  BOOST_TEST(Lists >= 5U);
}

// The last messenger has died.
BOOST_AUTO_TEST_CASE(hostThatBecomesAMessengerStandsInTheStore) {
  Reachable = false;
  Announcer->start();
  Time.runFor(10s);
  Aggregator = true;
  Time.runFor(2s);
  BOOST_TEST(Puts == 0U);
  Reachable = true;
  Time.runFor(2s);
  BOOST_TEST(Puts == 1U);
}

// The store came back from an older copy: entry and lease are gone, and the
// lease's number may belong to another host by now.
BOOST_AUTO_TEST_CASE(entryIsWrittenAgainUnderANewLeaseAfterTheStoresReturn) {
  Aggregator = true;
  Announcer->start();
  Time.runFor(HostAnnouncer::CheckInterval + 100ms);
  BOOST_REQUIRE(Puts == 1U);
  Announcer->storeRolledBack(1);
  // Both prefixes that are watched tell of it.
  Announcer->storeRolledBack(1);
  Time.runFor(HostAnnouncer::ReannounceSpread + 100ms);
  BOOST_TEST(Grants == 2U);
  BOOST_TEST(Puts == 2U);
  BOOST_TEST(Renewals == 0U);
  Time.runFor(HostAnnouncer::TimeToLive);
  BOOST_TEST(Renewals == 3U);
  BOOST_TEST(LastRenewed == 2U);
  BOOST_TEST(Puts == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
