#ifndef CELERYBEAM_CORE_LISTSCHEDULE_H
#define CELERYBEAM_CORE_LISTSCHEDULE_H

#include "blackboard/blackboard.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Returns the interval at which this host polls the platform's list.
///
/// A few hosts of each zone, chosen by rendezvous hashing, poll often and
/// gossip that an endpoint is leaving. The others poll rarely, so that the
/// number of polls grows with the number of zones more than with hosts.
Duration listPollInterval(const Blackboard &Board);

} // namespace celerybeam

#endif
