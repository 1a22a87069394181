#ifndef CELERYBEAM_ADMISSION_INTERNAL_PEERLIMITS_H
#define CELERYBEAM_ADMISSION_INTERNAL_PEERLIMITS_H

#include "blackboard/blackboard.h"
#include "limits/limitshares.h"
#include "messages/peerhooks.h"

namespace celerybeam::detail {

/// Connects limit shares to the peers of this host's region: the allocators are
/// drawn among its alive hosts, and notes travel as ShareTransfer messages.
LimitHooks peerLimitHooks(Blackboard &Board, PeerHooks Peers);

ShareNote readShareNote(const messages::ShareTransfer &Transfer);

} // namespace celerybeam::detail

#endif
