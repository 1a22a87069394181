#include "peers/peertransport.h"

#include <array>
#include <atomic>
#include <charconv>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

#include "peers/internal/peeraddress.h"
#include "peers/internal/peerlink.h"
#include "peers/internal/zaphandler.h"

namespace celerybeam {

namespace {

constexpr std::chrono::milliseconds TickInterval{100};
constexpr const char *ZapDomain = "celerybeam";
/// Inbound messages received in a row before outbound ones are sent.
constexpr int InboundBatch = 64;

/// Which of a peer's two connections a message uses. Messages that can be large
/// (table revisions, booking requests, forwarded requests and responses) use
/// the bulk connection, so that probes do not wait behind them. So do
/// ForwardCredit, which is answered with large chunks, and ForwardCancel.
enum class ConnectionKind { Control, Bulk };

ConnectionKind connectionKindOf(const messages::Envelope &Message) {
  switch (Message.body_case()) {
  case messages::Envelope::kRevisionReply:
  case messages::Envelope::kForwardRequest:
  case messages::Envelope::kForwardHead:
  case messages::Envelope::kForwardChunk:
  case messages::Envelope::kForwardEnd:
  case messages::Envelope::kForwardCancel:
  case messages::Envelope::kForwardCredit:
  case messages::Envelope::kBookingRequest:
    return ConnectionKind::Bulk;
  default:
    return ConnectionKind::Control;
  }
}

/// A serialized message to a peer.
struct Outgoing {
  HostId Peer;
  ConnectionKind Kind = ConnectionKind::Control;
  std::string Data;
};

} // namespace

class PeerTransport::Impl {
public:
  Impl(PeerTransportOptions Options, InboundHook Inbound)
      : Options_(std::move(Options)), Inbound_(std::move(Inbound)),
        Number_(Options_.Number) {}
  ~Impl() { stop(); }

  Result<void> start();
  void stop();
  std::uint16_t port() const { return Port_; }
  Result<void> setPeer(const HostId &Peer, const Address &Where);
  void forgetPeer(const HostId &Peer);
  void setIncarnation(Incarnation Number) { Number_ = Number; }
  void send(const HostId &Peer, messages::Envelope Message);
  PeerTransportCounts counts() const;

private:
  struct Peer {
    Address Where;
    /// Increased by each change of the address.
    std::uint64_t AddressVersion = 0;
  };
  struct Link {
    std::unique_ptr<PeerLink> Connection;
    std::uint64_t AddressVersion = 0;
  };
  using LinkKey = std::pair<HostId, ConnectionKind>;

  Result<void> checkKeys() const;
  void listen();
  void wake() const;
  void run();
  void pollOnce();
  void receive();
  bool receiveOne();
  void takeOutgoing();
  void removeStaleLinks();
  void tick(PeerLink::Clock::time_point Now);
  PeerLink *linkFor(const HostId &To, ConnectionKind Kind);

  const PeerTransportOptions Options_;
  const InboundHook Inbound_;
  std::atomic<Incarnation> Number_;
  std::uint16_t Port_ = 0;
  int WakeEvent_ = -1;
  std::atomic<bool> Stopping_ = false;
  std::thread Thread_;

  // Used only on the transport's thread while it runs.
  std::unique_ptr<zmq::context_t> Context_;
  std::unique_ptr<ZapHandler> Zap_;
  zmq::socket_t Router_;
  std::map<LinkKey, Link> Links_;
  PeerLink::Clock::time_point NextTick_{};

  mutable std::mutex Mutex_;
  std::map<HostId, Peer> Peers_;
  std::uint64_t LastAddressVersion_ = 0;
  std::deque<Outgoing> Outbox_;
  std::size_t OutboxBytes_ = 0;

  std::atomic<std::uint64_t> Sent_ = 0;
  std::atomic<std::uint64_t> Received_ = 0;
  std::atomic<std::uint64_t> DroppedFull_ = 0;
  std::atomic<std::uint64_t> DroppedLate_ = 0;
  std::atomic<std::uint64_t> DroppedUnknownPeer_ = 0;
  std::atomic<std::uint64_t> DroppedTooLarge_ = 0;
  std::atomic<std::uint64_t> Malformed_ = 0;
  std::atomic<std::uint64_t> KeysRefused_ = 0;
};

Result<void> PeerTransport::Impl::checkKeys() const {
  if (!Options_.Keys)
    return {};
  auto Public = publicKeyOf(Options_.Keys->SecretKey);
  if (!Public)
    return tl::unexpected<Error>(Public.error());
  if (*Public != Options_.Keys->PublicKey)
    return makeError(ErrorKind::InvalidSettings,
                     "The public and the secret peer key do not "
                     "match; copy both from one run of celerybeamctl "
                     "keygen.");
  if (Options_.PermittedKeys.empty())
    return makeError(ErrorKind::InvalidSettings,
                     "No permitted peer key is set, so no host could connect; "
                     "list the public keys of the entry hosts.");
  for (const std::string &Key : Options_.PermittedKeys) {
    std::array<std::uint8_t, 32> Bytes{};
    if (Key.size() != 40 ||
        zmq_z85_decode(Bytes.data(), Key.c_str()) == nullptr)
      return makeError(ErrorKind::InvalidSettings,
                       "The permitted peer key \"" + Key +
                           "\" is not 40 characters of Z85; copy the public "
                           "key that celerybeamctl keygen printed.");
  }
  return {};
}

void PeerTransport::Impl::listen() {
  Router_ = zmq::socket_t(*Context_, zmq::socket_type::router);
  Router_.set(zmq::sockopt::linger, 0);
  Router_.set(zmq::sockopt::maxmsgsize,
              static_cast<std::int64_t>(Options_.MessageLimit));
  Router_.set(zmq::sockopt::heartbeat_ivl,
              static_cast<int>(Options_.HeartbeatInterval.count()));
  Router_.set(zmq::sockopt::heartbeat_timeout,
              static_cast<int>(Options_.HeartbeatTimeout.count()));
  Router_.set(zmq::sockopt::ipv6, Options_.Bind.str().starts_with('['));
  if (Options_.Keys) {
    Zap_ = std::make_unique<ZapHandler>(*Context_, Options_.PermittedKeys);
    Router_.set(zmq::sockopt::zap_domain, ZapDomain);
    Router_.set(zmq::sockopt::curve_server, true);
    Router_.set(zmq::sockopt::curve_secretkey, Options_.Keys->SecretKey);
  }
  Router_.bind("tcp://" + Options_.Bind.str());
  std::string Bound = Router_.get(zmq::sockopt::last_endpoint);
  auto Colon = Bound.rfind(':');
  std::from_chars(Bound.data() + Colon + 1, Bound.data() + Bound.size(), Port_);
}

Result<void> PeerTransport::Impl::start() {
  if (auto Checked = checkPeerAddress(Options_.Bind, Options_.Keys.has_value());
      !Checked)
    return Checked;
  if (auto Checked = checkKeys(); !Checked)
    return Checked;
  WakeEvent_ = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  Context_ = std::make_unique<zmq::context_t>(1);
  try {
    listen();
  } catch (const zmq::error_t &Failure) {
    return makeError(ErrorKind::InvalidSettings,
                     "Cannot listen for entry hosts at " + Options_.Bind.str() +
                         " (" + Failure.what() +
                         "); choose an address of this host and a free port.");
  }
  Thread_ = std::thread([this] { run(); });
  return {};
}

void PeerTransport::Impl::stop() {
  Stopping_ = true;
  if (Thread_.joinable()) {
    wake();
    Thread_.join();
  }
  Links_.clear();
  Zap_.reset();
  Router_.close();
  Context_.reset();
  if (WakeEvent_ >= 0)
    ::close(std::exchange(WakeEvent_, -1));
}

void PeerTransport::Impl::wake() const {
  std::uint64_t One = 1;
  [[maybe_unused]] auto Written = ::write(WakeEvent_, &One, sizeof(One));
}

Result<void> PeerTransport::Impl::setPeer(const HostId &Peer,
                                          const Address &Where) {
  if (auto Checked = checkPeerAddress(Where, Options_.Keys.has_value());
      !Checked)
    return Checked;
  std::lock_guard Lock(Mutex_);
  auto &Known = Peers_[Peer];
  if (Known.Where != Where)
    Known = {Where, ++LastAddressVersion_};
  return {};
}

void PeerTransport::Impl::forgetPeer(const HostId &Peer) {
  std::lock_guard Lock(Mutex_);
  Peers_.erase(Peer);
}

void PeerTransport::Impl::send(const HostId &Peer, messages::Envelope Message) {
  Message.set_from(Options_.Self.str());
  Message.set_incarnation(Number_);
  Outgoing Next{Peer, connectionKindOf(Message), Message.SerializeAsString()};
  if (Next.Data.size() > Options_.MessageLimit) {
    ++DroppedTooLarge_;
    return;
  }
  {
    std::lock_guard Lock(Mutex_);
    if (!Peers_.contains(Peer)) {
      ++DroppedUnknownPeer_;
      return;
    }
    if (Outbox_.size() >= Options_.QueueLimit ||
        OutboxBytes_ + Next.Data.size() > Options_.QueueByteLimit) {
      ++DroppedFull_;
      return;
    }
    OutboxBytes_ += Next.Data.size();
    Outbox_.push_back(std::move(Next));
  }
  wake();
}

void PeerTransport::Impl::run() {
  while (!Stopping_)
    pollOnce();
}

void PeerTransport::Impl::pollOnce() {
  std::vector<zmq::pollitem_t> Items = {
      {nullptr, WakeEvent_, ZMQ_POLLIN, 0},
      {Router_.handle(), 0, ZMQ_POLLIN, 0},
  };
  if (Zap_)
    Items.push_back({Zap_->socket().handle(), 0, ZMQ_POLLIN, 0});
  for (auto &[Key, L] : Links_) {
    if (L.Connection->hasQueued())
      Items.push_back({L.Connection->socket().handle(), 0, ZMQ_POLLOUT, 0});
  }
  zmq::poll(Items, TickInterval);
  if (Zap_ && Zap_->replyToOne())
    ++KeysRefused_;
  receive();
  takeOutgoing();
  for (auto &[Key, L] : Links_)
    Sent_ += L.Connection->flush();
  auto Now = PeerLink::Clock::now();
  if (Now >= NextTick_)
    tick(Now);
}

void PeerTransport::Impl::receive() {
  for (int I = 0; I < InboundBatch && receiveOne(); ++I) {
  }
}

bool PeerTransport::Impl::receiveOne() {
  zmq::message_t Frame;
  // The first frame identifies the connection.
  if (!Router_.recv(Frame, zmq::recv_flags::dontwait))
    return false;
  std::size_t Count = 1;
  while (Frame.more()) {
    [[maybe_unused]] auto Size = Router_.recv(Frame, zmq::recv_flags::none);
    ++Count;
  }
  messages::Envelope Message;
  bool Parsed =
      Count == 2 &&
      Message.ParseFromArray(Frame.data(), static_cast<int>(Frame.size())) &&
      !Message.from().empty() &&
      Message.body_case() != messages::Envelope::BODY_NOT_SET;
  if (!Parsed) {
    ++Malformed_;
    return true;
  }
  ++Received_;
  Inbound_(Message);
  return true;
}

void PeerTransport::Impl::takeOutgoing() {
  std::uint64_t Wakes = 0;
  [[maybe_unused]] auto Read = ::read(WakeEvent_, &Wakes, sizeof(Wakes));
  std::deque<Outgoing> Taken;
  {
    std::lock_guard Lock(Mutex_);
    Taken.swap(Outbox_);
    OutboxBytes_ = 0;
  }
  auto Now = PeerLink::Clock::now();
  for (Outgoing &Next : Taken) {
    PeerLink *To = linkFor(Next.Peer, Next.Kind);
    if (To == nullptr)
      ++DroppedUnknownPeer_;
    else if (!To->push(std::move(Next.Data), Now))
      ++DroppedFull_;
  }
}

PeerLink *PeerTransport::Impl::linkFor(const HostId &To, ConnectionKind Kind) {
  Peer Known;
  {
    std::lock_guard Lock(Mutex_);
    auto It = Peers_.find(To);
    if (It == Peers_.end())
      return nullptr;
    Known = It->second;
  }
  Link &L = Links_[{To, Kind}];
  if (!L.Connection || L.AddressVersion != Known.AddressVersion)
    L = {std::make_unique<PeerLink>(*Context_, Options_, Known.Where),
         Known.AddressVersion};
  return L.Connection.get();
}

void PeerTransport::Impl::removeStaleLinks() {
  std::lock_guard Lock(Mutex_);
  std::erase_if(Links_, [this](const auto &Entry) {
    auto It = Peers_.find(Entry.first.first);
    return It == Peers_.end() ||
           It->second.AddressVersion != Entry.second.AddressVersion;
  });
}

void PeerTransport::Impl::tick(PeerLink::Clock::time_point Now) {
  NextTick_ = Now + TickInterval;
  removeStaleLinks();
  for (auto &[Key, L] : Links_) {
    DroppedLate_ += L.Connection->dropExpired(Now);
    L.Connection->tryNextKey(Now);
  }
}

PeerTransportCounts PeerTransport::Impl::counts() const {
  PeerTransportCounts Counts;
  Counts.Sent = Sent_;
  Counts.Received = Received_;
  Counts.DroppedFull = DroppedFull_;
  Counts.DroppedLate = DroppedLate_;
  Counts.DroppedUnknownPeer = DroppedUnknownPeer_;
  Counts.DroppedTooLarge = DroppedTooLarge_;
  Counts.Malformed = Malformed_;
  Counts.KeysRefused = KeysRefused_;
  return Counts;
}

PeerTransport::PeerTransport(PeerTransportOptions Options, InboundHook Inbound)
    : Impl_(std::make_unique<Impl>(std::move(Options), std::move(Inbound))) {}

PeerTransport::~PeerTransport() = default;

Result<void> PeerTransport::start() { return Impl_->start(); }

void PeerTransport::stop() { Impl_->stop(); }

std::uint16_t PeerTransport::port() const { return Impl_->port(); }

Result<void> PeerTransport::setPeer(const HostId &Peer, const Address &Where) {
  return Impl_->setPeer(Peer, Where);
}

void PeerTransport::forgetPeer(const HostId &Peer) { Impl_->forgetPeer(Peer); }

void PeerTransport::setIncarnation(Incarnation Number) {
  Impl_->setIncarnation(Number);
}

void PeerTransport::send(const HostId &Peer, messages::Envelope Message) {
  Impl_->send(Peer, std::move(Message));
}

PeerTransportCounts PeerTransport::counts() const { return Impl_->counts(); }

} // namespace celerybeam
