#ifndef CELERYBEAM_APP_INTERNAL_PEERLINKS_H
#define CELERYBEAM_APP_INTERNAL_PEERLINKS_H

#include "blackboard/blackboard.h"
#include "framework/shardedmap.h"
#include "messages/peerhooks.h"
#include "peers/peertransport.h"

namespace celerybeam {

/// Sends messages to peers over the transport, at the addresses in the
/// blackboard. Thread-safe.
class PeerLinks {
public:
  explicit PeerLinks(PeerTransport &Transport) : Transport_(Transport) {}

  /// Sets the blackboard with the peers; must be called before the first
  /// message.
  void setBoard(const Blackboard *Board) { Board_ = Board; }

  PeerHooks hooks();

private:
  void send(const HostId &Host, messages::Envelope Message);

  PeerTransport &Transport_;
  const Blackboard *Board_ = nullptr;
  ShardedMap<HostId, Address> LastAddresses_;
};

} // namespace celerybeam

#endif
