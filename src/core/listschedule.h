#ifndef CELERYBEAM_CORE_LISTSCHEDULE_H
#define CELERYBEAM_CORE_LISTSCHEDULE_H

#include "blackboard/blackboard.h"
#include "framework/runtime.h"

namespace celerybeam {

/// How long this host waits between two reads of the platform's list.
///
/// A few hosts of each zone, by rendezvous rank, read it often and spread by
/// gossip that an endpoint leaves; the others read it seldom, so that reads
/// grow with zones more than with hosts.
Duration listPollInterval(const Blackboard &Board);

} // namespace celerybeam

#endif
