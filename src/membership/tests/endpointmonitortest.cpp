#include "membership/endpointmonitor.h"

#include <string>

#include <boost/test/unit_test.hpp>

#include "support/virtualtime.h"

using namespace celerybeam;
using namespace celerybeam::testing;
using namespace std::chrono_literals;

namespace {

/// A pool of engines whose requests stream tokens at given intervals.
class MonitorFixture {
public:
  explicit MonitorFixture(int Engines, double EjectionCap = 0.3)
      : Time(1), Board(self()),
        Monitor(Board, Time.runtime(), loadPageHooks()) {
    auto T = std::make_shared<Tables>();
    T->Number = 1;
    PoolRow Pool;
    Pool.Name = PoolName("cedar");
    Pool.Label = "cedar";
    Pool.EjectionCap = EjectionCap;
    T->Pools = {Pool};
    Board.adoptTables(T);
    for (int I = 0; I < Engines; ++I) {
      EndpointDescriptor D;
      D.Id = engine(I);
      D.Region = RegionId("r");
      D.Label = "cedar";
      Board.upsertEndpoint(D, EndpointState::Live);
    }
    scheduleTicks();
  }

  static HostIdentity self() {
    HostIdentity Self;
    Self.Id = HostId("k1");
    Self.Region = RegionId("r");
    return Self;
  }

  /// Hooks whose load pages respond after 1 ms while LoadPagesRespond is set.
  EndpointHooks loadPageHooks() {
    EndpointHooks Hooks;
    Hooks.FetchLoad =
        [this](const EndpointId &, const Address &,
               const std::function<void(Result<LoadPage>)> &Done) {
          ++Polls;
          if (!LoadPagesRespond)
            return;
          Time.after(1ms, [this, Done] {
            LoadPage Answer;
            Answer.Report.MeasuredAt = Time.now();
            Answer.Report.CacheUse = 0.5;
            Answer.Loaded = {ModelName("cedar-7b@3")};
            Done(Answer);
          });
        };
    return Hooks;
  }

  static EndpointId engine(int I) {
    return EndpointId("m" + std::to_string(I));
  }

  EndpointRecord record(int I) const {
    return *Board.endpoints().find(engine(I));
  }

  /// Runs a request that streams the given number of tokens.
  void run(int Engine, int Tokens, Duration FirstToken, Duration Gap) {
    AttemptId Id{RequestId("q" + std::to_string(++Requests)), 1};
    Monitor.dispatched(engine(Engine), Id, RequestClass::Short);
    Time.after(FirstToken, [=, this] {
      Monitor.firstToken(engine(Engine), Id);
      token(Engine, Id, Tokens - 1, Gap);
    });
  }

  void fail(int Engine, ErrorKind Kind) {
    AttemptId Id{RequestId("q" + std::to_string(++Requests)), 1};
    Monitor.dispatched(engine(Engine), Id, RequestClass::Short);
    Monitor.ended(engine(Engine), Id, makeError(Kind, "told to fail"));
  }

  VirtualTime Time;
  Blackboard Board;
  int Requests = 0;
  int Polls = 0;
  bool LoadPagesRespond = true;
  EndpointMonitor Monitor;

private:
  void scheduleTicks() {
    Time.after(EndpointMonitor::TickInterval, [this] {
      Monitor.tick();
      scheduleTicks();
    });
  }

  void token(int Engine, const AttemptId &Id, int Left, Duration Gap) {
    if (Left == 0) {
      Monitor.ended(engine(Engine), Id, {});
      return;
    }
    Time.after(Gap, [=, this] {
      Monitor.progressed(engine(Engine), Id);
      token(Engine, Id, Left - 1, Gap);
    });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointMonitorTests)

BOOST_AUTO_TEST_CASE(slowedEngineIsPutOnProbationWithinASecond) {
  MonitorFixture F(6);
  for (int I = 0; I < 6; ++I)
    F.run(I, 20, 100ms, 20ms);
  F.Time.runFor(2s);
  for (int I = 0; I < 6; ++I)
    F.run(I, 20, I == 4 ? 500ms : 100ms, I == 4 ? 100ms : 20ms);
  F.Time.runFor(1s);
  for (int I = 0; I < 6; ++I)
    BOOST_TEST((F.record(I).Probation == ProbationState::Ejected) == (I == 4));
}

BOOST_AUTO_TEST_CASE(stalledEngineIsPutOnProbationBeforeItsReport) {
  MonitorFixture F(6);
  for (int I = 0; I < 6; ++I)
    F.run(I, 100, 100ms, 20ms);
  F.Time.runFor(1s);
  AttemptId Stalled{RequestId("stalled"), 1};
  F.Time.runFor(2s);
  F.Monitor.dispatched(F.engine(2), Stalled, RequestClass::Short);
  F.Monitor.firstToken(F.engine(2), Stalled);
  F.Time.runFor(400ms);
  BOOST_TEST((F.record(2).Probation == ProbationState::Ejected));
}

BOOST_AUTO_TEST_CASE(onlyAShareOfThePoolIsEjected) {
  MonitorFixture F(10, 0.3);
  for (int I = 0; I < 10; ++I)
    for (int Times = 0; Times < 3 && I < 6; ++Times)
      F.fail(I, ErrorKind::EndpointFailed);
  F.Time.runFor(100ms);
  int Ejected = 0;
  for (int I = 0; I < 10; ++I)
    Ejected += F.record(I).Probation == ProbationState::Ejected ? 1 : 0;
  BOOST_TEST(Ejected == 3);
}

BOOST_AUTO_TEST_CASE(ejectedEngineReturnsGradually) {
  MonitorFixture F(4);
  for (int Times = 0; Times < 3; ++Times)
    F.fail(1, ErrorKind::ConnectFailed);
  F.Time.runFor(100ms);
  BOOST_TEST((F.record(1).Probation == ProbationState::Ejected));
  F.Time.runFor(3500ms);
  BOOST_TEST((F.record(1).Probation == ProbationState::Returning));
  double Before = F.record(1).ReturnShare;
  BOOST_TEST(Before < 0.2);
  for (int I = 0; I < 10; ++I)
    F.run(1, 3, 50ms, 10ms);
  F.Time.runFor(200ms);
  BOOST_TEST((F.record(1).Probation == ProbationState::Clear));
}

BOOST_AUTO_TEST_CASE(relapseStaysOutLonger) {
  MonitorFixture F(4);
  for (int Round = 0; Round < 2; ++Round) {
    for (int Times = 0; Times < 3; ++Times)
      F.fail(1, ErrorKind::ConnectFailed);
    F.Time.runFor(3500ms);
  }
  BOOST_TEST((F.record(1).Probation == ProbationState::Ejected));
  F.Time.runFor(3s);
  BOOST_TEST((F.record(1).Probation == ProbationState::Returning));
}

BOOST_AUTO_TEST_CASE(cancelledAttemptsCountNeitherWay) {
  MonitorFixture F(4);
  for (int Times = 0; Times < 10; ++Times)
    F.fail(1, ErrorKind::Cancelled);
  BOOST_TEST(F.record(1).Observed.ConsecutiveFailures == 0U);
  BOOST_TEST(F.record(1).Observed.ShortInFlight == 0U);
}

BOOST_AUTO_TEST_CASE(leavingResponseMarksTheEndpoint) {
  MonitorFixture F(2);
  F.fail(0, ErrorKind::EndpointLeaving);
  BOOST_TEST((F.record(0).State == EndpointState::Leaving));
  F.Monitor.responseHead(F.engine(1), {503, {{"x-endpoint-leaving", "1"}}});
  BOOST_TEST((F.record(1).State == EndpointState::Leaving));
}

BOOST_AUTO_TEST_CASE(numberOfPollsDoesNotGrowWithEndpoints) {
  for (int Engines : {4, 224}) {
    MonitorFixture F(Engines);
    F.Time.runFor(60s);
    BOOST_TEST_MESSAGE(Engines << " endpoints: " << F.Polls
                               << " load pages asked for in 60 s");
    BOOST_TEST(F.Polls <= 60 * 4);
    int Known = 0;
    for (int I = 0; I < Engines; ++I)
      Known += F.record(I).Loaded.empty() ? 0 : 1;
    BOOST_TEST(Known == Engines);
  }
}

// Routing and the slots borrowed from other hosts depend on load reports. With
// few endpoints no report may become two seconds old.
BOOST_AUTO_TEST_CASE(reportsOfAFewEndpointsStayFresh) {
  MonitorFixture F(6);
  F.Time.runFor(3s);
  for (int Step = 0; Step < 100; ++Step) {
    F.Time.runFor(50ms);
    for (int I = 0; I < 6; ++I)
      BOOST_TEST((F.Time.now() - F.record(I).Report.MeasuredAt < 2s));
  }
}

BOOST_AUTO_TEST_CASE(headersKeepTheUseOfTheCache) {
  MonitorFixture F(1);
  F.Time.runFor(1s);
  F.Monitor.responseHead(
      F.engine(0), {200, {{"x-load-running", "3"}, {"x-load-waiting", "1"}}});
  BOOST_TEST(F.record(0).Report.Waiting == 1U);
  BOOST_TEST(F.record(0).Report.CacheUse == 0.5);
}

BOOST_AUTO_TEST_CASE(laggedReportIsCorrectedByOwnDispatches) {
  MonitorFixture F(1);
  // Only headers report the load, since a polled page would be newer.
  F.LoadPagesRespond = false;
  F.run(0, 50, 100ms, 100ms);
  F.Time.runFor(1s);
  F.run(0, 50, 100ms, 100ms);
  F.run(0, 50, 100ms, 100ms);
  F.Time.runFor(200ms);
  F.Monitor.responseHead(F.engine(0), {200,
                                       {{"x-load-running", "1"},
                                        {"x-load-waiting", "0"},
                                        {"x-load-lag-ms", "500"}}});
  BOOST_TEST(F.record(0).Report.Running == 1U);
  BOOST_TEST(F.record(0).Observed.SentSinceReport == 2U);
  F.Monitor.responseHead(F.engine(0), {200,
                                       {{"x-load-running", "7"},
                                        {"x-load-waiting", "0"},
                                        {"x-load-lag-ms", "900"}}});
  BOOST_TEST(F.record(0).Report.Running == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
