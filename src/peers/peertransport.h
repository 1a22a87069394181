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

/// Generates a key pair. Fails with Internal if ZeroMQ lacks CURVE support.
Result<CurveKeyPair> generateKeyPair();

/// Returns the public key of a secret key. Fails with InvalidSettings.
Result<std::string> publicKeyOf(const std::string &SecretKey);

/// Settings of the connections between entry hosts.
struct PeerTransportOptions {
  HostId Self;
  Incarnation Number = 1;
  /// Port 0 lets the kernel choose; see PeerTransport::port.
  Address Bind{"127.0.0.1:0"};
  /// This host's key pair. Unset: no encryption, loopback addresses only.
  std::optional<CurveKeyPair> Keys;
  /// Public keys that other hosts may use; both the old and the new key
  /// during a rotation.
  std::vector<std::string> PermittedKeys;
  /// Maximum size of a message in bytes.
  std::size_t MessageLimit = std::size_t{16} * 1024 * 1024;
  /// Maximum number of messages and bytes queued for one peer; further
  /// messages are dropped.
  std::size_t QueueLimit = 1000;
  std::size_t QueueByteLimit = std::size_t{32} * 1024 * 1024;
  /// Messages queued for longer than this are dropped.
  std::chrono::milliseconds QueueAge = std::chrono::seconds(3);
  /// A connection on which nothing is received for HeartbeatTimeout is
  /// replaced.
  std::chrono::milliseconds HeartbeatInterval{500};
  std::chrono::milliseconds HeartbeatTimeout{2000};
};

/// Message and connection counters since the transport started.
struct PeerTransportCounts {
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
  /// Messages dropped because the queue was full, the message was queued for
  /// too long, the peer is unknown, or the message exceeded MessageLimit.
  std::uint64_t DroppedFull = 0;
  std::uint64_t DroppedLate = 0;
  std::uint64_t DroppedUnknownPeer = 0;
  std::uint64_t DroppedTooLarge = 0;
  /// Inbound messages that are not valid envelopes.
  std::uint64_t Malformed = 0;
  /// Connections refused because of their key.
  std::uint64_t KeysRefused = 0;
};

/// Sends and receives messages between entry hosts over ZeroMQ.
///
/// Each host listens on one ROUTER socket and connects DEALER sockets to its
/// peers; messages are sent only over the DEALER sockets. Large messages use
/// a separate connection, so that they do not delay probes. Messages may be
/// lost and reordered. Thread-safe.
class PeerTransport {
public:
  /// Called on the transport's thread with no lock held; must not block.
  using InboundHook = std::function<void(const messages::Envelope &)>;

  PeerTransport(PeerTransportOptions Options, InboundHook Inbound);
  ~PeerTransport();

  /// Starts the thread and listens. Fails with InvalidSettings; the message
  /// names the setting.
  Result<void> start();

  /// Stops the thread; queued messages are dropped.
  void stop();

  /// The listening port; 0 before start.
  std::uint16_t port() const;

  /// Sets the address of a peer, replacing an earlier one. Fails with
  /// InvalidSettings for an address that is not permitted.
  Result<void> setPeer(const HostId &Peer, const Address &Where);
  void forgetPeer(const HostId &Peer);

  /// Sets the incarnation that is sent with all further messages.
  void setIncarnation(Incarnation Number);

  /// Queues a message without blocking. Fills in the sender and its
  /// incarnation.
  void send(const HostId &Peer, messages::Envelope Message);

  PeerTransportCounts counts() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
