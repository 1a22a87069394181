#include "peers/internal/peerlink.h"

#include <utility>

namespace celerybeam {

namespace {

/// Time after which the next permitted key is tried for a peer.
constexpr std::chrono::milliseconds KeyAttemptTimeout{1000};
constexpr int ReconnectMs = 100;
constexpr int MaxReconnectMs = 1000;
constexpr int ConnectTimeoutMs = 2000;
constexpr int HandshakeTimeoutMs = 2000;
/// Messages that ZeroMQ may queue; further ones stay in the link's queue.
constexpr int LibraryQueueLimit = 64;

} // namespace

PeerLink::PeerLink(zmq::context_t &Context, const PeerTransportOptions &Options,
                   Address Where)
    : Context_(Context), Options_(Options), Where_(std::move(Where)) {
  connect();
}

void PeerLink::connect() {
  zmq::socket_t Socket(Context_, zmq::socket_type::dealer);
  Socket.set(zmq::sockopt::linger, 0);
  Socket.set(zmq::sockopt::immediate, true);
  Socket.set(zmq::sockopt::sndhwm, LibraryQueueLimit);
  Socket.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
  Socket.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectMs);
  Socket.set(zmq::sockopt::connect_timeout, ConnectTimeoutMs);
  Socket.set(zmq::sockopt::handshake_ivl, HandshakeTimeoutMs);
  Socket.set(zmq::sockopt::heartbeat_ivl,
             static_cast<int>(Options_.HeartbeatInterval.count()));
  Socket.set(zmq::sockopt::heartbeat_timeout,
             static_cast<int>(Options_.HeartbeatTimeout.count()));
  Socket.set(zmq::sockopt::ipv6, Where_.str().starts_with('['));
  if (Options_.Keys) {
    Socket.set(zmq::sockopt::curve_publickey, Options_.Keys->PublicKey);
    Socket.set(zmq::sockopt::curve_secretkey, Options_.Keys->SecretKey);
    Socket.set(zmq::sockopt::curve_serverkey,
               Options_.PermittedKeys[KeyIndex_]);
  }
  Socket.connect("tcp://" + Where_.str());
  Socket_ = std::move(Socket);
  ConnectingSince_ = Clock::now();
}

bool PeerLink::push(std::string Data, Clock::time_point Now) {
  if (Queue_.size() >= Options_.QueueLimit ||
      QueuedBytes_ + Data.size() > Options_.QueueByteLimit)
    return false;
  QueuedBytes_ += Data.size();
  Queue_.push_back({std::move(Data), Now});
  return true;
}

std::uint64_t PeerLink::flush() {
  std::uint64_t Count = 0;
  while (!Queue_.empty()) {
    const std::string &Data = Queue_.front().Data;
    if (!Socket_.send(zmq::buffer(Data), zmq::send_flags::dontwait))
      break;
    QueuedBytes_ -= Data.size();
    Queue_.pop_front();
    ++Count;
  }
  return Count;
}

std::uint64_t PeerLink::dropExpired(Clock::time_point Now) {
  std::uint64_t Count = 0;
  while (!Queue_.empty() && Now - Queue_.front().QueuedAt > Options_.QueueAge) {
    QueuedBytes_ -= Queue_.front().Data.size();
    Queue_.pop_front();
    ++Count;
  }
  return Count;
}

void PeerLink::tryNextKey(Clock::time_point Now) {
  if (!Options_.Keys || Options_.PermittedKeys.size() < 2)
    return;
  bool Connected =
      (Socket_.get(zmq::sockopt::events) & static_cast<int>(ZMQ_POLLOUT)) != 0;
  if (Connected) {
    ConnectingSince_ = Now;
    return;
  }
  if (Now - ConnectingSince_ < KeyAttemptTimeout)
    return;
  KeyIndex_ = (KeyIndex_ + 1) % Options_.PermittedKeys.size();
  connect();
}

} // namespace celerybeam
