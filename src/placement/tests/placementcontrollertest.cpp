#include "placement/placementcontroller.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/fakestore.h"

using namespace celerybeam;
using namespace celerybeam::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration LoadTime = 20s;

/// Two entry hosts and some engines that take a while to load a model.
class PlacementFixture {
public:
  explicit PlacementFixture(int Engines,
                            RunnerCheck Checks = RunnerCheck::Fencing)
      : Time(1), Store(Time), Engines_(Engines), Checks_(Checks) {
    for (const char *Name : {"k1", "k2"})
      Hosts[Name] = std::make_unique<Host>(*this, Name);
  }
  ~PlacementFixture() {
    for (const auto &[Name, H] : Hosts)
      H->Life.crash();
  }

  struct Host {
    Host(PlacementFixture &F, const std::string &Name)
        : Life(F.Time, HostId(Name)), Board(identity(Name)),
          Controller(Board, Life.runtime(), F.Store.hooks(Life),
                     [&F](const EndpointId &Id, const Address &,
                          const EngineOrder &Order,
                          const Completion<void> &) { F.take(Id, Order); }) {
      F.describe(Board);
      PeerRecord Other;
      Other.Id = HostId(Name == "k1" ? "k2" : "k1");
      Other.Region = RegionId("r");
      Board.peers().set(Other.Id, Other);
      Life.every(PlacementController::TickInterval,
                 [this] { Controller.tick(); });
    }

    static HostIdentity identity(const std::string &Name) {
      HostIdentity Self;
      Self.Id = HostId(Name);
      Self.Region = RegionId("r");
      return Self;
    }

    VirtualHost Life;
    Blackboard Board;
    PlacementController Controller;
  };

  void markDead(const std::string &Seer, const std::string &Gone) {
    Hosts.at(Seer)->Board.peers().update(
        HostId(Gone), [](PeerRecord &R) { R.State = PeerState::Dead; });
  }

  VirtualTime Time;
  FakeStore Store;
  std::map<std::string, std::unique_ptr<Host>> Hosts;
  int Orders = 0;
  int Doubled = 0;
  int MostAtOnce = 0;
  int Stale = 0;

private:
  void describe(Blackboard &Board) const {
    auto T = std::make_shared<Tables>();
    T->Number = 1;
    PoolRow Pool;
    Pool.Name = PoolName("cedar");
    Pool.Label = "cedar";
    Pool.Model = ModelName("cedar-7b@3");
    Pool.Checks = Checks_;
    T->Pools = {Pool};
    Board.adoptTables(T);
    for (int I = 0; I < Engines_; ++I) {
      EndpointDescriptor D;
      D.Id = EndpointId("m" + std::to_string(I));
      D.Region = RegionId("r");
      D.Label = "cedar";
      Board.describeEndpoint(D, EndpointState::Live);
    }
  }

  void take(const EndpointId &Id, const EngineOrder &Order) {
    ++Orders;
    if (Order.Fencing < HighestFencing_)
      ++Stale;
    HighestFencing_ = std::max(HighestFencing_, Order.Fencing);
    if (++Loading_[Id] > 1)
      ++Doubled;
    ++Running_;
    MostAtOnce = std::max(MostAtOnce, Running_);
    Time.after(LoadTime, [this, Id, Order] {
      --Loading_[Id];
      --Running_;
      for (const auto &[Name, H] : Hosts)
        H->Board.endpoints().update(
            Id, [&](EndpointRecord &R) { R.Loaded = {Order.Model}; });
    });
  }

  int Engines_;
  RunnerCheck Checks_;
  std::uint64_t HighestFencing_ = 0;
  std::map<EndpointId, int> Loading_;
  int Running_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementControllerTests)

BOOST_AUTO_TEST_CASE(everyEngineLoadsOnceWithinTheShareOfTheWeightStore) {
  PlacementFixture F(5);
  F.Time.runFor(3min);
  BOOST_TEST(F.Orders == 5);
  BOOST_TEST(F.Doubled == 0);
  BOOST_TEST(F.MostAtOnce == int(PlacementController::MaxLoads));
  BOOST_TEST(F.Hosts["k1"]->Controller.holdsLease());
  BOOST_TEST(!F.Hosts["k2"]->Controller.holdsLease());
}

BOOST_AUTO_TEST_CASE(nextHolderRepeatsNothingThatIsUnderWay) {
  PlacementFixture F(5);
  F.Time.runFor(5s);
  BOOST_TEST(F.Orders == 2);
  F.Hosts["k1"]->Life.crash();
  F.markDead("k2", "k1");
  F.Time.runFor(6min);
  BOOST_TEST(F.Hosts["k2"]->Controller.holdsLease());
  BOOST_TEST(F.Orders == 5);
  BOOST_TEST(F.Doubled == 0);
  BOOST_TEST(F.MostAtOnce <= int(PlacementController::MaxLoads));
}

BOOST_AUTO_TEST_CASE(pausedHolderSendsNothingAfterItsLease) {
  PlacementFixture F(5, RunnerCheck::None);
  F.Time.runFor(16s);
  F.Hosts["k1"]->Life.pause();
  F.markDead("k2", "k1");
  F.Time.runFor(40s);
  BOOST_TEST(F.Hosts["k2"]->Controller.holdsLease());
  F.Hosts["k1"]->Life.resume();
  F.Time.runFor(5min);
  BOOST_TEST(F.Stale == 0);
  BOOST_TEST(F.Doubled == 0);
  BOOST_TEST(F.Orders == 5);
}

BOOST_AUTO_TEST_CASE(enginesThatIgnoreFencingWaitForTheOldLease) {
  PlacementFixture F(2, RunnerCheck::None);
  F.Time.runFor(11s);
  BOOST_TEST(F.Orders == 0);
  F.Time.runFor(5s);
  BOOST_TEST(F.Orders == 2);
}

BOOST_AUTO_TEST_CASE(lostRepliesOnEveryWriteDoubleNothing) {
  PlacementFixture F(4);
  F.Store.PickFault = [&] {
    return F.Time.random() % 4 == 0 ? StoreFault::LoseReply : StoreFault::None;
  };
  F.Time.runFor(30min);
  BOOST_TEST(F.Doubled == 0);
  BOOST_TEST(F.MostAtOnce <= int(PlacementController::MaxLoads));
  BOOST_TEST(F.Orders >= 4);
}

BOOST_AUTO_TEST_SUITE_END()
