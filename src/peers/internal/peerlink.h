#ifndef CELERYBEAM_PEERS_INTERNAL_PEERLINK_H
#define CELERYBEAM_PEERS_INTERNAL_PEERLINK_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

#include <zmq.hpp>

#include "peers/peertransport.h"

namespace celerybeam {

/// The outbound connection to one peer and what waits for it. Used on the
/// transport's thread only.
class PeerLink {
public:
  using Clock = std::chrono::steady_clock;

  PeerLink(zmq::context_t &Context, const PeerTransportOptions &Options,
           Address Where);

  /// Queues a message; false when the queue is full.
  bool push(std::string Data, Clock::time_point Now);

  /// Sends what the connection takes; returns how many messages.
  std::uint64_t flush();

  /// Drops messages that have waited too long; returns how many.
  std::uint64_t dropLate(Clock::time_point Now);

  /// Tries the peer with its next possible key when no connection has come
  /// about.
  void tryNextKey(Clock::time_point Now);

  bool hasWaiting() const { return !Queue_.empty(); }
  zmq::socket_t &socket() { return Socket_; }

private:
  struct Waiting {
    std::string Data;
    Clock::time_point Since;
  };

  void connect();

  zmq::context_t &Context_;
  const PeerTransportOptions &Options_;
  const Address Where_;
  zmq::socket_t Socket_;
  std::size_t KeyIndex_ = 0;
  Clock::time_point ConnectingSince_ = Clock::now();
  std::deque<Waiting> Queue_;
  std::size_t QueuedBytes_ = 0;
};

} // namespace celerybeam

#endif
