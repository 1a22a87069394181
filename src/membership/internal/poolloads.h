#ifndef CELERYBEAM_MEMBERSHIP_INTERNAL_POOLLOADS_H
#define CELERYBEAM_MEMBERSHIP_INTERNAL_POOLLOADS_H

#include <vector>

#include "blackboard/blackboard.h"
#include "messages/peer.pb.h"

namespace celerybeam::detail {

/// Summarizes the load of each pool in this host's region from the endpoint
/// records of this host.
std::vector<messages::PoolLoad> ownPoolLoads(const Blackboard &Board);

} // namespace celerybeam::detail

#endif
