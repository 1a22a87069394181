#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/recencycheck.h"
#include "fleethost/internal/mirrorcatchup.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using detail::CatchUpEvent;
using detail::MirrorCatchUp;
using detail::SourceRanking;

namespace {

const RegionId Home("kigali");
const RegionId Abroad("oslo");
constexpr StoreRevision Old{1, 5};
constexpr StoreRevision New{1, 6};

/// A host that hands over its copy, or fails to.
struct Peer {
  HostState State;
  /// What it hands over, and the latest change in it.
  StoreRevision Has;
  StoreRevision ChangedAt;
  bool Refuses = false;
  /// Asked, it says nothing until the call gives up.
  bool Hangs = false;
  unsigned Asked = 0;
};

StoreSnapshot tablesAt(StoreRevision At, StoreRevision ChangedAt) {
  StoreSnapshot S;
  S.AsOf = At;
  S.Items = {{"tables", std::to_string(ChangedAt.Number), ChangedAt, false}};
  return S;
}

/// A host that follows others, and the store behind them.
struct Fixture {
  testing::VirtualTime Time{1};
  std::map<std::string, Peer> Peers;
  HostRegistry Hosts{Time.runtime(), state("10.0.0.9", Home, Old)};
  SourceRanking Ranking{Time.runtime(), Hosts};
  StoreRevision InStore = Old;
  bool StoreReachable = true;
  unsigned StoreCalls = 0;
  StoreMirror Mirror{Time.runtime(), mirrorHooks()};
  std::vector<CatchUpEvent> Events;
  std::shared_ptr<MirrorCatchUp> CatchUp = std::make_shared<MirrorCatchUp>(
      Time.runtime(), Ranking, Mirror, MirrorPart::OperatorTables,
      MirrorCatchUp::Hooks{
          [this](const std::string &Ip, StoreRevision, const auto &Then) {
            answer(Ip, Then);
          },
          [this](const CatchUpEvent &Event) { Events.push_back(Event); }});

  Fixture() {
    Mirror.applyFromPeer(tablesAt(Old, Old));
    Mirror.setFollowing(true);
  }

  static HostState state(const std::string &Ip, const RegionId &Region,
                         StoreRevision Reports) {
    HostState H;
    H.Id = HostId(Ip);
    H.Ip = Ip;
    H.Region = Region;
    H.Ready = true;
    H.Watches = true;
    H.OperatorRevision = Reports;
    return H;
  }

  StoreMirrorHooks mirrorHooks() {
    StoreMirrorHooks H;
    H.Changed = [](const StoreChange &, bool) {};
    H.Reachability = [](bool, const std::string &) {};
    H.FetchFromPeer = [this](StoreRevision, auto Then) {
      CatchUp->fetch(Then);
    };
    H.Watch = [this](StoreRevision, Duration, const auto &Then) {
      ++StoreCalls;
      Time.after(5ms, [this, Then] {
        if (StoreReachable)
          return Then(tablesAt(InStore, InStore));
        Then(makeError(ErrorKind::StoreUnreachable, "down"));
      });
    };
    return H;
  }

  Peer &add(const std::string &Ip, const RegionId &Region, StoreRevision At) {
    Peers[Ip] = {state(Ip, Region, At), At, At};
    Hosts.received(Peers[Ip].State);
    return Peers[Ip];
  }

  /// Has a host hand over an older copy than it reports.
  static void hasLess(Peer &P) { P.Has = P.ChangedAt = Old; }

  void answer(const std::string &Ip, const StoreMirrorHooks::Answer &Then) {
    Peer &From = Peers.at(Ip);
    ++From.Asked;
    auto Fail = [Then] {
      Then(makeError(ErrorKind::ConnectionLost, "not connected"));
    };
    if (From.Hangs)
      return Time.after(1s, Fail);
    if (From.Refuses)
      return Time.after(1ms, Fail);
    Time.after(From.State.Region == Home ? 2ms : 80ms,
               [Has = From.Has, ChangedAt = From.ChangedAt, Then] {
                 Then(tablesAt(Has, ChangedAt));
               });
  }

  void runFor(Duration Span) {
    for (Duration Passed{}; Passed < Span; Passed += 50ms) {
      if (Passed % 200ms == Duration::zero())
        for (const auto &[Ip, From] : Peers) {
          Hosts.received(From.State);
          Mirror.peerReported(From.State.OperatorRevision, true);
        }
      CatchUp->tick();
      Time.runFor(50ms);
    }
  }

  bool isUpToDate() const { return Mirror.revision() >= New; }

  unsigned count(CatchUpEvent::Kind What) const {
    unsigned Found = 0;
    for (const CatchUpEvent &Event : Events)
      Found += Event.What == What ? 1 : 0;
    return Found;
  }
};

/// Time in which known changes come from a host that answers, though others do
/// not: RecencyCheck counts tables as unconfirmed after it.
constexpr Duration InTime = StoreMirror::MaxLag;

} // namespace

BOOST_FIXTURE_TEST_SUITE(MirrorCatchUpTests, Fixture)

// CONFIG, TWICE, HOME (review/6): followers fetched tables from a host that was
// being stopped, which refused them until its end, though others had them.
BOOST_AUTO_TEST_CASE(stoppedHostDoesNotKeepTablesFromTheOthers) {
  Peer &Stopped = add("10.0.0.1", Home, New);
  Stopped.State.Leaving = true;
  Stopped.Refuses = true;
  add("10.0.0.2", Home, Old);
  runFor(400ms);
  BOOST_TEST(!isUpToDate());
  add("10.0.0.2", Home, New);
  runFor(200ms);
  BOOST_TEST(isUpToDate());
  BOOST_TEST(StoreCalls == 0U);
}

// The host does not say that it leaves: it was killed, or only its datagrams
// arrive.
BOOST_AUTO_TEST_CASE(anotherHostIsAskedWhenTheNewestRefuses) {
  add("10.0.0.1", Home, {1, 9}).Refuses = true;
  add("10.0.0.2", Home, New);
  runFor(InTime);
  BOOST_TEST(isUpToDate());
}

BOOST_AUTO_TEST_CASE(anotherHostIsAskedBesideOneThatStandsStill) {
  add("10.0.0.1", Home, {1, 9}).Hangs = true;
  add("10.0.0.2", Home, {1, 9}).Hangs = true;
  add("10.0.0.3", Home, New);
  runFor(InTime);
  BOOST_TEST(isUpToDate());
}

BOOST_AUTO_TEST_CASE(hostThatHandsOverLessThanItReportsIsPassedOver) {
  hasLess(add("10.0.0.1", Home, {1, 9}));
  add("10.0.0.2", Home, New);
  runFor(InTime);
  BOOST_TEST(isUpToDate());
}

BOOST_AUTO_TEST_CASE(otherRegionHelpsWhenNoHostOfThisOneCan) {
  add("10.0.0.1", Home, New).Refuses = true;
  add("10.1.0.1", Abroad, New);
  runFor(InTime);
  BOOST_TEST(isUpToDate());
}

// Bytes between regions are paid for.
BOOST_AUTO_TEST_CASE(hostsOfTheRegionHaveTimeToReportWhatAnotherRegionHas) {
  add("10.0.0.1", Home, Old);
  Peer &Far = add("10.1.0.1", Abroad, New);
  runFor(200ms);
  add("10.0.0.1", Home, New);
  runFor(400ms);
  BOOST_TEST(isUpToDate());
  BOOST_TEST(Far.Asked == 0U);
}

// A cut in one direction: reports come and connections fail.
BOOST_AUTO_TEST_CASE(storeIsReadOnceWhenNoHostHandsOverItsCopy) {
  InStore = New;
  add("10.0.0.1", Home, New).Refuses = true;
  add("10.1.0.1", Abroad, New).Refuses = true;
  runFor(2 * MirrorCatchUp::StoreReadDelay + 200ms);
  BOOST_TEST(isUpToDate());
  BOOST_TEST(StoreCalls == 1U);
  BOOST_TEST(count(CatchUpEvent::Kind::SourceFailed) == 2U);
  BOOST_TEST(count(CatchUpEvent::Kind::CaughtUp) == 1U);
  BOOST_TEST(Events.back().Why.empty());
}

// Each call to the store is paid for, and a host that is cut off stays so for
// minutes.
BOOST_AUTO_TEST_CASE(readsOfAnUnreachableStoreBecomeRare) {
  StoreReachable = false;
  Peer &Refusing = add("10.0.0.1", Home, New);
  Refusing.Refuses = true;
  runFor(60s);
  BOOST_TEST(!isUpToDate());
  BOOST_TEST(CatchUp->behindSince().has_value());
  BOOST_TEST(StoreCalls >= 4U);
  BOOST_TEST(StoreCalls <= 8U);
  BOOST_TEST(Refusing.Asked <= 60s / SourceRanking::RetryInterval + 1);
  BOOST_TEST(count(CatchUpEvent::Kind::SourceFailed) == 1U);
}

// A report that no host and not the store confirms must not be believed for
// ever.
BOOST_AUTO_TEST_CASE(readOfTheStoreRefutesAWrongReport) {
  hasLess(add("10.0.0.1", Home, {1, 99}));
  runFor(200ms);
  BOOST_TEST(Mirror.behindSince().has_value());
  Peers.clear();
  runFor(2 * MirrorCatchUp::StoreReadDelay);
  BOOST_TEST(!Mirror.behindSince().has_value());
}

// Other prefixes change all the time, so the hosts of the region always have a
// later revision, and not the tables.
BOOST_AUTO_TEST_CASE(senderIsAskedThoughRevisionsGrow) {
  Peer &Near = add("10.0.0.1", Home, Old);
  Peer &Sender = add("10.1.0.1", Abroad, Old);
  Sender.Has = Sender.ChangedAt = {1, 1000};
  // As a request does that waits for the tables.
  for (Duration Passed{}; Passed < 500ms && Mirror.lastChange() == Old;
       Passed += 20ms) {
    ++Near.Has.Number;
    CatchUp->fetchFor("10.1.0.1");
    Time.runFor(20ms);
  }
  BOOST_TEST(Sender.Asked >= 1U);
  BOOST_TEST((Mirror.lastChange() == Sender.ChangedAt));
  BOOST_TEST(!CatchUp->behindSince().has_value());
}

// A request came by newer tables that no host reports.
BOOST_AUTO_TEST_CASE(needOfARequestIsAskedOfItsSenderAndThenOfTheStore) {
  add("10.0.0.1", Home, Old);
  Peer &Sender = add("10.1.0.1", Abroad, Old);
  Sender.Refuses = true;
  InStore = New;
  for (Duration Passed{}; Passed < 500ms; Passed += 20ms) {
    CatchUp->fetchFor("10.1.0.1");
    CatchUp->tick();
    Time.runFor(20ms);
  }
  BOOST_TEST(Sender.Asked >= 1U);
  BOOST_TEST(CatchUp->behindSince().has_value());
  runFor(2 * MirrorCatchUp::StoreReadDelay);
  BOOST_TEST(isUpToDate());
  BOOST_TEST(!CatchUp->behindSince().has_value());
}

// Hosts that answer and have nothing newer kept another region from being
// asked.
BOOST_AUTO_TEST_CASE(otherRegionHelpsWhenTheWholeRegionLacksTheChanges) {
  StoreReachable = false;
  add("10.0.0.1", Home, Old);
  add("10.0.0.2", Home, Old);
  Peer &Far = add("10.1.0.1", Abroad, New);
  runFor(InTime);
  BOOST_TEST(isUpToDate());
  BOOST_TEST(Far.Asked == 1U);
}

// With changes in quick succession the lag began anew with each of them.
BOOST_AUTO_TEST_CASE(lagCountsFromTheFirstReportOfWhatIsMissing) {
  add("10.0.0.1", Home, {1, 6}).Hangs = true;
  Mirror.peerReported({1, 6}, true);
  Time.runFor(100ms);
  Mirror.peerReported({1, 7}, true);
  TimePoint First = Time.runtime().Now();
  Time.runFor(2s);
  Mirror.peerReported({1, 8}, true);
  Time.runFor(100ms);
  Mirror.applyFromPeer(tablesAt({1, 6}, {1, 6}));
  BOOST_REQUIRE(Mirror.behindSince().has_value());
  BOOST_TEST((*Mirror.behindSince() <= First));
}

// Requests were refused and run in turn.
BOOST_AUTO_TEST_CASE(refusalDoesNotAlternateWhileHostsHang) {
  StoreReachable = false;
  add("10.0.0.1", Home, New).Hangs = true;
  add("10.0.0.2", Home, New).Hangs = true;
  unsigned Changes = 0;
  bool Was = CatchUp->isOffered();
  for (int I = 0; I < 400; ++I) {
    runFor(50ms);
    bool Is = CatchUp->isOffered();
    Changes += Is != Was ? 1 : 0;
    Was = Is;
  }
  BOOST_TEST(Changes <= 2U);
}

// A region that the store does not answer would refuse as long as another
// region reports a change.
BOOST_AUTO_TEST_CASE(regionWithoutTheStoreDoesNotRefuseForGood) {
  StoreReachable = false;
  add("10.0.0.1", Home, Old);
  add("10.0.0.2", Home, Old);
  add("10.1.0.1", Abroad, New);
  RecencyCheck Check{Time.runtime(),
                     {[](RecencyCheck::Episode, unsigned) {},
                      {},
                      [this] { return CatchUp->behindSince(); },
                      [this] { return CatchUp->isOffered(); }}};
  unsigned Refusing = 0;
  for (int I = 0; I < 600; ++I) {
    runFor(50ms);
    Refusing += Check.isOutdated() ? 1 : 0;
  }
  BOOST_TEST(Refusing == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
