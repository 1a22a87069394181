#include <boost/test/unit_test.hpp>

#include "fleet/confirmationtracker.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

constexpr Duration Lifetime = 5s;

/// A host with its tracker and the revision that it has applied.
struct Host {
  explicit Host(const Runtime &R)
      : Tracker(R,
                {[this] { return Applied; }, [this] { return LastChange; }}) {}

  void apply(StoreRevision Change) { Applied = LastChange = Change; }

  StoreRevision Applied{1, 10};
  StoreRevision LastChange{1, 10};
  ConfirmationTracker Tracker;
};

/// A watcher of the store and a host that follows it.
struct Pair {
  Pair() { Time.runFor(100s); }

  /// Sends the follower's stamp to the watcher.
  void sendStamp() {
    Watcher.Tracker.recordStamp("follower", Time.runtime().Now());
  }
  TablesConfirmation answer() {
    auto Made = Watcher.Tracker.confirmationFor("follower");
    BOOST_REQUIRE(Made);
    return *Made;
  }
  bool covers() {
    return Follower.Tracker.covers(Time.runtime().Now(), Lifetime);
  }

  testing::VirtualTime Time{1};
  Host Watcher{Time.runtime()};
  Host Follower{Time.runtime()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfirmationTrackerTests, Pair)

// A key that was removed right after the latest confirmation would be accepted
// for longer than its lifetime on a host that lost the store.
BOOST_AUTO_TEST_CASE(rightEndsWithoutConfirmations) {
  BOOST_TEST(!covers());
  Follower.Tracker.confirmByRead(Time.runtime().Now());
  Time.runFor(Lifetime - 1ms);
  BOOST_TEST(covers());
  Time.runFor(1ms);
  BOOST_TEST(!covers());
}

// A watch that waited returns what it knew when it began.
BOOST_AUTO_TEST_CASE(readConfirmsByItsStart) {
  TimePoint Begun = Time.runtime().Now();
  Time.runFor(3s);
  Follower.Tracker.confirmByRead(Begun);
  Time.runFor(2s);
  BOOST_TEST(!covers());
}

BOOST_AUTO_TEST_CASE(requestThatArrivedBeforeTheEndIsCovered) {
  Follower.Tracker.confirmByRead(Time.runtime().Now());
  TimePoint Arrived = Time.runtime().Now() + 4s;
  Time.runFor(60s);
  BOOST_TEST(Follower.Tracker.covers(Arrived, Lifetime));
}

BOOST_AUTO_TEST_CASE(followerTakesOverTheAge) {
  Watcher.Tracker.confirmByRead(Time.runtime().Now());
  Time.runFor(1s);
  sendStamp();
  Time.runFor(200ms);
  Follower.Tracker.received(answer());
  BOOST_REQUIRE(Follower.Tracker.confirmedAt());
  BOOST_TEST(
      (Time.runtime().Now() - *Follower.Tracker.confirmedAt() == 1200ms));
}

// The host stood still, or the datagram waited at a full link: the age in it is
// no longer true when it is read.
BOOST_AUTO_TEST_CASE(delayedConfirmationIsAsOldAsItIs) {
  Watcher.Tracker.confirmByRead(Time.runtime().Now());
  sendStamp();
  TablesConfirmation Made = answer();
  Time.runFor(10s);
  Follower.Tracker.received(Made);
  BOOST_TEST(!covers());
}

// The confirmation would extend the right to keys that the version that it is
// of has removed.
BOOST_AUTO_TEST_CASE(confirmationWaitsForItsRevision) {
  Watcher.apply({1, 11});
  Watcher.Tracker.confirmByRead(Time.runtime().Now());
  sendStamp();
  Follower.Tracker.received(answer());
  BOOST_TEST(!covers());
  Follower.Applied = {1, 11};
  BOOST_TEST(covers());
}

// The store's revision grows with changes of other keys, of which only those
// that read the store learn.
BOOST_AUTO_TEST_CASE(followerNeedsNoRevisionWithoutAChange) {
  Watcher.Applied = {1, 500};
  Watcher.Tracker.confirmByRead(Time.runtime().Now());
  sendStamp();
  Follower.Tracker.received(answer());
  BOOST_TEST(covers());
}

// Revisions of an earlier era of the store do not reach those of a later one.
BOOST_AUTO_TEST_CASE(confirmationOfALaterEraWaits) {
  Watcher.apply({2, 5});
  Watcher.Tracker.confirmByRead(Time.runtime().Now());
  sendStamp();
  Follower.Tracker.received(answer());
  BOOST_TEST(!covers());
}

BOOST_AUTO_TEST_CASE(newerConfirmationDoesNotKeepAnAwaitedOneWaiting) {
  for (std::uint64_t Number : {11U, 12U, 13U}) {
    Watcher.apply({1, Number});
    Watcher.Tracker.confirmByRead(Time.runtime().Now());
    sendStamp();
    Follower.Tracker.received(answer());
    Time.runFor(ConfirmationTracker::MinInterval);
  }
  Follower.Applied = {1, 11};
  BOOST_TEST(covers());
}

// The stamp belongs to an earlier process, whose machine may have restarted.
BOOST_AUTO_TEST_CASE(stampOfAnEarlierProcessIsIgnored) {
  Watcher.Tracker.confirmByRead(Time.runtime().Now());
  sendStamp();
  TablesConfirmation Made = answer();
  Time.runFor(100ms);
  Host Restarted(Time.runtime());
  Restarted.Tracker.received(Made);
  BOOST_TEST(!Restarted.Tracker.confirmedAt());
  Made.Stamp = Time.runtime().Now() + 1s;
  Restarted.Tracker.received(Made);
  BOOST_TEST(!Restarted.Tracker.confirmedAt());
}

// A version that cannot be read may have removed any key.
BOOST_AUTO_TEST_CASE(unreadableVersionEndsConfirmations) {
  Follower.Tracker.confirmByRead(Time.runtime().Now());
  Follower.Tracker.setReadable(false);
  Time.runFor(3s);
  Follower.Tracker.confirmByRead(Time.runtime().Now());
  Time.runFor(2s);
  BOOST_TEST(!covers());
  Follower.Tracker.setReadable(true);
  Follower.Tracker.confirmByRead(Time.runtime().Now());
  BOOST_TEST(covers());
}

// The watcher is cut off, and its age is passed on in a circle.
BOOST_AUTO_TEST_CASE(hostsDoNotRenewEachOther) {
  Watcher.Tracker.confirmByRead(Time.runtime().Now());
  for (int Round = 0; Round < 30; ++Round) {
    sendStamp();
    Follower.Tracker.recordStamp("watcher", Time.runtime().Now());
    Time.runFor(200ms);
    Follower.Tracker.received(answer());
    if (auto Back = Follower.Tracker.confirmationFor("watcher"))
      Watcher.Tracker.received(*Back);
  }
  BOOST_TEST(!covers());
  BOOST_TEST(!Watcher.Tracker.covers(Time.runtime().Now(), Lifetime));
}

BOOST_AUTO_TEST_SUITE_END()
