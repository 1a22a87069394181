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

/// Two entry hosts and engines that need LoadTime to load a model. Counts the
/// orders that the engines receive.
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
      H->Instance.crash();
  }

  /// An entry host with its placement controller.
  struct Host {
    Host(PlacementFixture &F, const std::string &Name)
        : Instance(F.Time, HostId(Name)), Board(identity(Name)),
          Controller(Board, Instance.runtime(), F.Store.hooks(Instance),
                     [&F](const EndpointId &Id, const Address &,
                          const EngineOrder &Order, const Completion<void> &) {
                       F.receiveOrder(Id, Order);
                     }) {
      F.populate(Board);
      PeerRecord Other;
      Other.Id = HostId(Name == "k1" ? "k2" : "k1");
      Other.Region = RegionId("r");
      Board.peers().set(Other.Id, Other);
      Instance.every(PlacementController::TickInterval,
                     [this] { Controller.tick(); });
    }

    static HostIdentity identity(const std::string &Name) {
      HostIdentity Self;
      Self.Id = HostId(Name);
      Self.Region = RegionId("r");
      return Self;
    }

    VirtualHost Instance;
    Blackboard Board;
    PlacementController Controller;
  };

  void markDead(const std::string &Observer, const std::string &DeadHost) {
    Hosts.at(Observer)->Board.peers().update(
        HostId(DeadHost), [](PeerRecord &R) { R.State = PeerState::Dead; });
  }

  VirtualTime Time;
  FakeStore Store;
  std::map<std::string, std::unique_ptr<Host>> Hosts;
  int Orders = 0;
  int DuplicateLoads = 0;
  int MaxConcurrentLoads = 0;
  int StaleOrders = 0;

private:
  void populate(Blackboard &Board) const {
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
      Board.upsertEndpoint(D, EndpointState::Live);
    }
  }

  void receiveOrder(const EndpointId &Id, const EngineOrder &Order) {
    ++Orders;
    if (Order.Fencing < HighestFencing_)
      ++StaleOrders;
    HighestFencing_ = std::max(HighestFencing_, Order.Fencing);
    if (++LoadsByEngine_[Id] > 1)
      ++DuplicateLoads;
    ++RunningLoads_;
    MaxConcurrentLoads = std::max(MaxConcurrentLoads, RunningLoads_);
    Time.after(LoadTime, [this, Id, Order] {
      --LoadsByEngine_[Id];
      --RunningLoads_;
      for (const auto &[Name, H] : Hosts)
        H->Board.endpoints().update(
            Id, [&](EndpointRecord &R) { R.Loaded = {Order.Model}; });
    });
  }

  int Engines_;
  RunnerCheck Checks_;
  std::uint64_t HighestFencing_ = 0;
  std::map<EndpointId, int> LoadsByEngine_;
  int RunningLoads_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementControllerTests)

BOOST_AUTO_TEST_CASE(everyEngineLoadsOnceWithinTheConcurrentLoadLimit) {
  PlacementFixture F(5);
  F.Time.runFor(3min);
  BOOST_TEST(F.Orders == 5);
  BOOST_TEST(F.DuplicateLoads == 0);
  BOOST_TEST(F.MaxConcurrentLoads == int(PlacementController::MaxLoads));
  BOOST_TEST(F.Hosts["k1"]->Controller.holdsLease());
  BOOST_TEST(!F.Hosts["k2"]->Controller.holdsLease());
}

/// Guards against duplicate loads after the lease holder crashes: the next
/// holder must read from the record which orders are under way.
BOOST_AUTO_TEST_CASE(nextLeaseHolderDoesNotRepeatLoadsUnderWay) {
  PlacementFixture F(5);
  F.Time.runFor(5s);
  BOOST_TEST(F.Orders == 2);
  F.Hosts["k1"]->Instance.crash();
  F.markDead("k2", "k1");
  F.Time.runFor(6min);
  BOOST_TEST(F.Hosts["k2"]->Controller.holdsLease());
  BOOST_TEST(F.Orders == 5);
  BOOST_TEST(F.DuplicateLoads == 0);
  BOOST_TEST(F.MaxConcurrentLoads <= int(PlacementController::MaxLoads));
}

/// Guards against orders from a process that was paused until its lease
/// expired and resumes while another host holds the lease.
BOOST_AUTO_TEST_CASE(pausedHolderSendsNoOrderAfterItsLeaseExpired) {
  PlacementFixture F(5, RunnerCheck::None);
  F.Time.runFor(16s);
  F.Hosts["k1"]->Instance.pause();
  F.markDead("k2", "k1");
  F.Time.runFor(40s);
  BOOST_TEST(F.Hosts["k2"]->Controller.holdsLease());
  F.Hosts["k1"]->Instance.resume();
  F.Time.runFor(5min);
  BOOST_TEST(F.StaleOrders == 0);
  BOOST_TEST(F.DuplicateLoads == 0);
  BOOST_TEST(F.Orders == 5);
}

/// Engines that do not check the fencing number could take orders from two
/// lease holders; a new holder must wait for the old lease to expire.
BOOST_AUTO_TEST_CASE(enginesWithoutFencingGetOrdersOnlyAfterOldLeaseExpires) {
  PlacementFixture F(2, RunnerCheck::None);
  F.Time.runFor(11s);
  BOOST_TEST(F.Orders == 0);
  F.Time.runFor(5s);
  BOOST_TEST(F.Orders == 2);
}

/// Guards against duplicate loads when a write succeeds but its reply is
/// lost.
BOOST_AUTO_TEST_CASE(lostWriteRepliesCauseNoDuplicateLoads) {
  PlacementFixture F(4);
  F.Store.PickFault = [&] {
    return F.Time.random() % 4 == 0 ? StoreFault::LoseReply : StoreFault::None;
  };
  F.Time.runFor(30min);
  BOOST_TEST(F.DuplicateLoads == 0);
  BOOST_TEST(F.MaxConcurrentLoads <= int(PlacementController::MaxLoads));
  BOOST_TEST(F.Orders >= 4);
}

BOOST_AUTO_TEST_SUITE_END()
