#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

#include "dispatch/fairnesstracker.h"
#include "dispatch/refusedcallertracker.h"
#include "dispatch/tests/dispatchfixture.h"
#include "dispatch/tests/loadreplay.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using testing::LoadReplay;
using testing::ReplayedRequest;
using testing::ReplayKind;

namespace {

const PoolName Engines("engines");

AdmissionCase waitingCase() {
  AdmissionCase Case;
  Case.TimeToFirstOutput = 200ms;
  Case.MustWait = true;
  Case.LatencyTarget = 1000ms;
  Case.LatestOutput = 4000ms;
  return Case;
}

/// One prompt in ten is up to twenty times as long as the mean.
std::uint32_t consultTokens(std::uint64_t Random) {
  constexpr std::uint32_t Mean = 3000;
  std::uint64_t Tenth = Random % 10;
  double Share = static_cast<double>(Random / 10 % 1000) / 1000;
  if (Tenth == 0)
    return static_cast<std::uint32_t>(Mean * (8 + 12 * Share));
  return static_cast<std::uint32_t>(Mean * (0.4 + 1.2 * Share));
}

/// One request per second and engine costs the engine a fifth of its time.
ReplayKind consults(double Rate) {
  ReplayKind Kind;
  Kind.Name = "consult";
  Kind.Route = testing::DispatchFixture::route(RepeatKind::Stream, 1);
  Kind.Route.LatencyTarget = 1000ms;
  Kind.Route.EventGapTarget = 300ms;
  Kind.Route.Timeout = 10s;
  Kind.Rate = Rate;
  Kind.Tokens = consultTokens;
  Kind.OutputTokens = 120;
  return Kind;
}

ReplayKind questions(double Rate) {
  ReplayKind Kind;
  Kind.Name = "question";
  Kind.Route = testing::DispatchFixture::route(RepeatKind::ResumableStream, 0);
  Kind.Route.LatencyTarget = 600ms;
  Kind.Route.EventGapTarget = 300ms;
  Kind.Route.Timeout = 5s;
  Kind.Deadline = 5s;
  Kind.Patience = 2400ms;
  Kind.Rate = Rate;
  Kind.Tokens = [](std::uint64_t Random) {
    return static_cast<std::uint32_t>(150 + Random % 400);
  };
  Kind.OutputTokens = 44;
  return Kind;
}

ReplayKind bookings(double Rate) {
  ReplayKind Kind;
  Kind.Name = "booking";
  Kind.Route = testing::DispatchFixture::route(RepeatKind::AtMostOnce, 2);
  Kind.Route.LatencyTarget = 500ms;
  Kind.Route.EventGapTarget = 0ms;
  Kind.Route.Timeout = 5s;
  Kind.Deadline = 5s;
  Kind.Rate = Rate;
  return Kind;
}

using Filter = std::function<bool(const ReplayedRequest &)>;

bool isLongest(const ReplayedRequest &R) {
  return R.Kind == "consult" && R.Tokens >= 24000;
}
Filter ofKind(const std::string &Kind) {
  return [Kind](const ReplayedRequest &R) { return R.Kind == Kind; };
}

double share(const std::vector<ReplayedRequest> &All, const Filter &Of,
             const Filter &Which) {
  double Sum = 0;
  double Hits = 0;
  for (const ReplayedRequest &R : All) {
    if (!Of(R))
      continue;
    Sum += 1;
    Hits += Which(R) ? 1 : 0;
  }
  return Sum > 0 ? Hits / Sum : 0;
}

bool served(const ReplayedRequest &R) { return R.Served.has_value(); }
bool refusedOnce(const ReplayedRequest &R) { return R.Refusals > 0; }

/// Four engines of this many slots; their mean load is 0.6 of their time.
std::vector<ReplayedRequest> replayEngines(unsigned Slots, double Load,
                                           Duration Span, unsigned Seed) {
  LoadReplay Replay({50, {}, 4, Slots}, Seed);
  std::vector<ReplayKind> Kinds = {consults(12), questions(60)};
  // The speed of the engines is learned from the first requests.
  Replay.run(Kinds, 0.5, 10s);
  std::size_t Warmed = Replay.requests().size();
  Replay.run(Kinds, Load, Span);
  Replay.run(Kinds, 0.5, 10s);
  Replay.settle();
  auto All = Replay.requests();
  return {All.begin() + static_cast<std::ptrdiff_t>(Warmed), All.end()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionTests)

BOOST_AUTO_TEST_CASE(lateRequestIsAdmittedWhenASlotIsFree) {
  AdmissionCase Case = waitingCase();
  Case.MustWait = false;
  Case.TimeToFirstOutput = 3000ms;
  BOOST_TEST(admit(Case).Admitted);
  Case.TimeToFirstOutput = 4100ms;
  BOOST_TEST(!admit(Case).Admitted);
}

BOOST_AUTO_TEST_CASE(requestThatCanBeOnTimeIsQueuedOnTime) {
  AdmissionCase Case = waitingCase();
  Case.OnTimeWait = 700ms;
  Case.LateWait = 9s;
  Admission A = admit(Case);
  BOOST_TEST(A.Admitted);
  BOOST_TEST((A.Lane == QueueLane::OnTime));
  BOOST_TEST((A.Expected == 900ms));
}

BOOST_AUTO_TEST_CASE(requestThatCannotBeOnTimeIsQueuedLate) {
  AdmissionCase Case = waitingCase();
  Case.OnTimeWait = 900ms;
  Case.LateWait = 3s;
  Admission A = admit(Case);
  BOOST_TEST(A.Admitted);
  BOOST_TEST((A.Lane == QueueLane::Late));
  BOOST_TEST((A.Expected == 3200ms));
}

// RetryAfter is the time after which the same prediction admits the request.
BOOST_AUTO_TEST_CASE(retryAfterIsWhenThePredictionAdmits) {
  AdmissionCase Case = waitingCase();
  Case.OnTimeWait = 900ms;
  Case.LateWait = 5s;
  Admission A = admit(Case);
  BOOST_TEST(!A.Admitted);
  Case.LateWait -= A.RetryAfter;
  BOOST_TEST(admit(Case).Admitted);
}

BOOST_AUTO_TEST_CASE(underservedLongPromptIsQueuedOnTime) {
  AdmissionCase Case = waitingCase();
  Case.TimeToFirstOutput = 1500ms;
  Case.OnTimeWait = 500ms;
  Case.LateWait = 9s;
  BOOST_TEST(!admit(Case).Admitted);
  Case.IsUnderservedLong = true;
  BOOST_TEST(admit(Case).Admitted);
  BOOST_TEST((admit(Case).Lane == QueueLane::OnTime));
}

BOOST_AUTO_TEST_CASE(longPromptsAreUnderservedUntilServedNearlyAsOften) {
  testing::VirtualTime Time(1);
  FairnessTracker Fairness(Time.runtime());
  const ServiceClass Long{Engines, 1, true};
  BOOST_TEST(!Fairness.isLongUnderserved(Long));
  for (int I = 0; I < 10; ++I) {
    Fairness.recordDecision({Engines, 1, false}, I < 8);
    Fairness.recordDecision(Long, false);
  }
  BOOST_TEST(Fairness.isLongUnderserved(Long));
  for (int I = 0; I < 20; ++I)
    Fairness.recordDecision(Long, true);
  BOOST_TEST(!Fairness.isLongUnderserved(Long));
}

BOOST_AUTO_TEST_CASE(ranksAreComparedWithMoreUrgentOnes) {
  testing::VirtualTime Time(1);
  FairnessTracker Fairness(Time.runtime());
  for (int I = 0; I < 10; ++I) {
    Fairness.recordDecision({Engines, 0, false}, true);
    Fairness.recordDecision({Engines, 1, false}, I < 4);
  }
  BOOST_TEST(Fairness.isRankUnderserved({Engines, 1, true}));
  BOOST_TEST(!Fairness.isRankUnderserved({Engines, 0, false}));
  Time.runFor(4 * FairnessTracker::Memory);
  for (int I = 0; I < 10; ++I) {
    Fairness.recordDecision({Engines, 0, false}, true);
    Fairness.recordDecision({Engines, 1, false}, I < 8);
  }
  BOOST_TEST(!Fairness.isRankUnderserved({Engines, 1, false}));
}

// Callers that repeat a refused request at once and often must not overtake
// requests that can be on time.
BOOST_AUTO_TEST_CASE(refusedCallersAreLateWhenTheyReturn) {
  testing::VirtualTime Time(1);
  RefusedCallerTracker Callers(Time.runtime());
  TimePoint First = Time.now();
  Callers.refused(7, First, 300ms);
  Time.runFor(300ms);
  BOOST_TEST(!Callers.takeFirstRequestTime(8));
  auto FirstRequest = Callers.takeFirstRequestTime(7);
  BOOST_REQUIRE(FirstRequest);
  BOOST_TEST((*FirstRequest == First));
  BOOST_TEST(!Callers.takeFirstRequestTime(7));
  Callers.refused(7, First, 300ms);
  Time.runFor(301ms + RefusedCallerTracker::Slack);
  BOOST_TEST(!Callers.takeFirstRequestTime(7));
  AdmissionCase Case = waitingCase();
  BOOST_TEST((admit(Case).Lane == QueueLane::OnTime));
  Case.SinceFirstRequest = 900ms;
  BOOST_TEST((admit(Case).Lane == QueueLane::Late));
}

// Arrivals that fill the endpoints leave no capacity for late requests.
BOOST_AUTO_TEST_CASE(lateWaitGrowsWithTheDemand) {
  testing::VirtualTime Time(1);
  QueueWaitEstimator QueueWaits(Time.runtime());
  QueuedServiceTime Ahead{400ms, 400ms};
  Duration Calm = QueueWaits.lateWait(Engines, Ahead, 4);
  BOOST_TEST((Calm == 200ms));
  for (int I = 0; I < 1000; ++I) {
    QueueWaits.recordArrival(Engines, 20ms);
    Time.runFor(10ms);
  }
  BOOST_TEST(std::abs(QueueWaits.demand(Engines, 4) - 0.5) < 0.05);
  BOOST_TEST((QueueWaits.lateWait(Engines, Ahead, 4) > 3 * Calm / 2));
  BOOST_TEST((QueueWaits.onTimeWait(Engines, Ahead, 4) == 100ms));
}

// Low load with prompts that no engine can prefill within the latency target.
BOOST_AUTO_TEST_CASE(lightlyLoadedFleetServesPromptsOfAnyLength) {
  for (unsigned Slots : {12U, 64U}) {
    auto All = replayEngines(Slots, 0.5, 20s, 3);
    BOOST_TEST(share(All, isLongest, served) > 0.97);
    BOOST_TEST(share(All, ofKind("consult"), refusedOnce) < 0.02);
    BOOST_TEST(share(All, ofKind("question"), served) > 0.99);
  }
}

// The daily peak at 2.3 times the mean, for longer than any caller waits.
BOOST_AUTO_TEST_CASE(peakStarvesNoLengthAndRefusesEarly) {
  for (unsigned Slots : {12U, 64U}) {
    auto All = replayEngines(Slots, 2.3, 30s, 4);
    double Consults = share(All, ofKind("consult"), served);
    double Longest = share(All, isLongest, served);
    double Questions = share(All, ofKind("question"), served);
    BOOST_TEST(Longest > Consults / 2);
    BOOST_TEST(Consults > Questions / 2);
    BOOST_TEST(Questions > Consults);
    // Refusals come before three quarters of the caller's patience has passed.
    auto RefusedLate = [](const ReplayedRequest &R) {
      return !R.Served && R.LongestQueueTime > 3s;
    };
    BOOST_TEST(share(All, ofKind("consult"), RefusedLate) < 0.03);
    BOOST_TEST_MESSAGE(
        "slots " << Slots << ": consults served " << Consults << ", longest "
                 << Longest << ", questions " << Questions
                 << ", consults on time "
                 << share(All, ofKind("consult"), &ReplayedRequest::onTime));
  }
}

// Many callers at once, then low load: the backlog is served, if late.
BOOST_AUTO_TEST_CASE(burstBacklogIsServed) {
  auto All = replayEngines(64, 4, 2s, 5);
  BOOST_TEST(share(All, ofKind("consult"), served) > 0.95);
}

// A service of three small endpoints at its limit.
BOOST_AUTO_TEST_CASE(plainServiceAtItsLimitServesUpToCapacity) {
  LoadReplay Replay({0, 60ms, 3, 6}, 6);
  // 300 a second is all that eighteen slots serve.
  Replay.run({bookings(100)}, 2, 5s);
  Replay.run({bookings(100)}, 4, 10s);
  Replay.run({bookings(100)}, 1, 5s);
  Replay.settle();
  auto All = Replay.requests();
  double Served = share(All, ofKind("booking"), served);
  double OnTime = share(All, ofKind("booking"), &ReplayedRequest::onTime);
  // Of 5,500 requests, 1,000 come before the peak, 3,000 find a slot during it
  // and 500 come after it.
  constexpr double Most = 4500.0 / 5500;
  BOOST_TEST(Served > 0.97 * Most);
  BOOST_TEST(OnTime > 0.8 * Most);
  BOOST_TEST_MESSAGE("bookings served " << Served << ", on time " << OnTime);
}

BOOST_AUTO_TEST_SUITE_END()
