#include <boost/test/unit_test.hpp>

#include <deque>
#include <vector>

#include "fleet/readbarrier.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

constexpr Duration Interval = 100ms;

/// A host whose reads end when the test says so.
struct Fixture {
  ReadBarrier::Hooks hooks() {
    return {
        [this](ReadBarrier::Done Done) {
          Reads.push_back({Time.now(), std::move(Done)});
          ++Begun;
        },
        [this] { return ConfirmedAt; },
        [this](const ReadBarrierChange &Change) { Changes.push_back(Change); }};
  }

  /// Has a request that has just arrived wait.
  void await(Duration AtMost = 1s) {
    Tested.await(Time.now(), AtMost,
                 [this](bool Confirmed) { Answers.push_back(Confirmed); });
  }

  /// Ends the earliest read.
  void endRead(bool Succeeds = true) {
    BOOST_REQUIRE(!Reads.empty());
    Read Ended = std::move(Reads.front());
    Reads.pop_front();
    if (Succeeds)
      ConfirmedAt = Ended.Begun;
    Ended.Done(Succeeds ? Result<void>()
                        : makeError(ErrorKind::StoreUnreachable, "refused"));
  }

  struct Read {
    TimePoint Begun{};
    ReadBarrier::Done Done;
  };

  testing::VirtualTime Time{1};
  std::optional<TimePoint> ConfirmedAt;
  std::deque<Read> Reads;
  unsigned Begun = 0;
  std::vector<bool> Answers;
  std::vector<ReadBarrierChange> Changes;
  ReadBarrier Tested{Time.runtime(), hooks(), Interval};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReadBarrierTests, Fixture)

// TWICE (review/11): a copy counted as recent for as long as nothing was heard.
BOOST_AUTO_TEST_CASE(silenceConfirmsNothing) {
  ConfirmedAt = Time.now();
  Time.runFor(1ms);
  BOOST_TEST(!Tested.covers(Time.now()));
  await();
  for (int I = 0; I < 100; ++I) {
    Time.runFor(100ms);
    await();
  }
  Time.runFor(2s);
  BOOST_TEST(Answers.size() == 101U);
  for (bool Answer : Answers)
    BOOST_TEST(!Answer);
}

BOOST_AUTO_TEST_CASE(requestThatWasConfirmedAlreadyCausesNoRead) {
  TimePoint Arrived = Time.now();
  Time.runFor(1ms);
  ConfirmedAt = Time.now();
  Tested.await(Arrived, 1s, [this](bool Got) { Answers.push_back(Got); });
  BOOST_TEST(Answers.empty());
  Time.runFor(1ms);
  BOOST_TEST(Answers == std::vector<bool>{true});
  BOOST_TEST(Begun == 0U);
}

// What is acknowledged after a read has begun may be missing in it.
BOOST_AUTO_TEST_CASE(readInProgressDoesNotServeALaterRequest) {
  await();
  Time.runFor(3ms);
  await();
  endRead();
  BOOST_TEST(Answers == std::vector<bool>{true});
  Time.runFor(Interval);
  BOOST_TEST(Begun == 2U);
  endRead();
  BOOST_TEST(Answers == (std::vector<bool>{true, true}));
}

// Many requests fail at once, as when an engine crashes.
BOOST_AUTO_TEST_CASE(oneReadServesAllThatWait) {
  await();
  endRead();
  for (int I = 0; I < 50; ++I) {
    Time.runFor(1ms);
    await();
  }
  Time.runFor(Interval);
  BOOST_TEST(Begun == 2U);
  endRead();
  Time.runFor(Interval);
  BOOST_TEST(Begun == 2U);
  BOOST_TEST(Answers.size() == 51U);
  for (bool Answer : Answers)
    BOOST_TEST(Answer);
}

BOOST_AUTO_TEST_CASE(requestWaitsNoLongerThanItMay) {
  await(200ms);
  Time.runFor(199ms);
  BOOST_TEST(Answers.empty());
  Time.runFor(1ms);
  BOOST_TEST(Answers == std::vector<bool>{false});
  endRead();
  BOOST_TEST(Answers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(requestsAreAnsweredAtOnceWhileReadsFail) {
  await();
  Time.runFor(ReadBarrier::MaxRead);
  BOOST_TEST(Answers == std::vector<bool>{false});
  BOOST_REQUIRE(Changes.size() == 1U);
  BOOST_TEST(!Changes[0].Succeeds);
  await();
  Time.runFor(1ms);
  BOOST_TEST(Answers.size() == 2U);
  BOOST_TEST(!Answers.back());
}

// The refusal is tested by the requests themselves, at bounded cost.
BOOST_AUTO_TEST_CASE(readsGoOnAtIntervalsWhileTheyFail) {
  await();
  endRead(false);
  unsigned Before = Begun;
  constexpr int Seconds = 5;
  for (int I = 0; I < Seconds * 100; ++I) {
    Time.runFor(10ms);
    await();
    if (!Reads.empty())
      endRead(false);
  }
  BOOST_TEST(Begun - Before >= 8U);
  BOOST_TEST(Begun - Before <= Seconds * 1s / ReadBarrier::FailedInterval);
  // It ends with the first read that succeeds.
  Time.runFor(ReadBarrier::FailedInterval);
  await();
  endRead();
  BOOST_REQUIRE(Changes.size() == 2U);
  BOOST_TEST(Changes[1].Succeeds);
  Time.runFor(Interval);
  Answers.clear();
  await();
  BOOST_TEST(Answers.empty());
  endRead();
  BOOST_TEST(Answers.back());
}

// The answer of a slow store comes after its read was given up.
BOOST_AUTO_TEST_CASE(lateAnswerEndsTheFailure) {
  await();
  Time.runFor(ReadBarrier::MaxRead + 10ms);
  endRead();
  BOOST_REQUIRE(Changes.size() == 2U);
  BOOST_TEST(Changes[1].Succeeds);
}

// A version that cannot be read suspends confirmations.
BOOST_AUTO_TEST_CASE(readThatConfirmsNothingIsNotRepeatedWithoutEnd) {
  await();
  Read Ended = std::move(Reads.front());
  Reads.clear();
  Ended.Done({});
  Time.runFor(1s);
  BOOST_TEST(Answers == std::vector<bool>{false});
  BOOST_TEST(Begun == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
