#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>

#include "fleet/storemirror.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

/// A store whose answers the test withholds, refuses or ages.
struct Fixture {
  testing::VirtualTime Time{1};
  std::map<std::string, StoreChange> Keys;
  std::vector<StoreChange> History;
  StoreRevision Now = 10;
  bool Reachable = true;
  bool HistoryGone = false;
  unsigned Lists = 0;
  unsigned Watches = 0;
  StoreSnapshot PeerKnows;
  std::vector<std::string> Heard;
  std::vector<bool> HeardAfterOutage;
  StoreMirror Mirror{Time.runtime(), hooks()};

  void put(const std::string &Key, const std::string &Value) {
    Keys[Key] = {Key, Value, ++Now, false};
    History.push_back(Keys[Key]);
  }
  void remove(const std::string &Key) {
    Keys.erase(Key);
    History.push_back({Key, "", ++Now, true});
  }

  StoreMirrorHooks hooks() {
    StoreMirrorHooks H;
    H.List = [this](auto Answer) {
      ++Lists;
      answer(Answer, snapshot(Keys));
    };
    H.Watch = [this](StoreRevision After, Duration Wait, auto Answer) {
      ++Watches;
      watch(After, Wait, Answer);
    };
    H.AskPeer = [this](StoreRevision, auto Answer) {
      Time.after(1ms, [this, Answer] { Answer(PeerKnows); });
    };
    H.Changed = [this](const StoreChange &C, bool AfterOutage) {
      Heard.push_back((C.Removed ? "-" : "+") + C.Key + C.Value);
      HeardAfterOutage.push_back(AfterOutage);
    };
    H.Reachability = [](bool, const std::string &) {};
    return H;
  }

  StoreSnapshot snapshot(const std::map<std::string, StoreChange> &From) const {
    StoreSnapshot S;
    S.AsOf = Now;
    for (const auto &[Key, Item] : From)
      S.Items.push_back(Item);
    return S;
  }

  void answer(const StoreMirrorHooks::Answer &Answer, const StoreSnapshot &S) {
    bool Ok = Reachable;
    Time.after(4ms, [Answer, S, Ok] {
      if (Ok)
        return Answer(S);
      Answer(makeError(ErrorKind::StoreUnreachable, "down"));
    });
  }

  void watch(StoreRevision After, Duration Left,
             const StoreMirrorHooks::Answer &Answer) {
    StoreSnapshot S;
    S.AsOf = Now;
    for (const StoreChange &C : History)
      if (C.At > After)
        S.Items.push_back(C);
    if (Reachable && HistoryGone) {
      HistoryGone = false;
      return Time.after(1ms, [Answer] {
        Answer(makeError(ErrorKind::StoreConflict, "compacted"));
      });
    }
    if (!S.Items.empty() || !Reachable || Left <= 0ms)
      return answer(Answer, S);
    Time.after(50ms, [this, After, Left, Answer] {
      watch(After, Left - 50ms, Answer);
    });
  }

  std::map<std::string, std::string> held() const {
    std::map<std::string, std::string> All;
    for (const StoreChange &C : Mirror.changesSince(0).Items)
      All[C.Key] = C.Value;
    return All;
  }
  using Map = std::map<std::string, std::string>;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreMirrorTests, Fixture)

BOOST_AUTO_TEST_CASE(listsThenFollowsChanges) {
  put("a", "1");
  Mirror.start();
  Time.runFor(100ms);
  put("b", "2");
  remove("a");
  Time.runFor(200ms);
  BOOST_TEST((held() == Map{{"b", "2"}}));
  BOOST_TEST((Heard == std::vector<std::string>{"+a1", "+b2", "-a"}));
  BOOST_TEST(Lists == 1U);
}

BOOST_AUTO_TEST_CASE(lostHistoryIsMadeGoodByAList) {
  put("a", "1");
  Mirror.start();
  Time.runFor(100ms);
  Reachable = false;
  Time.runFor(5s);
  put("b", "2");
  remove("a");
  History.clear();
  HistoryGone = true;
  Reachable = true;
  Time.runFor(3s);
  BOOST_TEST((held() == Map{{"b", "2"}}));
}

BOOST_AUTO_TEST_CASE(removalsAfterAnOutageAreMarked) {
  put("a", "1");
  Mirror.start();
  Time.runFor(100ms);
  Reachable = false;
  Time.runFor(StoreMirror::WatchWait + 3s);
  remove("a");
  Reachable = true;
  Time.runFor(2s);
  BOOST_REQUIRE(Heard.back() == "-a");
  BOOST_TEST(HeardAfterOutage.back());
}

BOOST_AUTO_TEST_CASE(removalsInQuietTimesAreNot) {
  put("a", "1");
  Mirror.start();
  Time.runFor(10s);
  remove("a");
  Time.runFor(1s);
  BOOST_REQUIRE(Heard.back() == "-a");
  BOOST_TEST(!HeardAfterOutage.back());
}

BOOST_AUTO_TEST_CASE(whatAPeerHasAppliedIsFetchedFromIt) {
  put("a", "1");
  Mirror.start();
  Time.runFor(100ms);
  Reachable = false;
  PeerKnows.AsOf = Now + 5;
  PeerKnows.Items = {{"a", "2", Now + 5, false}};
  Mirror.heardOf(Now + 5);
  Time.runFor(1s);
  BOOST_TEST((held() == Map{{"a", "2"}}));
}

BOOST_AUTO_TEST_CASE(anOlderSnapshotOfAPeerChangesNothing) {
  put("a", "1");
  put("a", "2");
  Mirror.start();
  Time.runFor(100ms);
  PeerKnows.AsOf = Now - 1;
  PeerKnows.Items = {{"a", "1", Now - 1, false}};
  // The peer said that it knew more and was restarted before it was asked.
  Mirror.heardOf(Now + 5);
  Time.runFor(1s);
  BOOST_TEST((held() == Map{{"a", "2"}}));
}

// Hosts that follow pay for no call, and get each change from one that watches.
BOOST_AUTO_TEST_CASE(followerAsksAWatcherInPlaceOfTheStore) {
  put("a", "1");
  Mirror.start();
  Time.runFor(100ms);
  Mirror.setFollowing(true);
  Time.runFor(StoreMirror::WatchWait);
  unsigned Before = Watches;
  put("a", "2");
  put("b", "1");
  PeerKnows = {{Keys["a"], Keys["b"]}, Now, true};
  Mirror.heardOf(Now, true);
  Time.runFor(200ms);
  BOOST_TEST((held() == Map{{"a", "2"}, {"b", "1"}}));
  Time.runFor(10s);
  BOOST_TEST(Watches == Before);
  Mirror.setFollowing(false);
  put("c", "1");
  Time.runFor(1s);
  BOOST_TEST((held() == Map{{"a", "2"}, {"b", "1"}, {"c", "1"}}));
  BOOST_TEST(Watches > Before);
}

BOOST_AUTO_TEST_CASE(followerIsCurrentWhileAWatcherIsHeard) {
  Mirror.start();
  Time.runFor(100ms);
  Mirror.setFollowing(true);
  BOOST_TEST(!Mirror.isCurrent());
  Mirror.heardOf(Now, true);
  BOOST_TEST(Mirror.isCurrent());
  // Something that is missing here.
  Time.runFor(StoreMirror::FollowSilence + 1ms);
  Mirror.heardOf(Now + 3, true);
  BOOST_TEST(!Mirror.isCurrent());
}

// One mirror follows another through writes, removals and returns.
BOOST_AUTO_TEST_CASE(changesTellOfRemovals) {
  put("a", "1");
  put("b", "1");
  Mirror.start();
  Time.runFor(100ms);
  StoreRevision Since = Now;
  remove("a");
  put("b", "2");
  remove("b");
  put("b", "3");
  Time.runFor(1s);
  StoreSnapshot Changes = Mirror.changesSince(Since);
  BOOST_TEST(Changes.ChangesOnly);
  Map Told;
  for (const StoreChange &C : Changes.Items)
    Told[C.Key + (C.Removed ? " gone" : "")] = C.Value;
  BOOST_TEST((Told == Map{{"a gone", ""}, {"b", "3"}, {"b gone", ""}}));
  // Before the first list: removals are not known.
  BOOST_TEST(!Mirror.changesSince(1).ChangesOnly);
}

BOOST_AUTO_TEST_CASE(knowsWhenItMayBeBehind) {
  Mirror.start();
  Time.runFor(100ms);
  BOOST_TEST(Mirror.isCurrent());
  Reachable = false;
  Time.runFor(StoreMirror::WatchWait + 2s);
  BOOST_TEST(!Mirror.isCurrent());
}

namespace {

/// The first read is of a state of some seconds ago.
struct StaleFixture : Fixture {
  StaleFixture() {
    put("a", "1");
    put("b", "1");
    auto H = hooks();
    H.ListStale = [this, Old = snapshot(Keys)](auto Answer) {
      ++StaleLists;
      answer(Answer, Old);
    };
    remove("a");
    put("c", "2");
    Stale = std::make_unique<StoreMirror>(Time.runtime(), H);
  }

  Map heldByStale() const {
    Map All;
    for (const StoreChange &C : Stale->changesSince(0).Items)
      All[C.Key] = C.Value;
    return All;
  }

  unsigned StaleLists = 0;
  std::unique_ptr<StoreMirror> Stale;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(watchMakesUpForAnOldFirstRead, StaleFixture) {
  Stale->start();
  Time.runFor(100ms);
  BOOST_TEST((heldByStale() == Map{{"a", "1"}, {"b", "1"}}));
  BOOST_TEST(!Stale->isCurrent());
  Time.runFor(StoreMirror::FirstWatch);
  BOOST_TEST((heldByStale() == Map{{"b", "1"}, {"c", "2"}}));
  BOOST_TEST(Stale->isCurrent());
  BOOST_TEST(Lists == 0U);
}

// Hundreds start at once: who hears of one that watches pays for one read.
BOOST_FIXTURE_TEST_CASE(followerNeedsNoWatchAfterItsFirstRead, StaleFixture) {
  PeerKnows = snapshot(Keys);
  Stale->start();
  Time.runFor(100ms);
  Stale->setFollowing(true);
  Stale->heardOf(Now, true);
  Time.runFor(2 * StoreMirror::FirstWatch);
  Stale->heardOf(Now, true);
  BOOST_TEST((heldByStale() == Map{{"b", "1"}, {"c", "2"}}));
  BOOST_TEST(Stale->isCurrent());
  BOOST_TEST(StaleLists == 1U);
  BOOST_TEST(Lists == 0U);
  BOOST_TEST(Watches == 0U);
}

BOOST_FIXTURE_TEST_CASE(failedFirstReadIsFollowedByAWholeOne, StaleFixture) {
  Reachable = false;
  Stale->start();
  Time.runFor(300ms);
  Reachable = true;
  Time.runFor(2s);
  BOOST_TEST((heldByStale() == Map{{"b", "1"}, {"c", "2"}}));
  BOOST_TEST(Lists >= 1U);
  BOOST_TEST(StaleLists == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
