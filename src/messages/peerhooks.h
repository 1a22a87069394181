#ifndef CELERYBEAM_MESSAGES_PEERHOOKS_H
#define CELERYBEAM_MESSAGES_PEERHOOKS_H

#include <functional>

#include "blackboard/idtypes.h"
#include "messages/peer.pb.h"

namespace celerybeam {

/// Holds the function that sends messages to other entry hosts. Messages may
/// be lost, delayed, repeated and reordered between two hosts. No message is
/// delivered synchronously within the call of Send. Thread-safe. The hook
/// fills in the sender and its incarnation.
struct PeerHooks {
  std::function<void(const HostId &, messages::Envelope)> Send;
};

} // namespace celerybeam

#endif
