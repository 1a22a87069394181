#include "bookingfleet.h"

#include <boost/test/unit_test.hpp>

using namespace celerybeam;
using namespace celerybeam::testing;
using namespace std::chrono_literals;

namespace {

/// A fleet after enough time for all shards to have owners.
struct ReadyFleet : BookingFleet {
  explicit ReadyFleet(std::uint64_t Seed,
                      RunnerCheck Checks = RunnerCheck::None, int Hosts = 3)
      : BookingFleet(Seed, Checks, Hosts) {
    Time.runFor(15s);
  }

  /// Name of a host that is not the owner.
  std::string hostOtherThan(const std::string &Owner) const {
    return Owner == "k1" ? "k2" : "k1";
  }

  bool isDone(std::size_t I) {
    const auto &Outcome = result(I).Outcome;
    return Outcome && *Outcome && (*Outcome)->State == BookingState::Done &&
           (*Outcome)->Response == "done " + result(I).Key;
  }

  bool isState(std::size_t I, BookingState State) {
    const auto &Outcome = result(I).Outcome;
    return Outcome && *Outcome && (*Outcome)->State == State;
  }

  bool isError(std::size_t I, ErrorKind Kind) {
    const auto &Outcome = result(I).Outcome;
    return Outcome && !*Outcome && Outcome->error().Kind == Kind;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(BookingControllerTests)

BOOST_AUTO_TEST_CASE(bookingRunsOnceAndAllHostsReportTheOutcome) {
  ReadyFleet F(1);
  Uuid7 Key = F.newKey();
  for (int I = 0; I < 3; ++I)
    F.book(F.hostName(I), Key, 4s);
  F.Time.runFor(4s);
  for (std::size_t I = 0; I < 3; ++I)
    BOOST_TEST(F.isDone(I));
  BOOST_TEST(F.executions(Key.str()) == 1);
  std::size_t Query = F.query("k2", Key);
  F.Time.runFor(4s);
  BOOST_TEST(F.isDone(Query));
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

/// "Not run" is final: a later booking with the key must not run it either.
BOOST_AUTO_TEST_CASE(refusedConnectionsAtAllRunnersMeanNotRun) {
  ReadyFleet F(4);
  F.PickRunnerFault = [](const HostId &) {
    return RunnerFault::RefuseConnection;
  };
  Uuid7 Key = F.newKey();
  F.book("k1", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isState(0, BookingState::NotRun));
  F.PickRunnerFault = nullptr;
  std::size_t Repeated = F.book("k2", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isState(Repeated, BookingState::NotRun));
  BOOST_TEST(F.executions(Key.str()) == 0);
}

BOOST_AUTO_TEST_CASE(fullRunnerQueueSendsTheBookingToAnotherRunner) {
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

/// Guards against a second execution after the runner's response is lost.
BOOST_AUTO_TEST_CASE(lostResponseIsUnknownAndNeverRepeated) {
  ReadyFleet F(6);
  F.PickRunnerFault = [](const HostId &) { return RunnerFault::LoseResponse; };
  Uuid7 Key = F.newKey();
  F.book("k1", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isError(0, ErrorKind::OutcomeUnknown));
  BOOST_TEST((F.result(0).CompletedAt < F.result(0).StartedAt + 2s));
  std::size_t Repeated = F.book("k3", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isError(Repeated, ErrorKind::OutcomeUnknown));
  BOOST_TEST(F.executions(Key.str()) == 1);
}

/// A runner that checks the key does not run a booking twice, so a repeated
/// call may fetch the lost response from it.
BOOST_AUTO_TEST_CASE(runnerThatChecksTheKeyIsCalledAgain) {
  ReadyFleet F(7, RunnerCheck::Key);
  int Calls = 0;
  F.PickRunnerFault = [&](const HostId &) {
    return Calls++ == 0 ? RunnerFault::LoseResponse : RunnerFault::None;
  };
  Uuid7 Key = F.newKey();
  F.book("k1", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isError(0, ErrorKind::OutcomeUnknown));
  std::size_t Repeated = F.book("k3", Key, 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isDone(Repeated));
  BOOST_TEST(F.executions(Key.str()) == 1);
}

/// Guards against losing a response that arrives after the caller's deadline.
BOOST_AUTO_TEST_CASE(lateResponseIsRecorded) {
  ReadyFleet F(8);
  F.PickRunnerFault = [](const HostId &) { return RunnerFault::LateResponse; };
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

BOOST_AUTO_TEST_CASE(bookingsContinueDuringAnHourLongStoreOutage) {
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
    std::size_t Query = F.query("k1", Key);
    F.Time.runFor(1s);
    BOOST_TEST(F.isDone(Query));
    BOOST_TEST(F.executions(Key.str()) == 1);
  }
}

/// Guards against a second execution when the only record of a booking is the
/// copies that the crashed owner sent to the other hosts.
BOOST_AUTO_TEST_CASE(ownerCrashDuringAStoreOutageRunsNothingTwice) {
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
  std::size_t Repeated = F.book(F.hostOtherThan(Owner), Before, 4s);
  F.Time.runFor(20s);
  BOOST_TEST(F.executions(Before.str()) == 1);
  BOOST_TEST(
      (F.isDone(Repeated) || F.isError(Repeated, ErrorKind::OutcomeUnknown)));
}

/// Guards against an owner that works without the store while the other hosts
/// reach it: the owner must stop, and another host must take the shard over.
BOOST_AUTO_TEST_CASE(ownerPartitionedFromTheStoreIsReplaced) {
  ReadyFleet F(11);
  // The new owner must have reached the store long enough to rule out an
  // outage.
  F.Time.runFor(40s);
  Uuid7 Key = F.newKey();
  std::string Owner = F.ownerOf(Key);
  F.partitionFromStore(Owner, 5min);
  F.Time.runFor(8s);
  std::size_t AtOwner = F.book(Owner, Key, 20s);
  F.Time.runFor(20s);
  BOOST_TEST(F.isDone(AtOwner));
  BOOST_TEST(F.ownerOf(Key) != Owner);
  BOOST_TEST(F.executions(Key.str()) == 1);
}

/// A region's only host is a majority by itself.
BOOST_AUTO_TEST_CASE(onlyHostOfARegionContinuesWithoutTheStore) {
  ReadyFleet F(12, RunnerCheck::None, 1);
  F.storeDown(10min);
  F.Time.runFor(10s);
  std::size_t One = F.book("k1", F.newKey(), 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isDone(One));
}

BOOST_AUTO_TEST_CASE(leavingOwnerHandsOverItsShards) {
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
  bool HasLeft = false;
  F.controller(Owner).leave([&](const Result<void> &) { HasLeft = true; });
  F.Time.runFor(5s);
  BOOST_TEST(HasLeft);
  BOOST_TEST(F.isDone(Before));
  BOOST_TEST(F.ownerOf(Key) != Owner);
  std::size_t After = F.book(F.hostOtherThan(Owner), F.newKey(), 4s);
  F.Time.runFor(4s);
  BOOST_TEST(F.isDone(After));
}

BOOST_AUTO_TEST_CASE(storeWriteRateIsBoundedUnderLoad) {
  ReadyFleet F(14);
  auto Before = F.Store.writes();
  for (int Second = 0; Second < 10; ++Second) {
    for (int I = 0; I < 100; ++I)
      F.book(F.hostName(I % 3), F.newKey(), 4s);
    F.Time.runFor(1s);
  }
  F.Time.runFor(4s);
  int Done = 0;
  for (std::size_t I = 0; I < F.Results.size(); ++I)
    Done += F.isDone(I) ? 1 : 0;
  double WritesPerSecond = double(F.Store.writes() - Before) / 14;
  BOOST_TEST_MESSAGE("100 bookings/s over 8 shards: " << WritesPerSecond
                                                      << " writes/s, " << Done
                                                      << " of 1000 done");
  messages::LedgerShard Record;
  std::string Data = F.Store.read(StoreKey("ledger/r/0"))->Data;
  BOOST_REQUIRE(Record.ParseFromString(Data));
  BOOST_TEST_MESSAGE("a record of " << Record.entries_size() << " bookings has "
                                    << Data.size() << " bytes");
  BOOST_TEST(Done == 1000);
  BOOST_TEST(WritesPerSecond < 8 * 5);
}

BOOST_AUTO_TEST_SUITE_END()
