#ifndef CELERYBEAM_PEERS_PEERTRANSPORT_H
#define CELERYBEAM_PEERS_PEERTRANSPORT_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/error.h"
#include "messages/peer.pb.h"

namespace celerybeam {

/// A CURVE key pair, each key as 40 characters of Z85.
struct CurveKeyPair {
  std::string PublicKey;
  std::string SecretKey;
};

/// Makes a new key pair. Fails with Internal when the library has no CURVE.
Result<CurveKeyPair> generateKeyPair();

/// The public key that belongs to a secret one. Fails with InvalidSettings.
Result<std::string> publicKeyOf(const std::string &SecretKey);

/// Settings of the connections between entry hosts.
struct PeerTransportOptions {
  HostId Self;
  Incarnation Number = 1;
  /// Port 0 lets the kernel choose; see PeerTransport::port.
  Address Bind{"127.0.0.1:0"};
  /// This host's key pair. Unset: no encryption, loopback addresses only.
  std::optional<CurveKeyPair> Keys;
  /// Public keys that other hosts may have. During a rotation the old and
  /// the new one stand here.
  std::vector<std::string> PermittedKeys;
  /// Bytes of one message.
  std::size_t MessageLimit = std::size_t{16} * 1024 * 1024;
  /// Messages and bytes that wait for one peer; more are dropped.
  std::size_t QueueLimit = 1000;
  std::size_t QueueByteLimit = std::size_t{32} * 1024 * 1024;
  /// Messages that waited longer are dropped.
  std::chrono::milliseconds QueueAge = std::chrono::seconds(3);
  /// A connection is replaced when nothing was heard on it for the timeout.
  std::chrono::milliseconds HeartbeatInterval{500};
  std::chrono::milliseconds HeartbeatTimeout{2000};
};

/// Counts since the start.
struct PeerTransportCounts {
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
  /// Dropped because the peer's queue was full, the message had waited too
  /// long, the peer is not known, or the message was above the limit.
  std::uint64_t DroppedFull = 0;
  std::uint64_t DroppedLate = 0;
  std::uint64_t DroppedUnknownPeer = 0;
  std::uint64_t DroppedTooLarge = 0;
  /// Inbound messages that were no envelope.
  std::uint64_t Malformed = 0;
  /// Connections refused because of their key.
  std::uint64_t KeysRefused = 0;
};

/// Messages between entry hosts over ZeroMQ.
///
/// Each host listens on one ROUTER and connects DEALERs to its peers; a
/// message always leaves by an own DEALER. Large messages have a connection
/// of their own, so that probes do not wait behind them. Messages may be
/// lost and reordered. Thread-safe.
class PeerTransport {
public:
  /// Runs on the transport's thread, without a lock held, and must not block.
  using InboundHook = std::function<void(const messages::Envelope &)>;

  PeerTransport(PeerTransportOptions Options, InboundHook Inbound);
  ~PeerTransport();

  /// Starts to listen. Fails with InvalidSettings; the message names the
  /// setting.
  Result<void> start();

  /// Ends the thread; messages that wait are dropped.
  void stop();

  /// The port that is listened on; 0 before start.
  std::uint16_t port() const;

  /// Says where a peer is reached; a new address replaces the old one. Fails
  /// with InvalidSettings for an address that is not permitted.
  Result<void> setPeer(const HostId &Peer, const Address &Where);
  void forgetPeer(const HostId &Peer);

  /// The incarnation that further messages carry.
  void setIncarnation(Incarnation Number);

  /// Sends without waiting. Fills in the sender and its incarnation.
  void send(const HostId &Peer, messages::Envelope Message);

  PeerTransportCounts counts() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
