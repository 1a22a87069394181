#include <boost/test/unit_test.hpp>

#include "fleethost/internal/hostannouncer.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using detail::HostAnnouncer;

namespace {

/// A fake store that counts calls and has the entry of another host.
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

// With hundreds of hosts, calls to the store must not grow with them: a host
// that receives messages and is no aggregator makes none.
BOOST_AUTO_TEST_CASE(hostThatIsNoAggregatorMakesNoCalls) {
  Announcer->start();
  Time.runFor(60s);
  BOOST_TEST(Lists + Grants + Puts + Renewals == 0U);
}

BOOST_AUTO_TEST_CASE(aggregatorHasAnEntryAndReadsTheOthers) {
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

// None of the host's configured contact addresses responds.
BOOST_AUTO_TEST_CASE(hostWithoutMessagesReadsAtOnce) {
  Alone = true;
  Announcer->start();
  Time.runFor(HostAnnouncer::CheckInterval + 10ms);
  BOOST_REQUIRE(Found.size() == 1U);
  BOOST_TEST(Found[0] == "10.0.0.9");
  Alone = false;
  Time.runFor(30s);
  BOOST_TEST(Lists == 1U);
}

// A third of the hosts is partitioned from the others for long: calls are paid
// for and return nothing new.
BOOST_AUTO_TEST_CASE(partitionedHostReadsLessAndLessOften) {
  Alone = true;
  Announcer->start();
  Time.runFor(HostAnnouncer::CheckInterval + 35s);
  BOOST_TEST(Lists <= 7U);
  BOOST_TEST(Lists >= 5U);
}

// The last aggregator has died, so this host becomes one.
BOOST_AUTO_TEST_CASE(hostThatBecomesAnAggregatorWritesAnEntry) {
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

// After a rollback of the store to an older copy the entry and its lease are
// gone, and the lease's number may belong to another host by now.
BOOST_AUTO_TEST_CASE(entryIsWrittenUnderANewLeaseAfterARollback) {
  Aggregator = true;
  Announcer->start();
  Time.runFor(HostAnnouncer::CheckInterval + 100ms);
  BOOST_REQUIRE(Puts == 1U);
  Announcer->storeRolledBack(1);
  // The mirrors of both watched prefixes report the rollback.
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
