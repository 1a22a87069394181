#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>

#include "dispatch/tests/dispatchfixture.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

const PoolName Plain("plain");
constexpr Duration OneWay = 55ms;
constexpr Duration Service = 60ms;
constexpr Duration UpdateInterval = 500ms;

/// A region with one endpoint of a plain service. It serves requests in order,
/// and sends a summary of its load every half second.
class RemoteRegion {
public:
  RemoteRegion(testing::DispatchFixture &Home, const std::string &Name,
               unsigned Slots)
      : Home_(Home), Region_(Name), FreeAt_(Slots) {
    sendSummary();
  }

  /// \return when the request that is sent now is answered at the sender.
  TimePoint serve() {
    auto Soonest = std::min_element(FreeAt_.begin(), FreeAt_.end());
    TimePoint Begin = std::max(*Soonest, Home_.Time.now() + OneWay);
    *Soonest = Begin + Service;
    return *Soonest + OneWay;
  }

  const RegionId &name() const { return Region_; }

private:
  void sendSummary() {
    TimePoint Now = Home_.Time.now();
    auto Free = static_cast<std::uint32_t>(
        std::count_if(FreeAt_.begin(), FreeAt_.end(),
                      [Now](TimePoint At) { return At <= Now; }));
    Duration Wait =
        std::max(Duration::zero(),
                 *std::min_element(FreeAt_.begin(), FreeAt_.end()) - Now);
    PoolLoadSummary Summary{poolHash(Plain), Wait, 1,
                            static_cast<std::uint32_t>(FreeAt_.size()), Free};
    Home_.Time.after(OneWay, [this, Summary] {
      HostState H;
      H.Id = HostId(Region_.str() + "-1");
      H.Ip = Region_.str();
      H.Region = Region_;
      H.Ready = true;
      Home_.Hosts.received(H);
      Home_.Decisions.regions().received(Region_, H.Id, Summary);
    });
    Home_.Time.after(UpdateInterval, [this] { sendSummary(); });
  }

  testing::DispatchFixture &Home_;
  RegionId Region_;
  std::vector<TimePoint> FreeAt_;
};

/// A region without an endpoint of the plain service beside two that have one.
struct RegionWithoutEndpoints : testing::DispatchFixture {
  static constexpr Duration Deadline = 1s;
  static constexpr Duration Span = 10s;

  /// Sends requests at this rate. All results are shares of them.
  void replay(unsigned Rate) {
    FleetRoute Bookings = route(RepeatKind::AtMostOnce, 0);
    Bookings.LatencyTarget = 300ms;
    Time.runFor(200ms);
    unsigned Count = Rate * static_cast<unsigned>(Span / 1s);
    for (unsigned I = 0; I < Count; ++I) {
      RequestDescriptor R = request(0);
      R.Deadline = Time.now() + Deadline;
      AttemptLog Log;
      DispatchDecision D = Decisions.choose(R, Bookings, Log);
      if (const auto *Remote = std::get_if<ForwardTo>(&D)) {
        Decisions.recordForward(R, *Remote, Log);
        RemoteRegion &To =
            Remote->Host.Region == Musanze.name() ? Musanze : Huye;
        Duration Took = To.serve() - Time.now();
        Served += Took <= Deadline ? 1 : 0;
        Late += Took > Deadline ? 1 : 0;
        OnTime += Took <= Bookings.LatencyTarget ? 1 : 0;
      }
      Time.runFor(Duration(1s) / Rate);
    }
    for (double *Share : {&Served, &Late, &OnTime})
      *Share /= Count;
  }

  RemoteRegion Musanze{*this, "musanze", 6};
  RemoteRegion Huye{*this, "huye", 6};
  double Served = 0;
  /// Sent, but answered after the caller has left.
  double Late = 0;
  double OnTime = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RegionLoadTrackerTests)

BOOST_AUTO_TEST_CASE(waitIsTheMeanOverTheSlots) {
  testing::VirtualTime Time(1);
  RegionLoadTracker Tracker(Time.runtime());
  const RegionId Region("huye");
  Tracker.received(Region, HostId("h1"), {poolHash(Plain), 100ms, 3, 3, 0});
  Tracker.received(Region, HostId("h2"), {poolHash(Plain), 500ms, 1, 1, 0});
  BOOST_TEST((*Tracker.wait(Region, Plain, 60ms) == 200ms));
  Tracker.recordForward(Region, Plain, 400ms);
  BOOST_TEST((*Tracker.wait(Region, Plain, 60ms) == 300ms));
  Time.runFor(RegionLoadTracker::MaxAge + 1ms);
  BOOST_TEST(!Tracker.wait(Region, Plain, 60ms).has_value());
}

BOOST_AUTO_TEST_CASE(freeSlotsTakeForwardedRequests) {
  testing::VirtualTime Time(1);
  RegionLoadTracker Tracker(Time.runtime());
  const RegionId Region("huye");
  Tracker.received(Region, HostId("h1"), {poolHash(Plain), 0ms, 1, 6, 6});
  for (int I = 0; I < 6; ++I)
    Tracker.recordForward(Region, Plain, 60ms);
  BOOST_TEST((*Tracker.wait(Region, Plain, 60ms) == 0ms));
  for (int I = 0; I < 100; ++I)
    Tracker.recordForward(Region, Plain, 60ms);
  BOOST_TEST((*Tracker.wait(Region, Plain, 60ms) > 500ms));
  Time.runFor(400ms);
  BOOST_TEST((*Tracker.wait(Region, Plain, 60ms) < 500ms));
}

// A summary is a round trip behind: it includes earlier sends only.
BOOST_AUTO_TEST_CASE(recentForwardsStayCountedAfterASummary) {
  testing::VirtualTime Time(1);
  RegionLoadTracker Tracker(Time.runtime());
  const RegionId Region("huye");
  const PoolLoadSummary Full{poolHash(Plain), 0ms, 1, 2, 0};
  Tracker.received(Region, HostId("h1"), Full);
  Tracker.recordForward(Region, Plain, 300ms);
  Time.runFor(RegionLoadTracker::UpdateLag);
  Tracker.recordForward(Region, Plain, 100ms);
  Time.runFor(1ms);
  Tracker.received(Region, HostId("h1"), Full);
  BOOST_TEST((*Tracker.wait(Region, Plain, 60ms) == 50ms));
}

// 110 requests a second; the other regions can serve 200.
BOOST_AUTO_TEST_CASE(regionWithoutEndpointsIsServedByTheOthers) {
  RegionWithoutEndpoints Replay;
  Replay.replay(110);
  BOOST_TEST(Replay.Served > 0.99);
  BOOST_TEST(Replay.OnTime > 0.9);
}

// 400 a second: requests that cannot be served are refused, and not forwarded
// to regions that would serve them too late.
BOOST_AUTO_TEST_CASE(otherRegionsAreNotOverloaded) {
  RegionWithoutEndpoints Replay;
  Replay.replay(400);
  BOOST_TEST(Replay.Served > 0.45);
  BOOST_TEST(Replay.Late < 0.05);
}

// The next placer of a region decides by it until other regions send to it.
BOOST_AUTO_TEST_CASE(relayedLoadCountsWhilePlacersSendNothing) {
  testing::VirtualTime Time{1};
  RegionLoadTracker First(Time.runtime());
  RegionLoadTracker Next(Time.runtime());
  const RegionId Oslo("oslo");
  First.received(Oslo, HostId("o0"), {poolHash(Plain), 30ms, 1, 1, 0, 10ms});
  First.received(Oslo, HostId("o1"), {poolHash(Plain), 90ms, 2, 3, 2, 50ms});
  Time.runFor(200ms);
  auto Loads = First.combined();
  BOOST_REQUIRE(Loads.size() == 1U);
  BOOST_TEST((Loads[0].Age == 200ms));
  BOOST_TEST(Next.receivedRelayed(Loads[0]));
  BOOST_TEST((Next.wait(Oslo, Plain, Service) == 75ms));
  BOOST_TEST(
      (Next.wait(Oslo, Plain, Service) == First.wait(Oslo, Plain, Service)));
  BOOST_TEST((Next.lateWait(Oslo, Plain) == 40ms));
  // It is not passed on once more, or it would never end.
  BOOST_TEST(Next.combined().empty());
  Next.received(Oslo, HostId("o0"), {poolHash(Plain), 5ms, 1, 1, 0});
  BOOST_TEST((Next.wait(Oslo, Plain, Service) == 5ms));
  Time.runFor(RegionLoadTracker::MaxAge);
  BOOST_TEST(!First.wait(Oslo, Plain, Service).has_value());
}

BOOST_AUTO_TEST_CASE(relayedLoadOfAnOddAgeIsIgnored) {
  testing::VirtualTime Time{1};
  RegionLoadTracker Tracker(Time.runtime());
  RegionPoolLoad Load{RegionId("oslo"), {poolHash(Plain), 30ms, 1, 1, 0}, -1ms};
  BOOST_TEST(!Tracker.receivedRelayed(Load));
  Load.Age = RegionLoadTracker::MaxAge + 1ms;
  BOOST_TEST(!Tracker.receivedRelayed(Load));
  BOOST_TEST(!Tracker.wait(Load.Region, Plain, Service).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
