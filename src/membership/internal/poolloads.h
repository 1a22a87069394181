#ifndef CELERYBEAM_MEMBERSHIP_INTERNAL_POOLLOADS_H
#define CELERYBEAM_MEMBERSHIP_INTERNAL_POOLLOADS_H

#include <vector>

#include "blackboard/blackboard.h"
#include "messages/peer.pb.h"

namespace celerybeam::detail {

/// The load of each pool in this host's region, as this host knows it.
std::vector<messages::PoolLoad> ownPoolLoads(const Blackboard &Board);

} // namespace celerybeam::detail

#endif
