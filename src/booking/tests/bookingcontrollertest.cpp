#include "bookingfleet.h"

#include <boost/test/unit_test.hpp>

using namespace celerybeam;
using namespace celerybeam::testing;
using namespace std::chrono_literals;

namespace {

/// A fleet whose shards all have owners.
struct ReadyFleet : BookingFleet {
  explicit ReadyFleet(std::uint64_t Seed,
                      RunnerCheck Checks = RunnerCheck::None, int Hosts = 3)
      : BookingFleet(Seed, Checks, Hosts) {
    Time.runFor(15s);
  }

  /// A host that does not own the key's shard.
  std::string otherThan(const std::string &Owner) const {
    return Owner == "k1" ? "k2" : "k1";
  }

  bool isDone(std::size_t I) {
    const auto &Got = answer(I).Got;
    return Got && *Got && (*Got)->State == BookingState::Done &&
           (*Got)->Answer == "done " + answer(I).Key;
  }

  bool isState(std::size_t I, BookingState State) {
    const auto &Got = answer(I).Got;
    return Got && *Got && (*Got)->State == State;
  }

  bool isError(std::size_t I, ErrorKind Kind) {
    const auto &Got = answer(I).Got;
    return Got && !*Got && Got->error().Kind == Kind;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(BookingControllerTests)

BOOST_AUTO_TEST_CASE(bookingRunsOnceAndAllHostsTellTheOutcome) {
  ReadyFleet F(1);
  Uuid7 Key = F.newKey();
  for (int I = 0; I < 3; ++I)
    F.book(F.hostName(I), Key, 4s);
  F.Time.runFor(4s);
  for (std::size_t I = 0; I < 3; ++I)
    BOOST_TEST(F.isDone(I));
  BOOST_TEST(F.executions(Key.str()) == 1);
  std::size_t Q = F.query("k2", Key);
  F.Time.runFor(4s);
  BOOST_TEST(F.isDone(Q));
}

BOOST_AUTO_TEST_CASE(keyOfAnotherPayloadIsRefused) {
  ReadyFleet F(2);
  Uuid7 Key = F.newKey();
  F.book("k1", Key, 4s, "slot 7");
  F.Time.runFor(2s);
  std::size_t Second = F.book("k2", Key, 4s, "slot 8");
  F.Time.runFor(2s);
  BOOST_TEST(F.isError(Second, ErrorKind::KeyReused));
  BOOST_TEST(F.executions(Key.str()) == 1);
}

BOOST_AUTO_TEST_CASE(oldAndFutureKeysAreRefused) {
  ReadyFleet F(3);
  Runtime Past = F.Time.runtime();
  Past.WallNow = [&] { return F.Time.wallNow() - std::chrono::hours(49); };
  Runtime Future = F.Time.runtime();
  Future.WallNow = [&] { return F.Time.wallNow() + std::chrono::hours(1); };
  std::size_t Old = F.book("k1", Uuid7::generate(Past), 4s);
  std::size_t New = F.book("k1", Uuid7::generate(Future), 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isError(Old, ErrorKind::ExpiredKey));
  BOOST_TEST(F.isError(New, ErrorKind::ExpiredKey));
}

BOOST_AUTO_TEST_CASE(refusedConnectionsEverywhereMeanNotRun) {
  ReadyFleet F(4);
  F.PickRunnerFault = [](const HostId &) {
    return RunnerFault::RefuseConnection;
  };
  Uuid7 Key = F.newKey();
  F.book("k1", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isState(0, BookingState::NotRun));
  F.PickRunnerFault = nullptr;
  std::size_t Again = F.book("k2", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isState(Again, BookingState::NotRun));
  BOOST_TEST(F.executions(Key.str()) == 0);
}

BOOST_AUTO_TEST_CASE(refusedConnectionGoesToAnotherRunner) {
  ReadyFleet F(5);
  int Calls = 0;
  F.PickRunnerFault = [&](const HostId &) {
    return Calls++ == 0 ? RunnerFault::QueueFull : RunnerFault::None;
  };
  Uuid7 Key = F.newKey();
  F.book("k1", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isDone(0));
  BOOST_TEST(F.executions(Key.str()) == 1);
}

BOOST_AUTO_TEST_CASE(lostAnswerIsUnknownAndNeverRepeated) {
  ReadyFleet F(6);
  F.PickRunnerFault = [](const HostId &) { return RunnerFault::LoseAnswer; };
  Uuid7 Key = F.newKey();
  F.book("k1", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isError(0, ErrorKind::OutcomeUnknown));
  BOOST_TEST((F.answer(0).GotAt < F.answer(0).Asked + 2s));
  std::size_t Again = F.book("k3", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isError(Again, ErrorKind::OutcomeUnknown));
  BOOST_TEST(F.executions(Key.str()) == 1);
}

BOOST_AUTO_TEST_CASE(runnerThatChecksTheKeyIsAskedAgain) {
  ReadyFleet F(7, RunnerCheck::Key);
  int Calls = 0;
  F.PickRunnerFault = [&](const HostId &) {
    return Calls++ == 0 ? RunnerFault::LoseAnswer : RunnerFault::None;
  };
  Uuid7 Key = F.newKey();
  F.book("k1", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isError(0, ErrorKind::OutcomeUnknown));
  std::size_t Again = F.book("k3", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isDone(Again));
  BOOST_TEST(F.executions(Key.str()) == 1);
}

BOOST_AUTO_TEST_CASE(lateAnswerIsRecorded) {
  ReadyFleet F(8);
  F.PickRunnerFault = [](const HostId &) { return RunnerFault::LateAnswer; };
  Uuid7 Key = F.newKey();
  F.book("k1", Key, 4s);
  F.Time.runFor(5s);
  BOOST_TEST(F.isError(0, ErrorKind::OutcomeUnknown));
  std::size_t Running = F.query("k2", Key);
  F.Time.runFor(8s);
  BOOST_TEST(F.isState(Running, BookingState::Running));
  std::size_t Done = F.query("k2", Key);
  F.Time.runFor(4s);
  BOOST_TEST(F.isDone(Done));
}

BOOST_AUTO_TEST_CASE(bookingsGoOnThroughAnHourWithoutTheStore) {
  ReadyFleet F(9);
  F.storeDown(std::chrono::hours(1));
  F.Time.runFor(10s);
  std::vector<Uuid7> Keys;
  for (int I = 0; I < 30; ++I) {
    Keys.push_back(F.newKey());
    F.book(F.hostName(I % 3), Keys.back(), 4s);
    F.Time.runFor(2min);
  }
  for (std::size_t I = 0; I < Keys.size(); ++I)
    BOOST_TEST(F.isDone(I));
  F.Time.runFor(10s);
  auto Value = F.Store.read(StoreKey("ledger/r/0"));
  BOOST_REQUIRE(Value.has_value());
  for (const Uuid7 &Key : Keys) {
    std::size_t Q = F.query("k1", Key);
    F.Time.runFor(1s);
    BOOST_TEST(F.isDone(Q));
    BOOST_TEST(F.executions(Key.str()) == 1);
  }
}

BOOST_AUTO_TEST_CASE(ownerCrashInsideAnOutageRunsNothingTwice) {
  ReadyFleet F(10);
  Uuid7 Before = F.newKey();
  std::string Owner = F.ownerOf(Before);
  F.storeDown(60s);
  F.Time.runFor(2s);
  std::size_t First = F.book(Owner, Before, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isDone(First));
  F.crash(Owner, false);
  F.Time.runFor(70s);
  std::size_t Again = F.book(F.otherThan(Owner), Before, 4s);
  F.Time.runFor(20s);
  BOOST_TEST(F.executions(Before.str()) == 1);
  BOOST_TEST((F.isDone(Again) || F.isError(Again, ErrorKind::OutcomeUnknown)));
}

BOOST_AUTO_TEST_CASE(ownerCutOffAloneStopsAndAnotherTakesOver) {
  ReadyFleet F(11);
  // The taker must have known the store for long enough to rule an outage
  // out.
  F.Time.runFor(40s);
  Uuid7 Key = F.newKey();
  std::string Owner = F.ownerOf(Key);
  F.cutOffFromStore(Owner, 5min);
  F.Time.runFor(8s);
  std::size_t AtOwner = F.book(Owner, Key, 20s);
  F.Time.runFor(20s);
  BOOST_TEST(F.isDone(AtOwner));
  BOOST_TEST(F.ownerOf(Key) != Owner);
  BOOST_TEST(F.executions(Key.str()) == 1);
}

BOOST_AUTO_TEST_CASE(loneHostOfARegionGoesOnWithoutTheStore) {
  ReadyFleet F(12, RunnerCheck::None, 1);
  F.storeDown(10min);
  F.Time.runFor(10s);
  std::size_t One = F.book("k1", F.newKey(), 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isDone(One));
}

BOOST_AUTO_TEST_CASE(leavingOwnerHandsItsShardsOver) {
  ReadyFleet F(13);
  Uuid7 Key = F.newKey();
  std::string Owner = F.ownerOf(Key);
  std::size_t Before = F.book(Owner, Key, 4s);
  F.Time.runFor(1s);
  F.board(Owner).setLeaving();
  PeerRecord R;
  R.Id = HostId(Owner);
  R.Region = RegionId("r");
  R.State = PeerState::Leaving;
  for (int I = 0; I < 3; ++I)
    if (F.hostName(I) != Owner)
      F.board(F.hostName(I)).peers().set(R.Id, R);
  bool Left = false;
  F.controller(Owner).leave([&](const Result<void> &) { Left = true; });
  F.Time.runFor(5s);
  BOOST_TEST(Left);
  BOOST_TEST(F.isDone(Before));
  BOOST_TEST(F.ownerOf(Key) != Owner);
  std::size_t After = F.book(F.otherThan(Owner), F.newKey(), 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isDone(After));
}

BOOST_AUTO_TEST_CASE(writesAreBoundedHoweverManyBookings) {
  ReadyFleet F(14);
  auto Before = F.Store.writes();
  for (int Second = 0; Second < 10; ++Second) {
    for (int I = 0; I < 100; ++I)
      F.book(F.hostName(I % 3), F.newKey(), 4s);
    F.Time.runFor(1s);
  }
  F.Time.runFor(4s);
  int Done = 0;
  for (std::size_t I = 0; I < F.Answers.size(); ++I)
    Done += F.isDone(I) ? 1 : 0;
  double WritesASecond = double(F.Store.writes() - Before) / 14;
  BOOST_TEST_MESSAGE("100 bookings/s over 8 shards: " << WritesASecond
                                                      << " writes/s, " << Done
                                                      << " of 1000 done");
  messages::LedgerShard Record;
  std::string Data = F.Store.read(StoreKey("ledger/r/0"))->Data;
  BOOST_REQUIRE(Record.ParseFromString(Data));
  BOOST_TEST_MESSAGE("a record of " << Record.entries_size() << " bookings has "
                                    << Data.size() << " bytes");
  BOOST_TEST(Done == 1000);
  BOOST_TEST(WritesASecond < 8 * 5);
}

BOOST_AUTO_TEST_SUITE_END()
