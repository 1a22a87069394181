#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <utility>

#include "fleet/storemirror.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

/// How much longer than its wait a call to the store takes at most.
constexpr Duration GiveUpAfter = 1500ms;

/// A fake store that can be unreachable, lose its history or be rolled back.
struct Fixture {
  testing::VirtualTime Time{1};
  std::map<std::string, StoreChange> Keys;
  std::vector<StoreChange> History;
  std::uint64_t Era = 0;
  std::uint64_t Now = 10;
  bool Reachable = true;
  bool HistoryGone = false;
  /// The next watch gets no response, and fails when its caller gives up.
  bool NextWatchHangs = false;
  unsigned Lists = 0;
  unsigned Watches = 0;
  StoreSnapshot PeerState;
  std::vector<std::string> Heard;
  std::vector<bool> ChangedAfterOutage;
  StoreMirror Mirror{Time.runtime(), hooks()};

  StoreRevision at(std::uint64_t Number) const { return {Era, Number}; }

  void put(const std::string &Key, const std::string &Value) {
    Keys[Key] = {Key, Value, {Era, ++Now}, false};
    History.push_back(Keys[Key]);
  }
  void remove(const std::string &Key) {
    Keys.erase(Key);
    History.push_back({Key, "", {Era, ++Now}, true});
  }

  StoreMirrorHooks hooks() {
    StoreMirrorHooks H;
    H.List = [this](auto Answer) {
      ++Lists;
      answer(Answer, snapshot(Keys));
    };
    H.Watch = [this](StoreRevision After, Duration Wait, auto Answer) {
      ++Watches;
      if (std::exchange(NextWatchHangs, false))
        return Time.after(Wait + GiveUpAfter, [Answer] {
          Answer(makeError(ErrorKind::StoreUnreachable, "no response"));
        });
      watch(After, Wait, Answer);
    };
    H.FetchFromPeer = [this](StoreRevision, auto Answer) {
      Time.after(1ms, [this, Answer] { Answer(PeerState); });
    };
    H.Changed = [this](const StoreChange &C, bool AfterOutage) {
      Heard.push_back((C.Removed ? "-" : "+") + C.Key + C.Value);
      ChangedAfterOutage.push_back(AfterOutage);
    };
    H.Reachability = [](bool, const std::string &) {};
    return H;
  }

  StoreSnapshot snapshot(const std::map<std::string, StoreChange> &From) const {
    StoreSnapshot S;
    S.AsOf = at(Now);
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
    S.AsOf = at(Now);
    for (const StoreChange &C : History)
      if (C.At.Number > After.Number)
        S.Items.push_back(C);
    if (Reachable && (HistoryGone || After.Number > Now)) {
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

  /// A copy of the store's state for a later rollback.
  struct Copy {
    std::map<std::string, StoreChange> Keys;
    std::uint64_t Now = 0;
  };
  Copy copy() const { return {Keys, Now}; }

  /// Makes the store unreachable for a moment and restores it from a copy.
  void rollBack(const Copy &Old) {
    Reachable = false;
    Time.runFor(StoreMirror::WatchWait + 200ms);
    ++Era;
    Keys = Old.Keys;
    for (auto &[Key, Item] : Keys)
      Item.At.Era = Era;
    Now = Old.Now;
    History.clear();
    Reachable = true;
  }

  std::map<std::string, std::string> heldKeys() const {
    std::map<std::string, std::string> All;
    const StoreSnapshot Held = Mirror.changesSince({});
    for (const auto *Part : {&Held.Items, &Held.Retained})
      for (const StoreChange &C : *Part)
        if (C.Removed)
          All.erase(C.Key);
        else
          All[C.Key] = C.Value;
    return All;
  }
  using Map = std::map<std::string, std::string>;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreMirrorTests, Fixture)

// CONFIG: a watch that hangs since the end of a disruption of the store hides
// newer tables for longer than hosts may take to recover from one.
BOOST_AUTO_TEST_CASE(changeBehindAHungWatchArrivesWithinTheStableWindow) {
  constexpr Duration StableWindow = 5s;
  put("a", "1");
  Mirror.start();
  NextWatchHangs = true;
  Time.runFor(10ms);
  BOOST_TEST(!NextWatchHangs);
  put("a", "2");
  Time.runFor(StableWindow - 100ms);
  BOOST_TEST(heldKeys()["a"] == "2");
}

BOOST_AUTO_TEST_CASE(listsThenFollowsChanges) {
  put("a", "1");
  Mirror.start();
  Time.runFor(100ms);
  put("b", "2");
  remove("a");
  Time.runFor(200ms);
  BOOST_TEST((heldKeys() == Map{{"b", "2"}}));
  BOOST_TEST((Heard == std::vector<std::string>{"+a1", "+b2", "-a"}));
  BOOST_TEST(Lists == 1U);
}

BOOST_AUTO_TEST_CASE(lostHistoryIsReplacedByAList) {
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
  BOOST_TEST((heldKeys() == Map{{"b", "2"}}));
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
  BOOST_TEST(ChangedAfterOutage.back());
}

BOOST_AUTO_TEST_CASE(removalsWithoutAnOutageAreNotMarked) {
  put("a", "1");
  Mirror.start();
  Time.runFor(10s);
  remove("a");
  Time.runFor(1s);
  BOOST_REQUIRE(Heard.back() == "-a");
  BOOST_TEST(!ChangedAfterOutage.back());
}

BOOST_AUTO_TEST_CASE(changeAppliedByAPeerIsFetchedFromIt) {
  put("a", "1");
  Mirror.start();
  Time.runFor(100ms);
  Reachable = false;
  PeerState.AsOf = at(Now + 5);
  PeerState.Items = {{"a", "2", at(Now + 5), false}};
  Mirror.peerReported(at(Now + 5));
  Time.runFor(1s);
  BOOST_TEST((heldKeys() == Map{{"a", "2"}}));
}

BOOST_AUTO_TEST_CASE(anOlderSnapshotOfAPeerChangesNothing) {
  put("a", "1");
  put("a", "2");
  Mirror.start();
  Time.runFor(100ms);
  PeerState.AsOf = at(Now - 1);
  PeerState.Items = {{"a", "1", at(Now - 1), false}};
  // The peer reported a later revision and was restarted before it was asked.
  Mirror.peerReported(at(Now + 5));
  Time.runFor(1s);
  BOOST_TEST((heldKeys() == Map{{"a", "2"}}));
}

// Each call to the store is paid for: hosts that follow make none and get each
// change from a host that watches.
BOOST_AUTO_TEST_CASE(followerAsksAWatcherInsteadOfTheStore) {
  put("a", "1");
  Mirror.start();
  Time.runFor(100ms);
  Mirror.setFollowing(true);
  Time.runFor(StoreMirror::WatchWait);
  unsigned Before = Watches;
  put("a", "2");
  put("b", "1");
  PeerState = {{Keys["a"], Keys["b"]}, at(Now), true};
  Mirror.peerReported(at(Now), true);
  Time.runFor(200ms);
  BOOST_TEST((heldKeys() == Map{{"a", "2"}, {"b", "1"}}));
  Time.runFor(10s);
  BOOST_TEST(Watches == Before);
  Mirror.setFollowing(false);
  put("c", "1");
  Time.runFor(1s);
  BOOST_TEST((heldKeys() == Map{{"a", "2"}, {"b", "1"}, {"c", "1"}}));
  BOOST_TEST(Watches > Before);
}

BOOST_AUTO_TEST_CASE(followerIsCurrentWhileAWatcherSendsUpdates) {
  Mirror.start();
  Time.runFor(100ms);
  Mirror.setFollowing(true);
  BOOST_TEST(!Mirror.isCurrent());
  Mirror.peerReported(at(Now), true);
  BOOST_TEST(Mirror.isCurrent());
  // The watcher has applied a change that is missing here.
  Time.runFor(StoreMirror::MaxWatcherSilence + 1ms);
  Mirror.peerReported(at(Now + 3), true);
  BOOST_TEST(!Mirror.isCurrent());
}

// TWICE, CONFIG: a host that knew of changes that it lacked told others that
// its copy was complete, since one of two watchers lacked them, too.
BOOST_AUTO_TEST_CASE(copyThatLacksKnownChangesIsNotCurrent) {
  Mirror.start();
  Time.runFor(100ms);
  Mirror.setFollowing(true);
  PeerState.AsOf = at(Now);
  Mirror.peerReported(at(Now + 3), true);
  Mirror.peerReported(at(Now), true);
  BOOST_TEST(!Mirror.isCurrent());
  // They are on their way.
  BOOST_TEST(Mirror.isInContact());
  BOOST_TEST((Mirror.behindSince() == Time.now()));
  Time.runFor(StoreMirror::MaxLag + 1ms);
  Mirror.peerReported(at(Now), true);
  BOOST_TEST(!Mirror.isInContact());
  PeerState = {{{"a", "1", at(Now + 3), false}}, at(Now + 3), true};
  Mirror.peerReported(at(Now + 3), true);
  Time.runFor(300ms);
  Mirror.peerReported(at(Now + 3), true);
  BOOST_TEST(Mirror.isCurrent());
  BOOST_TEST(!Mirror.behindSince().has_value());
}

// With changes all the time each is missing for a moment, and none for long.
BOOST_AUTO_TEST_CASE(lagBeginsAnewWithEachChangeThatComes) {
  Mirror.start();
  Time.runFor(100ms);
  Mirror.setFollowing(true);
  for (unsigned I = 0; I < 20; ++I) {
    PeerState = {{{"a", "1", at(Now), false}}, at(Now), true};
    ++Now;
    Mirror.peerReported(at(Now), true);
    Time.runFor(200ms);
  }
  BOOST_REQUIRE(Mirror.behindSince().has_value());
  BOOST_TEST((Time.now() - *Mirror.behindSince() <= 400ms));
}

// A report may be wrong; the store knows.
BOOST_AUTO_TEST_CASE(readOfTheStoreEndsALag) {
  put("a", "1");
  Mirror.start();
  Time.runFor(100ms);
  Mirror.setFollowing(true);
  Time.runFor(StoreMirror::WatchWait);
  put("a", "2");
  PeerState.AsOf = {};
  Mirror.peerReported(at(Now + 7), true);
  Time.runFor(1s);
  BOOST_TEST(Mirror.behindSince().has_value());
  bool Read = false;
  Mirror.readChanges([&](const Result<void> &Got) { Read = Got.has_value(); });
  Time.runFor(100ms);
  BOOST_TEST(Read);
  BOOST_TEST((heldKeys() == Map{{"a", "2"}}));
  BOOST_TEST(!Mirror.behindSince().has_value());
}

// A read for a confirmation ends only once its result is in force, also when a
// list has to take the place of the changes.
BOOST_AUTO_TEST_CASE(readNowEndsOnceItsResultIsInForce) {
  put("a", "1");
  Mirror.start();
  Mirror.setFollowing(true);
  Time.runFor(4s);
  std::optional<bool> Read;
  auto ReadNow = [&] {
    Read.reset();
    Mirror.readNow([&](const Result<void> &Got) {
      Read = Got.has_value();
      BOOST_TEST((!Got || heldKeys() == Map{{"a", "2"}}));
    });
    Time.runFor(100ms);
  };
  put("a", "2");
  for (bool Gone : {false, true}) {
    HistoryGone = Gone;
    ReadNow();
    BOOST_TEST(Read.value_or(false));
  }
  Reachable = false;
  ReadNow();
  BOOST_TEST(!Read.value_or(true));
}

// The changes for another host include removals, also of keys that were written
// again.
BOOST_AUTO_TEST_CASE(changesIncludeRemovals) {
  put("a", "1");
  put("b", "1");
  Mirror.start();
  Time.runFor(100ms);
  StoreRevision Since = at(Now);
  remove("a");
  put("b", "2");
  remove("b");
  put("b", "3");
  Time.runFor(1s);
  StoreSnapshot Changes = Mirror.changesSince(Since);
  BOOST_TEST(Changes.ChangesOnly);
  Map Reported;
  for (const StoreChange &C : Changes.Items)
    Reported[C.Key + (C.Removed ? " gone" : "")] = C.Value;
  BOOST_TEST((Reported == Map{{"a gone", ""}, {"b", "3"}, {"b gone", ""}}));
  // Removals before the first list are not known, so all keys are returned.
  BOOST_TEST(!Mirror.changesSince(at(1)).ChangesOnly);
}

BOOST_AUTO_TEST_CASE(isNotCurrentDuringAnOutage) {
  Mirror.start();
  Time.runFor(100ms);
  BOOST_TEST(Mirror.isCurrent());
  Reachable = false;
  Time.runFor(StoreMirror::WatchWait + 2s);
  BOOST_TEST(!Mirror.isCurrent());
}

namespace {

/// A mirror whose first read returns a state that is some seconds old.
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

  Map keysOfStale() const {
    Map All;
    for (const StoreChange &C : Stale->changesSince({}).Items)
      All[C.Key] = C.Value;
    return All;
  }

  unsigned StaleLists = 0;
  std::unique_ptr<StoreMirror> Stale;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(watchBringsChangesMissedByAnOldFirstRead,
                        StaleFixture) {
  Stale->start();
  Time.runFor(100ms);
  BOOST_TEST((keysOfStale() == Map{{"a", "1"}, {"b", "1"}}));
  BOOST_TEST(!Stale->isCurrent());
  Time.runFor(StoreMirror::FirstWatchDelay);
  BOOST_TEST((keysOfStale() == Map{{"b", "1"}, {"c", "2"}}));
  BOOST_TEST(Stale->isCurrent());
  BOOST_TEST(Lists == 0U);
}

// A missing route is known to be missing as soon as the store was read anew.
BOOST_FIXTURE_TEST_CASE(mirrorIsCurrentOnceItHasBeenReadAgain, StaleFixture) {
  Stale->start();
  Time.runFor(100ms);
  BOOST_TEST(!Stale->isCurrent());
  Stale->readAgain();
  Time.runFor(100ms);
  BOOST_TEST(Stale->isCurrent());
  BOOST_TEST((keysOfStale() == Map{{"b", "1"}, {"c", "2"}}));
}

// Hundreds of hosts start at once, and each call to the store is paid for: a
// host that gets an update from one that watches makes a single read.
BOOST_FIXTURE_TEST_CASE(followerNeedsNoWatchAfterItsFirstRead, StaleFixture) {
  PeerState = snapshot(Keys);
  Stale->start();
  Time.runFor(100ms);
  Stale->setFollowing(true);
  Stale->peerReported(at(Now), true);
  Time.runFor(2 * StoreMirror::FirstWatchDelay);
  Stale->peerReported(at(Now), true);
  BOOST_TEST((keysOfStale() == Map{{"b", "1"}, {"c", "2"}}));
  BOOST_TEST(Stale->isCurrent());
  BOOST_TEST(StaleLists == 1U);
  BOOST_TEST(Lists == 0U);
  BOOST_TEST(Watches == 0U);
}

BOOST_FIXTURE_TEST_CASE(failedFirstReadIsFollowedByAFullList, StaleFixture) {
  Reachable = false;
  Stale->start();
  Time.runFor(300ms);
  Reachable = true;
  Time.runFor(2s);
  BOOST_TEST((keysOfStale() == Map{{"b", "1"}, {"c", "2"}}));
  BOOST_TEST(Lists >= 1U);
  BOOST_TEST(StaleLists == 1U);
}

// The store comes back from a copy that is older than what the mirror has
// shown. Nothing shown may be taken back before the operator and the endpoints
// had time to write it again.
BOOST_AUTO_TEST_CASE(shownContentStaysValidAfterARollback) {
  put("config", "1");
  put("gone", "x");
  Mirror.start();
  Time.runFor(100ms);
  Copy Old = copy();
  put("config", "2");
  remove("gone");
  put("new", "y");
  Time.runFor(200ms);
  const Map Shown{{"config", "2"}, {"new", "y"}};
  BOOST_REQUIRE((heldKeys() == Shown));
  Heard.clear();
  rollBack(Old);
  Time.runFor(2s);
  BOOST_TEST((heldKeys() == Shown));
  BOOST_TEST(Heard.empty());
  remove("gone");
  put("config", "2");
  put("new", "y");
  Time.runFor(StoreMirror::RollbackSettleTime);
  BOOST_TEST((heldKeys() == Shown));
  BOOST_TEST(Heard.empty());
}

// Revision numbers are assigned again after a rollback: changes must be applied
// although their numbers are lower than those from before.
BOOST_AUTO_TEST_CASE(changesAfterARollbackAreAppliedAtOnce) {
  put("a", "1");
  Mirror.start();
  Time.runFor(100ms);
  Copy Old = copy();
  for (int I = 0; I < 50; ++I)
    put("b", std::to_string(I));
  Time.runFor(200ms);
  rollBack(Old);
  Time.runFor(1s);
  put("a", "2");
  put("c", "1");
  Time.runFor(200ms);
  BOOST_TEST(heldKeys()["a"] == "2");
  BOOST_TEST(heldKeys()["c"] == "1");
  remove("a");
  Time.runFor(200ms);
  BOOST_TEST(!heldKeys().contains("a"));
}

// Content that nobody writes again is removed in the end, and the store's
// content is authoritative.
BOOST_AUTO_TEST_CASE(contentNotWrittenAgainIsRemoved) {
  put("a", "1");
  put("removed", "1");
  Mirror.start();
  Time.runFor(100ms);
  Copy Old = copy();
  put("a", "2");
  put("b", "1");
  remove("removed");
  Time.runFor(200ms);
  rollBack(Old);
  Time.runFor(StoreMirror::RollbackSettleTime / 2);
  BOOST_TEST((heldKeys() == Map{{"a", "2"}, {"b", "1"}}));
  Time.runFor(StoreMirror::RollbackSettleTime + 1s);
  BOOST_TEST((heldKeys() == Map{{"a", "1"}, {"removed", "1"}}));
}

// The revision numbers have caught up before the next watch call, so the watch
// would miss the rollback; the mirror of another prefix has detected it.
BOOST_AUTO_TEST_CASE(rollbackSeenByAnotherPrefixIsCheckedAtOnce) {
  put("a", "1");
  Mirror.start();
  Time.runFor(100ms);
  Copy Old = copy();
  put("b", "1");
  Time.runFor(200ms);
  rollBack(Old);
  put("a", "2");
  put("elsewhere", "1");
  put("elsewhere", "2");
  Mirror.storeRolledBack(Era);
  Time.runFor(100ms);
  BOOST_TEST((Mirror.lastChange() >= at(Now)));
  BOOST_TEST(heldKeys()["a"] == "2");
  BOOST_TEST(heldKeys()["b"] == "1");
}

namespace {

/// Time in which a rollback is noticed, by a watch that waits or a call that
/// is repeated after a failure, and settles.
constexpr Duration LongestSettling =
    StoreMirror::WatchWait + StoreMirror::RollbackSettleTime + 1500ms;

/// Hosts of one region over the same store: one that watches it, and one that
/// follows that one.
struct RegionFixture : Fixture {
  RegionFixture() {
    auto H = hooks();
    H.Changed = [this](const StoreChange &C, bool) {
      if (C.Removed)
        FollowerShows.erase(C.Key);
      else
        FollowerShows[C.Key] = C.Value;
    };
    H.ListStale = [this](auto Answer) { answer(Answer, snapshot(Keys)); };
    H.FetchFromPeer = [this](StoreRevision Since, auto Answer) {
      Time.after(1ms,
                 [this, Since, Answer] { Answer(Mirror.changesSince(Since)); });
    };
    Follower = std::make_unique<StoreMirror>(Time.runtime(), H);
  }

  void startBoth() {
    Mirror.start();
    Follower->start();
    Time.runFor(100ms);
    Follower->setFollowing(true);
    report();
    Time.runFor(StoreMirror::WatchWait);
  }

  /// Reports the watching host's state to the following one periodically.
  void report() {
    Follower->peerReported(Mirror.lastChange(), true);
    Time.after(200ms, [this] { report(); });
  }

  /// Rolls the store back and writes lost rows again before a host has called.
  void rollBackAndRewrite(const Copy &Old, const Map &Again) {
    rollBack(Old);
    for (const auto &[Key, Value] : Again)
      put(Key, Value);
  }

  std::unique_ptr<StoreMirror> Follower;
  Map FollowerShows;
};

} // namespace

// CONFIG, TWICE, HOME: hosts that follow never got a row that was written again
// with a revision number that had been seen before the rollback.
BOOST_FIXTURE_TEST_CASE(followerGetsARowThatWasHeldBackAfterARollback,
                        RegionFixture) {
  put("config", "1");
  startBoth();
  Copy Old = copy();
  put("config", "2");
  Time.runFor(400ms);
  BOOST_REQUIRE(FollowerShows["config"] == "2");
  rollBackAndRewrite(Old, {{"config", "3"}});
  Time.runFor(LongestSettling);
  BOOST_TEST(heldKeys()["config"] == "3");
  BOOST_TEST(FollowerShows["config"] == "3");
}

// The same for a row that was removed in the lost seconds, and written again.
BOOST_FIXTURE_TEST_CASE(followerGetsARemovedRowThatWasWrittenAgain,
                        RegionFixture) {
  put("zone", "1");
  startBoth();
  Copy Old = copy();
  remove("zone");
  Time.runFor(400ms);
  BOOST_REQUIRE(!FollowerShows.contains("zone"));
  rollBackAndRewrite(Old, {{"zone", "2"}});
  Time.runFor(LongestSettling);
  BOOST_TEST(heldKeys()["zone"] == "2");
  BOOST_TEST(FollowerShows["zone"] == "2");
}

// The follower has not seen the change that the rollback lost; the host that it
// follows has.
BOOST_FIXTURE_TEST_CASE(followerKeepsWhatItsWatcherRetains, RegionFixture) {
  put("config", "1");
  startBoth();
  Copy Old = copy();
  Follower->setFollowing(true);
  put("config", "2");
  Time.runFor(60ms);
  BOOST_REQUIRE(heldKeys()["config"] == "2");
  rollBack(Old);
  Time.runFor(1s);
  BOOST_TEST(heldKeys()["config"] == "2");
  BOOST_TEST(FollowerShows["config"] == "2");
  put("config", "3");
  Time.runFor(StoreMirror::RollbackSettleTime);
  BOOST_TEST(FollowerShows["config"] == "3");
}

// A host that starts behind a rollback gets what the others retain, as long as
// they do.
BOOST_FIXTURE_TEST_CASE(hostThatStartsBehindARollbackGetsWhatIsRetained,
                        RegionFixture) {
  put("config", "1");
  put("gone", "1");
  Mirror.start();
  Time.runFor(100ms);
  Copy Old = copy();
  put("config", "2");
  remove("gone");
  Time.runFor(200ms);
  rollBack(Old);
  Time.runFor(1500ms);
  Follower->start();
  Time.runFor(20ms);
  Follower->setFollowing(true);
  put("other", "1");
  Time.runFor(100ms);
  report();
  Time.runFor(400ms);
  BOOST_TEST((FollowerShows == Map{{"config", "2"}, {"other", "1"}}));
  Time.runFor(StoreMirror::RollbackSettleTime);
  BOOST_TEST(
      (FollowerShows == Map{{"config", "1"}, {"gone", "1"}, {"other", "1"}}));
  BOOST_TEST((heldKeys() == FollowerShows));
}

// The other host has not heard yet that the row was removed again.
BOOST_AUTO_TEST_CASE(retainedRowDoesNotComeBackAfterItsRemoval) {
  put("zone", "1");
  Mirror.start();
  Time.runFor(100ms);
  Copy Old = copy();
  put("zone", "2");
  Time.runFor(200ms);
  rollBack(Old);
  Time.runFor(1500ms);
  StoreSnapshot Other = Mirror.changesSince({});
  BOOST_REQUIRE(Other.Retained.size() == 1U);
  remove("zone");
  Time.runFor(100ms);
  Mirror.applyFromPeer(Other);
  BOOST_TEST(heldKeys().empty());
}

// A list that a watch has overtaken is dropped; the rollback still settles.
BOOST_FIXTURE_TEST_CASE(rollbackSettlesThoughListsAreOvertaken, RegionFixture) {
  put("config", "1");
  startBoth();
  Copy Old = copy();
  put("config", "2");
  Time.runFor(400ms);
  rollBackAndRewrite(Old, {{"config", "3"}});
  auto Busy = std::make_shared<std::function<void()>>();
  *Busy = [&, Weak = std::weak_ptr(Busy)] {
    put("elsewhere", std::to_string(Now));
    if (auto Again = Weak.lock())
      Time.after(2ms, *Again);
  };
  (*Busy)();
  Time.runFor(LongestSettling);
  BOOST_TEST(heldKeys()["config"] == "3");
  BOOST_TEST(FollowerShows["config"] == "3");
}

// HOME: a request follows the newest homes at any time, so tables whose version
// is higher are not held back at all.
BOOST_AUTO_TEST_CASE(rowWithAHigherVersionIsInForceAtOnceAfterARollback) {
  Map Shown;
  auto H = hooks();
  H.Changed = [&](const StoreChange &C, bool) { Shown[C.Key] = C.Value; };
  H.VersionOf = [](const StoreChange &C) {
    return C.Key == "tables" ? std::optional<std::uint64_t>(std::stoul(C.Value))
                             : std::nullopt;
  };
  StoreMirror Watching(Time.runtime(), H);
  put("tables", "1");
  put("zone", "1");
  Watching.start();
  Time.runFor(100ms);
  Copy Old = copy();
  put("elsewhere", "1");
  put("zone", "2");
  put("tables", "2");
  Time.runFor(200ms);
  rollBack(Old);
  put("tables", "3");
  put("zone", "3");
  Watching.storeRolledBack(Era);
  Time.runFor(100ms);
  BOOST_TEST(Shown["tables"] == "3");
  BOOST_TEST(Shown["zone"] == "2");
  Time.runFor(LongestSettling);
  BOOST_TEST(Shown["zone"] == "3");
}

// The store is away again when the time for writing rows again is over.
BOOST_FIXTURE_TEST_CASE(retentionEndsOnlyWithACurrentCopy, RegionFixture) {
  put("zone", "1");
  startBoth();
  Copy Old = copy();
  put("zone", "2");
  Time.runFor(400ms);
  rollBack(Old);
  Time.runFor(1500ms);
  Reachable = false;
  Time.runFor(2 * StoreMirror::RollbackSettleTime);
  put("zone", "3");
  BOOST_TEST(heldKeys()["zone"] == "2");
  Reachable = true;
  Time.runFor(2s);
  BOOST_TEST(heldKeys()["zone"] == "3");
  BOOST_TEST(FollowerShows["zone"] == "3");
}

// A second rollback while the first has not settled.
BOOST_FIXTURE_TEST_CASE(contentShownSurvivesRollbacksInSeries, RegionFixture) {
  put("config", "1");
  startBoth();
  Copy Old = copy();
  put("config", "2");
  Time.runFor(400ms);
  rollBack(Old);
  Time.runFor(1s);
  ++Era;
  for (auto &[Key, Item] : Keys)
    Item.At.Era = Era;
  HistoryGone = true;
  Mirror.storeRolledBack(Era);
  Time.runFor(1s);
  BOOST_TEST(heldKeys()["config"] == "2");
  BOOST_TEST(FollowerShows["config"] == "2");
  put("config", "3");
  Time.runFor(LongestSettling);
  BOOST_TEST(heldKeys()["config"] == "3");
  BOOST_TEST(FollowerShows["config"] == "3");
}

// Hosts that follow learn of the later era from a host that watches. An update
// of a host that is still in the earlier era changes nothing.
BOOST_AUTO_TEST_CASE(followersContinueInTheLaterEra) {
  put("a", "1");
  Mirror.start();
  Time.runFor(100ms);
  Mirror.setFollowing(true);
  Time.runFor(StoreMirror::WatchWait + 1s);
  StoreRevision Before = Mirror.lastChange();
  PeerState = {{{"a", "2", {1, 3}, false}}, {1, 3}, false};
  Mirror.peerReported({1, 3}, true);
  Time.runFor(1s);
  BOOST_TEST((heldKeys() == Map{{"a", "2"}}));
  BOOST_TEST((Mirror.lastChange() == StoreRevision{1, 3}));
  PeerState = {{{"a", "1", {0, 99}, false}}, {0, 99}, false};
  Mirror.peerReported({0, 99}, true);
  Time.runFor(1s);
  BOOST_TEST((heldKeys() == Map{{"a", "2"}}));
  BOOST_TEST((Before < Mirror.lastChange()));
}

BOOST_AUTO_TEST_CASE(rollbackIsReportedOnce) {
  std::vector<StoreRollback> Rollbacks;
  auto H = hooks();
  H.RolledBack = [&](const StoreRollback &Return) {
    Rollbacks.push_back(Return);
  };
  StoreMirror Watching(Time.runtime(), H);
  put("a", "1");
  Watching.start();
  Time.runFor(100ms);
  Copy Old = copy();
  put("a", "2");
  Time.runFor(200ms);
  rollBack(Old);
  Time.runFor(1s);
  BOOST_REQUIRE(Rollbacks.size() == 1U);
  BOOST_TEST(!Rollbacks[0].Settled);
  BOOST_TEST((Rollbacks[0].Before == StoreRevision{0, 12}));
  BOOST_TEST((Rollbacks[0].After == StoreRevision{1, 11}));
  Time.runFor(StoreMirror::RollbackSettleTime);
  BOOST_REQUIRE(Rollbacks.size() == 2U);
  BOOST_TEST(Rollbacks[1].Settled);
}

BOOST_AUTO_TEST_SUITE_END()
