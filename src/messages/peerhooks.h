#ifndef CELERYBEAM_MESSAGES_PEERHOOKS_H
#define CELERYBEAM_MESSAGES_PEERHOOKS_H

#include <functional>

#include "blackboard/idtypes.h"
#include "messages/peer.pb.h"

namespace celerybeam {

/// Sends to other entry hosts. Messages may be lost, delayed, repeated and
/// reordered between two hosts; nothing is ever delivered on the sender's
/// stack. Thread-safe. Sender and incarnation are filled in by the hook.
struct PeerHooks {
  std::function<void(const HostId &, messages::Envelope)> Send;
};

} // namespace celerybeam

#endif
