#ifndef CELERYBEAM_CORE_INTERNAL_READINESS_H
#define CELERYBEAM_CORE_INTERNAL_READINESS_H

#include "blackboard/blackboard.h"

namespace celerybeam::detail {

/// Whether of each pool that has live engines in this region at least one is
/// known to have the pool's model loaded; a host that has just started would
/// refuse requests that others serve.
bool poolsAreKnown(const Blackboard &Board);

} // namespace celerybeam::detail

#endif
