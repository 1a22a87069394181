#ifndef CELERYBEAM_PEERS_INTERNAL_PEERLINK_H
#define CELERYBEAM_PEERS_INTERNAL_PEERLINK_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

#include <zmq.hpp>

#include "peers/peertransport.h"

namespace celerybeam {

/// Holds the outbound connection to one peer and the messages queued for it.
/// Used on the transport's thread only.
class PeerLink {
public:
  using Clock = std::chrono::steady_clock;

  PeerLink(zmq::context_t &Context, const PeerTransportOptions &Options,
           Address Where);

  /// Queues a message; false when the queue is full.
  bool push(std::string Data, Clock::time_point Now);

  /// Sends queued messages until the connection would block; returns how
  /// many were sent.
  std::uint64_t flush();

  /// Drops messages queued for longer than QueueAge; returns how many.
  std::uint64_t dropExpired(Clock::time_point Now);

  /// Reconnects with the next permitted key if the connection could not be
  /// established.
  void tryNextKey(Clock::time_point Now);

  bool hasQueued() const { return !Queue_.empty(); }
  zmq::socket_t &socket() { return Socket_; }

private:
  struct QueuedMessage {
    std::string Data;
    Clock::time_point QueuedAt;
  };

  void connect();

  zmq::context_t &Context_;
  const PeerTransportOptions &Options_;
  const Address Where_;
  zmq::socket_t Socket_;
  std::size_t KeyIndex_ = 0;
  Clock::time_point ConnectingSince_ = Clock::now();
  std::deque<QueuedMessage> Queue_;
  std::size_t QueuedBytes_ = 0;
};

} // namespace celerybeam

#endif
