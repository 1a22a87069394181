#include <boost/test/unit_test.hpp>

#include <map>

#include "admission/internal/limitkey.h"
#include "admission/internal/peerlimits.h"
#include "support/fakenetwork.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using namespace celerybeam::detail;
using celerybeam::testing::FakeNetwork;
using celerybeam::testing::MessageFault;
using celerybeam::testing::VirtualHost;
using celerybeam::testing::VirtualTime;

namespace {

const LimitKey Key{RouteName("quotes"), CustomerId("acme")};

/// Simulates entry hosts of one region that share the limits of one customer.
class Region {
public:
  Region(unsigned HostCount, RouteLimits Limits, std::uint64_t Seed = 1)
      : Time(Seed) {
    for (unsigned I = 0; I < HostCount; ++I)
      addHost("h" + std::to_string(I), Limits);
    for (auto &[Id, Host] : Hosts)
      for (auto &[Other, Ignored] : Hosts)
        setState(Id, Other, PeerState::Alive);
    // An allocator that starts waits until shares of an earlier one expired.
    run(LimitSettings().ShareLifetime + 200ms);
  }

  struct Host {
    std::unique_ptr<Blackboard> Board;
    std::unique_ptr<LimitShares> Shares;
    std::unique_ptr<VirtualHost> Process;
    double UsedRequests = 0;
  };

  LimitShares &at(unsigned I) { return *host(I).Shares; }
  Host &host(unsigned I) { return Hosts.at(HostId("h" + std::to_string(I))); }

  void setState(const HostId &At, const HostId &Of, PeerState State) {
    if (At == Of)
      return;
    PeerRecord Peer;
    Peer.Id = Of;
    Peer.Region = RegionId("huye");
    Peer.State = State;
    Hosts.at(At).Board->peers().set(Of, Peer);
  }

  /// Advances time by Span and records, every 10 ms, the largest sum of shares
  /// held.
  void run(Duration Span) {
    for (Duration Past{}; Past < Span; Past += 10ms) {
      Time.runFor(10ms);
      double Sum = 0;
      for (auto &[Id, H] : Hosts)
        Sum += H.Process->running() ? H.Shares->held(Key.str()) : 0;
      Largest = std::max(Largest, Sum);
    }
  }

  LimitDecision take(unsigned I) {
    LimitUse Use{Key.str(), limitValues(*host(I).Board->tables(), Key), 100};
    return at(I).take(Use, true, 100ms).Decision;
  }

  void release(unsigned I) {
    at(I).release({Key.str(), limitValues(*host(I).Board->tables(), Key), 100},
                  100);
  }

  /// Sends one request per host every 10 ms for Span; returns how many passed
  /// the limit. With Hold they never end.
  unsigned flood(Duration Span, bool Hold = false) {
    unsigned Taken = 0;
    for (Duration Past{}; Past < Span; Past += 10ms) {
      for (unsigned I = 0; I < Hosts.size(); ++I) {
        if (!host(I).Process->running() || take(I) != LimitDecision::Taken)
          continue;
        ++Taken;
        if (!Hold)
          release(I);
      }
      run(10ms);
    }
    return Taken;
  }

  HostId allocator() {
    return LimitAllocator(
               Time.runtime(),
               peerLimitHooks(*host(0).Board, Network.hooks(*host(0).Process)),
               {})
        .allocatorOf(Key.str());
  }

  VirtualTime Time;
  FakeNetwork Network{Time};
  std::map<HostId, Host> Hosts;
  double Largest = 0;

private:
  void addHost(const std::string &Name, const RouteLimits &Limits) {
    HostIdentity Self;
    Self.Id = HostId(Name);
    Self.Region = RegionId("huye");
    Host H;
    H.Board = std::make_unique<Blackboard>(Self);
    auto T = std::make_shared<Tables>();
    T->Number = 1;
    T->Routes.emplace_back();
    T->Routes[0].Name = Key.Route;
    T->Routes[0].Limits = Limits;
    H.Board->adoptTables(T);
    H.Process = std::make_unique<VirtualHost>(Time, Self.Id);
    H.Shares = std::make_unique<LimitShares>(
        H.Process->runtime(),
        peerLimitHooks(*H.Board, Network.hooks(*H.Process)));
    LimitShares *Shares = H.Shares.get();
    H.Process->every(100ms, [Shares] { Shares->tick(); });
    Network.join(*H.Process, 1, [Shares](const messages::Envelope &Message) {
      Shares->handle(HostId(Message.from()),
                     readShareNote(Message.share_transfer()));
    });
    Hosts.emplace(Self.Id, std::move(H));
  }
};

RouteLimits rate(double PerSecond) {
  RouteLimits L;
  L.CustomerRequestsPerSecond = PerSecond;
  return L;
}

RouteLimits concurrency(std::uint32_t Count) {
  RouteLimits L;
  L.CustomerConcurrency = Count;
  return L;
}

constexpr double Whole = 1 + 1e-6;

} // namespace

BOOST_AUTO_TEST_SUITE(LimitSharesTests)

BOOST_AUTO_TEST_CASE(oneHostGetsTheWholeRate) {
  Region R(5, rate(20));
  unsigned Taken = 0;
  for (int I = 0; I < 400; ++I) {
    if (R.take(2) == LimitDecision::Taken) {
      ++Taken;
      R.release(2);
    }
    R.run(10ms);
  }
  // 4 s at 20 requests per second, plus one second of unused capacity.
  BOOST_TEST(Taken >= 72U);
  BOOST_TEST(Taken <= 101U);
  BOOST_TEST(R.Largest <= Whole);
}

BOOST_AUTO_TEST_CASE(floodAtEveryHostGetsTheLimitOnce) {
  Region R(13, rate(26));
  unsigned Taken = R.flood(8s);
  BOOST_TEST(Taken >= 26U * 7);
  BOOST_TEST(Taken <= 26U * 9 + 1);
  BOOST_TEST(R.Largest <= Whole);
}

BOOST_AUTO_TEST_CASE(sharesFollowDemand) {
  Region R(4, rate(20));
  R.flood(4s);
  unsigned Late = 0;
  for (int I = 0; I < 600; ++I) {
    bool Taken = R.take(3) == LimitDecision::Taken;
    if (Taken)
      R.release(3);
    Late += Taken && I >= 300 ? 1 : 0;
    R.run(10ms);
  }
  BOOST_TEST(Late >= 54U);
  BOOST_TEST(R.Largest <= Whole);
}

BOOST_AUTO_TEST_CASE(concurrencyIsCountedOverTheRegion) {
  Region R(6, concurrency(4));
  BOOST_TEST(R.flood(6s, true) == 4U);
  BOOST_TEST(R.Largest <= Whole);
}

BOOST_AUTO_TEST_CASE(sharesNeverExceedTheLimitWithFaultyTransfers) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Region R(5, rate(20), Seed);
    R.Network.PickFault = [&R](const messages::Envelope &) {
      switch (R.Time.random() % 6) {
      case 0:
        return MessageFault::Lose;
      case 1:
        return MessageFault::Duplicate;
      case 2:
        return MessageFault::Delay;
      default:
        return MessageFault::None;
      }
    };
    unsigned Taken = R.flood(6s);
    BOOST_TEST(R.Largest <= Whole, "seed " << Seed << " held " << R.Largest);
    BOOST_TEST(Taken <= 20U * 7 + 1);
    BOOST_TEST(Taken >= 20U * 3);
  }
}

BOOST_AUTO_TEST_CASE(newAllocatorWaitsForSharesOfADeadOne) {
  Region R(5, rate(20));
  R.flood(3s);
  HostId FormerAllocator = R.allocator();
  R.Hosts.at(FormerAllocator).Process->crash();
  for (auto &[Id, H] : R.Hosts)
    if (Id != FormerAllocator)
      R.setState(Id, FormerAllocator, PeerState::Dead);
  R.flood(6s);
  BOOST_TEST(R.Largest <= Whole);
  R.Largest = 0;
  BOOST_TEST(R.flood(4s) >= 20U * 3);
  BOOST_TEST(R.Largest <= Whole);
}

BOOST_AUTO_TEST_CASE(pausedHolderResumesWithoutAShare) {
  Region R(3, rate(20));
  R.flood(3s);
  unsigned Paused = R.allocator() == HostId("h0") ? 1 : 0;
  R.host(Paused).Process->pause();
  R.flood(4s);
  R.host(Paused).Process->resume();
  BOOST_TEST(R.at(Paused).held(Key.str()) == 0.);
  R.flood(4s);
  BOOST_TEST(R.Largest <= Whole);
}

BOOST_AUTO_TEST_CASE(idleLimitsAreRemoved) {
  Region R(2, rate(20));
  R.flood(1s);
  R.run(10s);
  for (unsigned I = 0; I < 2; ++I)
    BOOST_TEST(R.at(I).limits() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
