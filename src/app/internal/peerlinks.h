#ifndef CELERYBEAM_APP_INTERNAL_PEERLINKS_H
#define CELERYBEAM_APP_INTERNAL_PEERLINKS_H

#include "blackboard/blackboard.h"
#include "framework/shardedmap.h"
#include "messages/peerhooks.h"
#include "peers/peertransport.h"

namespace celerybeam {

/// Sends messages over the transport to the addresses that the blackboard
/// holds. Thread-safe.
class PeerLinks {
public:
  explicit PeerLinks(PeerTransport &Transport) : Transport_(Transport) {}

  /// The blackboard that knows the peers; set before the first message.
  void setBoard(const Blackboard *Board) { Board_ = Board; }

  PeerHooks hooks();

private:
  void send(const HostId &Host, messages::Envelope Message);

  PeerTransport &Transport_;
  const Blackboard *Board_ = nullptr;
  ShardedMap<HostId, Address> Known_;
};

} // namespace celerybeam

#endif
