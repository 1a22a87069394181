#include <condition_variable>
#include <mutex>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <zmq.hpp>

#include "peers/peertransport.h"
#include "peers/tests/silentrelay.h"

using namespace celerybeam;

namespace {

const HostId Alpha("alpha");
const HostId Beta("beta");

/// A transport that records the messages it receives.
class TestPeer {
public:
  explicit TestPeer(PeerTransportOptions Options)
      : Transport_(std::move(Options),
                   [this](const messages::Envelope &M) { record(M); }) {
    BOOST_REQUIRE(Transport_.start());
  }

  PeerTransport *operator->() { return &Transport_; }
  Address where() const {
    return Address("127.0.0.1:" + std::to_string(Transport_.port()));
  }

  /// Waits for the next message and returns it.
  messages::Envelope next() {
    std::unique_lock Lock(Mutex_);
    Changed_.wait(Lock, [this] { return Returned_ < Received_.size(); });
    return Received_[Returned_++];
  }

  std::size_t receivedCount() {
    std::lock_guard Lock(Mutex_);
    return Received_.size();
  }

private:
  void record(const messages::Envelope &M) {
    std::lock_guard Lock(Mutex_);
    Received_.push_back(M);
    Changed_.notify_all();
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<messages::Envelope> Received_;
  std::size_t Returned_ = 0;
  PeerTransport Transport_;
};

PeerTransportOptions optionsOf(const HostId &Self) {
  PeerTransportOptions Options;
  Options.Self = Self;
  // Messages must not expire in the queue on a busy machine.
  Options.QueueAge = std::chrono::hours(1);
  return Options;
}

PeerTransportOptions encrypted(const HostId &Self, const CurveKeyPair &Keys,
                               std::vector<std::string> Permitted) {
  PeerTransportOptions Options = optionsOf(Self);
  Options.Keys = Keys;
  Options.PermittedKeys = std::move(Permitted);
  return Options;
}

messages::Envelope ping(std::uint64_t Sequence) {
  messages::Envelope Message;
  Message.mutable_ping()->set_sequence(Sequence);
  return Message;
}

messages::Envelope chunk(std::size_t Size) {
  messages::Envelope Message;
  Message.mutable_forward_chunk()->set_data(std::string(Size, 'x'));
  return Message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerTransportTests)

BOOST_AUTO_TEST_CASE(TwoHostsExchangeMessages) {
  TestPeer A(optionsOf(Alpha));
  TestPeer B(optionsOf(Beta));
  BOOST_REQUIRE(A->setPeer(Beta, B.where()));
  BOOST_REQUIRE(B->setPeer(Alpha, A.where()));
  A->setIncarnation(7);
  A->send(Beta, ping(1));
  auto FromAlpha = B.next();
  BOOST_TEST(FromAlpha.from() == "alpha");
  BOOST_TEST(FromAlpha.incarnation() == 7U);
  B->send(Alpha, chunk(1000));
  BOOST_TEST(A.next().forward_chunk().data().size() == 1000U);
}

BOOST_AUTO_TEST_CASE(RestartedPeerIsReachedAgain) {
  TestPeer A(optionsOf(Alpha));
  std::optional<TestPeer> B(std::in_place, optionsOf(Beta));
  Address Where = B->where();
  BOOST_REQUIRE(A->setPeer(Beta, Where));
  A->send(Beta, ping(1));
  B->next();
  B.reset();
  auto Options = optionsOf(Beta);
  Options.Bind = Where;
  B.emplace(Options);
  // Messages sent before the disconnect is detected may be lost, so the test
  // sends until one arrives.
  std::uint64_t Sequence = 2;
  while (B->receivedCount() == 0) {
    A->send(Beta, ping(Sequence++));
    std::this_thread::yield();
  }
  BOOST_TEST(B->next().ping().sequence() >= 2U);
}

BOOST_AUTO_TEST_CASE(SilentConnectionIsReplaced) {
  auto Options = optionsOf(Alpha);
  Options.HeartbeatInterval = std::chrono::milliseconds(100);
  Options.HeartbeatTimeout = std::chrono::milliseconds(300);
  TestPeer A(Options);
  TestPeer B(optionsOf(Beta));
  SilentRelay Relay(B->port());
  BOOST_REQUIRE(
      A->setPeer(Beta, Address("127.0.0.1:" + std::to_string(Relay.port()))));
  A->send(Beta, ping(1));
  B.next();
  Relay.silence();
  for (std::uint64_t Sequence = 2; B.receivedCount() < 2; ++Sequence) {
    A->send(Beta, ping(Sequence));
    std::this_thread::yield();
  }
  BOOST_TEST(Relay.connections() >= 2);
}

BOOST_AUTO_TEST_CASE(UnknownKeyIsRefused) {
  auto KnownKeys = *generateKeyPair();
  auto UnknownKeys = *generateKeyPair();
  TestPeer A(encrypted(Alpha, KnownKeys, {KnownKeys.PublicKey}));
  TestPeer B(encrypted(Beta, KnownKeys, {KnownKeys.PublicKey}));
  TestPeer Stranger(encrypted(HostId("s"), UnknownKeys,
                              {KnownKeys.PublicKey, UnknownKeys.PublicKey}));
  BOOST_REQUIRE(Stranger->setPeer(Alpha, A.where()));
  Stranger->send(Alpha, ping(1));
  while (A->counts().KeysRefused == 0)
    std::this_thread::yield();
  BOOST_REQUIRE(B->setPeer(Alpha, A.where()));
  B->send(Alpha, ping(2));
  BOOST_TEST(A.next().from() == "beta");
  BOOST_TEST(A->counts().Received == 1U);
  BOOST_TEST(Stranger->counts().Sent == 0U);
}

BOOST_AUTO_TEST_CASE(KeysRotateWhileBothArePermitted) {
  auto Old = *generateKeyPair();
  auto New = *generateKeyPair();
  std::vector<std::string> Both = {Old.PublicKey, New.PublicKey};
  TestPeer A(encrypted(Alpha, Old, Both));
  TestPeer B(encrypted(Beta, New, Both));
  BOOST_REQUIRE(A->setPeer(Beta, B.where()));
  BOOST_REQUIRE(B->setPeer(Alpha, A.where()));
  A->send(Beta, ping(1));
  B->send(Alpha, ping(2));
  BOOST_TEST(B.next().from() == "alpha");
  BOOST_TEST(A.next().from() == "beta");
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreCountedAndDropped) {
  TestPeer A(optionsOf(Alpha));
  zmq::context_t Context;
  zmq::socket_t Raw(Context, zmq::socket_type::dealer);
  Raw.set(zmq::sockopt::linger, 0);
  Raw.connect("tcp://" + A.where().str());
  messages::Envelope Anonymous = ping(1);
  messages::Envelope Empty;
  Empty.set_from("beta");
  for (const std::string &Data :
       {std::string("\xff\xff\xff\xff no envelope"), std::string(),
        Anonymous.SerializeAsString(), Empty.SerializeAsString()})
    Raw.send(zmq::buffer(Data));
  Raw.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
  Raw.send(zmq::str_buffer("frames"));
  messages::Envelope Good = ping(9);
  Good.set_from("beta");
  Raw.send(zmq::buffer(Good.SerializeAsString()));
  BOOST_TEST(A.next().ping().sequence() == 9U);
  BOOST_TEST(A->counts().Malformed == 5U);
}

BOOST_AUTO_TEST_CASE(QueuesAreBounded) {
  auto Options = optionsOf(Alpha);
  Options.QueueLimit = 10;
  Options.MessageLimit = 5000;
  TestPeer A(Options);
  // A port on which nothing listens any longer.
  Address Closed = TestPeer(optionsOf(Beta)).where();
  BOOST_REQUIRE(A->setPeer(Beta, Closed));
  for (int I = 0; I < 100; ++I)
    A->send(Beta, ping(1));
  while (A->counts().DroppedFull < 80)
    std::this_thread::yield();
  A->send(Beta, chunk(6000));
  BOOST_TEST(A->counts().DroppedTooLarge == 1U);
  A->send(HostId("nobody"), ping(1));
  BOOST_TEST(A->counts().DroppedUnknownPeer == 1U);
  BOOST_TEST(A->counts().Sent == 0U);
}

BOOST_AUTO_TEST_CASE(WithoutKeysOnlyLoopbackIsUsed) {
  auto Options = optionsOf(Alpha);
  Options.Bind = Address("0.0.0.0:0");
  PeerTransport Open(Options, [](const messages::Envelope &) {});
  auto Started = Open.start();
  BOOST_REQUIRE(!Started);
  BOOST_TEST(Started.error().Message.find("keygen") != std::string::npos);
  TestPeer A(optionsOf(Alpha));
  BOOST_TEST(!A->setPeer(Beta, Address("192.0.2.1:7443")));
  BOOST_TEST(!A->setPeer(Beta, Address("localhost:7443")));
  BOOST_TEST(!A->setPeer(Beta, Address("127.0.0.1:port")));
}

BOOST_AUTO_TEST_SUITE_END()
