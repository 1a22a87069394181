#include "recovery/poisonregistry.h"

#include <map>

#include <boost/test/unit_test.hpp>

#include "support/fakenetwork.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

constexpr Fingerprint Hash = 42;

/// Simulates the entry hosts of one region in virtual time.
class Region {
public:
  explicit Region(const std::vector<std::string> &Names) {
    for (const std::string &Name : Names)
      addHost(Name);
    for (auto &[Id, Host] : Hosts_)
      for (auto &[Other, Ignored] : Hosts_)
        setState(Id, Other, PeerState::Alive);
  }

  PoisonRegistry &at(const std::string &Name) {
    return *Hosts_.at(HostId(Name)).Registry;
  }

  void setState(const HostId &At, const HostId &Of, PeerState State) {
    PeerRecord Peer;
    Peer.Id = Of;
    Peer.Region = RegionId("huye");
    Peer.State = State;
    if (At != Of)
      Hosts_.at(At).Board->peers().set(Of, Peer);
  }

  void deliver() { Time.runFor(10ms); }

  void loseMessages(bool Lose) {
    Network_.PickFault = [Lose](const messages::Envelope &) {
      return Lose ? testing::MessageFault::Lose : testing::MessageFault::None;
    };
  }

  void advanceAndTick(Duration D) {
    Time.runFor(D);
    for (auto &[Id, Host] : Hosts_)
      Host.Registry->tick();
  }

  testing::VirtualTime Time{1};

private:
  struct Host {
    std::unique_ptr<Blackboard> Board;
    std::unique_ptr<PoisonRegistry> Registry;
  };

  void addHost(const std::string &Name) {
    HostIdentity Self;
    Self.Id = HostId(Name);
    Self.Region = RegionId("huye");
    testing::VirtualHost Process(Time, Self.Id);
    Host H;
    H.Board = std::make_unique<Blackboard>(Self);
    H.Registry = std::make_unique<PoisonRegistry>(*H.Board, Process.runtime(),
                                                  Network_.hooks(Process));
    Network_.join(Process, 1,
                  [Registry = H.Registry.get()](const auto &Message) {
                    Registry->handle(Message);
                  });
    Hosts_.emplace(Self.Id, std::move(H));
  }

  testing::FakeNetwork Network_{Time};
  std::map<HostId, Host> Hosts_;
};

bool isRefusedPermanently(PoisonRegistry &Registry) {
  auto Started = Registry.begin(Hash);
  return !Started && Started.error().Kind == ErrorKind::PoisonRequest &&
         !Started.error().RetryAfter;
}

bool isRefusedTemporarily(PoisonRegistry &Registry) {
  auto Started = Registry.begin(Hash);
  return !Started && Started.error().RetryAfter.has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(PoisonRegistryTests)

BOOST_AUTO_TEST_CASE(requestIsRefusedRegionWideAfterTwoCrashes) {
  Region R({"h1", "h2", "h3"});
  BOOST_TEST(R.at("h1").begin(Hash).has_value());
  R.at("h1").crashed(Hash, EndpointId("m1"));
  R.deliver();
  BOOST_TEST(isRefusedTemporarily(R.at("h2")));
  BOOST_TEST(R.at("h1").begin(Hash).has_value());
  BOOST_TEST(isRefusedTemporarily(R.at("h1")));
  R.at("h1").crashed(Hash, EndpointId("m2"));
  R.deliver();
  for (const char *Host : {"h1", "h2", "h3"})
    BOOST_TEST(isRefusedPermanently(R.at(Host)));
}

BOOST_AUTO_TEST_CASE(lostReportIsRepeated) {
  Region R({"h1", "h2"});
  R.loseMessages(true);
  R.at("h1").crashed(Hash, EndpointId("m1"));
  R.at("h1").crashed(Hash, EndpointId("m2"));
  R.deliver();
  R.loseMessages(false);
  BOOST_TEST(R.at("h2").begin(Hash).has_value());
  R.at("h2").ended(Hash);
  R.advanceAndTick(1s);
  R.deliver();
  BOOST_TEST(isRefusedPermanently(R.at("h2")));
}

BOOST_AUTO_TEST_CASE(repeatedReportsCountOnce) {
  Region R({"h1", "h2"});
  R.at("h1").crashed(Hash, EndpointId("m1"));
  R.advanceAndTick(1s);
  R.advanceAndTick(1s);
  R.deliver();
  BOOST_TEST(isRefusedTemporarily(R.at("h2")));
}

BOOST_AUTO_TEST_CASE(completeResponseClearsTheRequestInTheRegion) {
  Region R({"h1", "h2"});
  R.at("h1").crashed(Hash, EndpointId("m1"));
  R.deliver();
  BOOST_TEST(R.at("h1").begin(Hash).has_value());
  R.advanceAndTick(1ms);
  R.at("h1").succeeded(Hash);
  R.deliver();
  BOOST_TEST(R.at("h2").begin(Hash).has_value());
  R.at("h2").crashed(Hash, EndpointId("m2"));
  R.deliver();
  BOOST_TEST(isRefusedTemporarily(R.at("h1")));
}

BOOST_AUTO_TEST_CASE(oneHostReplacesADeadOwner) {
  Region R({"h1", "h2", "h3"});
  R.at("h1").crashed(Hash, EndpointId("m1"));
  R.deliver();
  for (const char *Host : {"h2", "h3"})
    R.setState(HostId(Host), HostId("h1"), PeerState::Dead);
  BOOST_TEST(R.at("h2").begin(Hash).has_value());
  BOOST_TEST(isRefusedTemporarily(R.at("h3")));
}

BOOST_AUTO_TEST_CASE(copiesRunningAtTheCrashBlockNewOnes) {
  Region R({"h1"});
  BOOST_TEST(R.at("h1").begin(Hash).has_value());
  BOOST_TEST(R.at("h1").begin(Hash).has_value());
  R.at("h1").crashed(Hash, EndpointId("m1"));
  BOOST_TEST(isRefusedTemporarily(R.at("h1")));
  R.at("h1").ended(Hash);
  BOOST_TEST(R.at("h1").begin(Hash).has_value());
}

BOOST_AUTO_TEST_CASE(entriesExpireAfterRetention) {
  Region R({"h1"});
  R.at("h1").crashed(Hash, EndpointId("m1"));
  R.at("h1").crashed(Hash, EndpointId("m2"));
  R.advanceAndTick(PoisonRegistry::Retention + 1s);
  BOOST_TEST(R.at("h1").begin(Hash).has_value());
}

BOOST_AUTO_TEST_CASE(fingerprintsDifferByCustomerModelAndBody) {
  Fingerprint Base = fingerprintOf(CustomerId("t"), ModelName("m"), "body");
  BOOST_TEST(Base != fingerprintOf(CustomerId("u"), ModelName("m"), "body"));
  BOOST_TEST(Base != fingerprintOf(CustomerId("t"), ModelName("n"), "body"));
  BOOST_TEST(Base != fingerprintOf(CustomerId("t"), ModelName("m"), "bodz"));
}

BOOST_AUTO_TEST_SUITE_END()
