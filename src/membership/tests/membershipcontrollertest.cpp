#include "membership/membershipcontroller.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include <boost/test/unit_test.hpp>

#include "support/fakenetwork.h"

using namespace celerybeam;
using namespace celerybeam::testing;
using namespace std::chrono_literals;

namespace {

/// One incarnation of an entry host, which ends with a crash.
struct Member {
  Member(VirtualTime &Time, FakeNetwork &Network, const HostIdentity &Self)
      : Host(Time, Self.Id), Board(Self),
        Controller(Board, Host.runtime(), Network.hooks(Host), nullptr) {
    Network.join(Host, Self.Number,
                 [this](const messages::Envelope &M) { Controller.handle(M); });
    Host.every(MembershipController::TickInterval,
               [this] { Controller.tick(); });
  }
  ~Member() { Host.crash(); }

  std::optional<PeerState> sees(const HostId &Other) const {
    std::optional<PeerRecord> R = Board.peers().find(Other);
    return R ? std::optional(R->State) : std::nullopt;
  }

  VirtualHost Host;
  Blackboard Board;
  MembershipController Controller;
};

/// Entry hosts on one virtual clock and a simulated network.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Time(Seed), Network(Time) {}

  static HostIdentity identity(const std::string &Name,
                               const std::string &Region,
                               const std::string &Zone, Incarnation Number) {
    return {HostId(Name),  RegionId(Region),        ZoneId(Zone),
            Address(Name), Address(Name + "-peer"), Number};
  }

  Member &start(const std::string &Name, const std::string &Region,
                const std::string &Zone, Incarnation Number = 1) {
    HostIdentity Self = identity(Name, Region, Zone, Number);
    auto &Slot = Members[Self.Id];
    Slot.reset();
    Slot = std::make_unique<Member>(Time, Network, Self);
    return *Slot;
  }

  void startZone(const std::string &Region, const std::string &Zone,
                 int Count) {
    for (int I = 0; I < Count; ++I)
      start(Zone + "-" + std::to_string(I), Region, Zone);
  }

  /// Gives every host a platform list of all running hosts.
  void list() {
    PlatformList List;
    for (const auto &[Id, M] : Members) {
      const HostIdentity &S = M->Board.self();
      List.EntryHosts.push_back(
          {S.Id, S.CallerAddress, S.PeerAddress, S.Region, S.Zone, false});
    }
    List.Endpoints = Endpoints;
    for (const auto &[Id, M] : Members)
      M->Controller.platformListed(List);
  }

  void stop(const std::string &Name) {
    Network.leave(HostId(Name));
    Members.erase(HostId(Name));
  }

  Member &operator[](const std::string &Name) {
    return *Members.at(HostId(Name));
  }

  bool allSee(const std::string &Name, PeerState State) const {
    return std::all_of(Members.begin(), Members.end(), [&](const auto &E) {
      return E.first == HostId(Name) || E.second->sees(HostId(Name)) == State;
    });
  }

  int countSeeing(PeerState State) const {
    int Count = 0;
    for (const auto &[Id, M] : Members)
      M->Board.peers().forEach([&](const HostId &, const PeerRecord &R) {
        Count += R.State == State ? 1 : 0;
      });
    return Count;
  }

  VirtualTime Time;
  FakeNetwork Network;
  std::vector<ListedEndpoint> Endpoints;
  std::map<HostId, std::unique_ptr<Member>> Members;
};

ListedEndpoint endpoint(const std::string &Name, const std::string &Region) {
  ListedEndpoint E;
  E.Descriptor.Id = EndpointId(Name);
  E.Descriptor.Where = Address("127.0.0.1:1");
  E.Descriptor.Region = RegionId(Region);
  E.Descriptor.Label = "cedar";
  E.Descriptor.Slots = 4;
  return E;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipControllerTests)

BOOST_AUTO_TEST_CASE(crashedHostIsFoundByTheWholeZone) {
  Fleet F(1);
  F.startZone("r", "z", 40);
  F.list();
  F.Time.runFor(10s);
  BOOST_TEST(F.countSeeing(PeerState::Alive) == 40 * 39);
  F.stop("z-7");
  TimePoint Start = F.Time.now();
  BOOST_TEST(
      F.Time.runUntil([&] { return F.allSee("z-7", PeerState::Dead); }, 15s));
  BOOST_TEST_MESSAGE("dead everywhere after "
                     << (F.Time.now() - Start).count() / 1000 << " ms");
  BOOST_TEST(F.countSeeing(PeerState::Alive) == 39 * 38);
}

BOOST_AUTO_TEST_CASE(messagesPerHostDoNotGrowWithTheZone) {
  for (int Size : {10, 40}) {
    Fleet F(2);
    F.startZone("r", "z", Size);
    F.list();
    F.Time.runFor(30s);
    HostId Sampled("z-3");
    auto Messages = F.Network.messagesSent(Sampled);
    auto Bytes = F.Network.bytesSent(Sampled);
    F.Time.runFor(100s);
    double MessagesASecond =
        double(F.Network.messagesSent(Sampled) - Messages) / 100;
    double BytesASecond = double(F.Network.bytesSent(Sampled) - Bytes) / 100;
    BOOST_TEST_MESSAGE(Size << " hosts: " << MessagesASecond
                            << " messages/s and " << BytesASecond
                            << " bytes/s sent by one host");
    BOOST_TEST(MessagesASecond < 4);
    BOOST_TEST(BytesASecond < 3000);
  }
}

BOOST_AUTO_TEST_CASE(lostMessagesMarkNoHostDead) {
  Fleet F(3);
  F.startZone("r", "z", 20);
  F.list();
  F.Network.PickFault = [&](const messages::Envelope &) {
    return F.Time.random() % 10 == 0 ? MessageFault::Lose : MessageFault::None;
  };
  for (int I = 0; I < 120; ++I) {
    F.Time.runFor(1s);
    BOOST_TEST(F.countSeeing(PeerState::Dead) == 0);
  }
}

BOOST_AUTO_TEST_CASE(pausedHostReturnsAndSuspectsNoOther) {
  Fleet F(4);
  F.startZone("r", "z", 12);
  F.list();
  F.Time.runFor(5s);
  F["z-4"].Host.pause();
  F.Time.runFor(40s);
  BOOST_TEST(F.allSee("z-4", PeerState::Dead));
  F["z-4"].Host.resume();
  BOOST_TEST(
      F.Time.runUntil([&] { return F.allSee("z-4", PeerState::Alive); }, 15s));
  F.Time.runFor(10s);
  BOOST_TEST(F.countSeeing(PeerState::Alive) == 12 * 11);
}

BOOST_AUTO_TEST_CASE(leavingHostIsUnusedEverywhereWithinThreeSeconds) {
  Fleet F(5);
  F.startZone("r", "a", 10);
  F.startZone("r", "b", 10);
  F.startZone("s", "c", 10);
  F.list();
  F.Time.runFor(5s);
  F["a-2"].Board.setLeaving();
  F["a-2"].Controller.announceLeaving();
  TimePoint Start = F.Time.now();
  BOOST_TEST(
      F.Time.runUntil([&] { return F.allSee("a-2", PeerState::Leaving); }, 3s));
  BOOST_TEST_MESSAGE("leaving seen everywhere after "
                     << (F.Time.now() - Start).count() / 1000 << " ms");
  for (const EntryAdvice &A : F["c-1"].Controller.entries())
    BOOST_TEST(A.Host != HostId("a-2"));
}

BOOST_AUTO_TEST_CASE(endpointLeavingSpreadsFromOneHostsObservation) {
  Fleet F(6);
  F.startZone("r", "a", 10);
  F.startZone("r", "b", 10);
  F.Endpoints = {endpoint("m1", "r")};
  F.list();
  F.Time.runFor(5s);
  F["a-2"].Board.endpoints().update(EndpointId("m1"), [](EndpointRecord &R) {
    R.State = EndpointState::Leaving;
  });
  F.Time.runFor(3s);
  for (const auto &[Id, M] : F.Members)
    BOOST_TEST((M->Board.endpoints().find(EndpointId("m1"))->State ==
                EndpointState::Leaving));
  F.list();
  BOOST_TEST((F["b-1"].Board.endpoints().find(EndpointId("m1"))->State ==
              EndpointState::Leaving));
  F.Time.runFor(61s);
  F.list();
  BOOST_TEST((F["b-1"].Board.endpoints().find(EndpointId("m1"))->State ==
              EndpointState::Live));
}

BOOST_AUTO_TEST_CASE(zonePartitionHeals) {
  Fleet F(7);
  F.startZone("r", "z", 12);
  F.list();
  F.Time.runFor(5s);
  auto Half = [](const HostId &Id) { return Id.str().size() % 2; };
  F.Network.Connected = [&](const HostId &L, const HostId &R) {
    return Half(L) == Half(R);
  };
  F.Time.runFor(30s);
  BOOST_TEST((F["z-1"].sees(HostId("z-10")) == PeerState::Dead));
  F.Network.Connected = nullptr;
  BOOST_TEST(F.Time.runUntil(
      [&] { return F.countSeeing(PeerState::Alive) == 12 * 11; }, 60s));
}

BOOST_AUTO_TEST_CASE(entriesListOwnZoneThenRegionThenOthers) {
  Fleet F(8);
  F.startZone("r", "a", 2);
  F.startZone("r", "b", 2);
  F.startZone("s", "c", 2);
  F.list();
  F.Time.runFor(5s);
  auto All = F["a-0"].Controller.entries();
  BOOST_REQUIRE(All.size() == 6U);
  for (std::size_t I = 0; I < All.size(); ++I)
    BOOST_TEST(All[I].Zone.str() == std::string(1, char('a' + I / 2)));
  auto InRegionS = F["a-0"].Controller.entries(RegionId("s"));
  BOOST_TEST(InRegionS.size() == 2U);
}

BOOST_AUTO_TEST_CASE(unresponsiveZoneIsListedLast) {
  Fleet F(9);
  F.startZone("r", "a", 3);
  F.startZone("r", "b", 3);
  F.startZone("s", "c", 3);
  F.list();
  F.Time.runFor(10s);
  F.Network.Connected = [](const HostId &L, const HostId &R) {
    return (L.str()[0] == 'b') == (R.str()[0] == 'b');
  };
  F.Time.runFor(20s);
  auto All = F["a-0"].Controller.entries();
  BOOST_REQUIRE(All.size() == 9U);
  BOOST_TEST(All[8].Zone.str() == "b");
  BOOST_TEST(All[8].Weight < 1);
  BOOST_TEST(All[5].Zone.str() == "c");
}

BOOST_AUTO_TEST_CASE(poolLoadsReachOtherRegions) {
  Fleet F(10);
  F.startZone("r", "a", 5);
  F.startZone("s", "c", 5);
  F.Endpoints = {endpoint("m1", "r"), endpoint("m2", "r")};
  F.list();
  auto T = std::make_shared<Tables>();
  T->Number = 4;
  PoolRow Pool;
  Pool.Name = PoolName("cedar");
  Pool.Label = "cedar";
  T->Pools = {Pool};
  for (const auto &[Id, M] : F.Members)
    M->Board.adoptTables(T);
  F.Time.runFor(15s);
  std::uint32_t Slots = 0;
  Revision InForce = 0;
  F["c-3"].Board.peers().forEach([&](const HostId &, const PeerRecord &R) {
    if (R.Region != RegionId("r"))
      return;
    InForce = std::max(InForce, R.InForce);
    auto It = R.Pools.find(PoolName("cedar"));
    if (It != R.Pools.end())
      Slots = It->second.Slots;
  });
  BOOST_TEST(Slots == 8U);
  BOOST_TEST(InForce == 4U);
}

BOOST_AUTO_TEST_CASE(allHostsOfAZoneReplacedOneByOne) {
  Fleet F(11);
  F.startZone("r", "z", 8);
  F.startZone("s", "y", 4);
  F.list();
  F.Time.runFor(5s);
  for (int I = 0; I < 8; ++I) {
    std::string Old = "z-" + std::to_string(I);
    F[Old].Board.setLeaving();
    F[Old].Controller.announceLeaving();
    F.Time.runFor(3s);
    F.stop(Old);
    F.start("new-" + std::to_string(I), "r", "z");
    F.list();
    F.Time.runFor(5s);
    auto Entries = F["y-1"].Controller.entries(RegionId("r"));
    BOOST_TEST(Entries.size() >= 7U);
  }
  F.Time.runFor(15s);
  auto Entries = F["y-1"].Controller.entries(RegionId("r"));
  BOOST_TEST(Entries.size() == 8U);
  for (const EntryAdvice &A : Entries)
    BOOST_TEST(A.Host.str().substr(0, 3) == "new");
}

BOOST_AUTO_TEST_CASE(restartedHostUnderTheSameNameReturns) {
  Fleet F(12);
  F.startZone("r", "z", 8);
  F.list();
  F.Time.runFor(5s);
  F.stop("z-3");
  F.Time.runFor(15s);
  BOOST_TEST(F.allSee("z-3", PeerState::Dead));
  F.start("z-3", "r", "z", 2);
  F.list();
  BOOST_TEST(
      F.Time.runUntil([&] { return F.allSee("z-3", PeerState::Alive); }, 15s));
}

BOOST_AUTO_TEST_SUITE_END()
