#ifndef CELERYBEAM_CORE_INTERNAL_READINESS_H
#define CELERYBEAM_CORE_INTERNAL_READINESS_H

#include "blackboard/blackboard.h"

namespace celerybeam::detail {

/// Whether, for each pool with live engines in this region, at least one
/// engine is known to have the pool's model loaded. Before that, a host that
/// has just started would refuse requests that other hosts serve.
bool loadedModelsAreKnown(const Blackboard &Board);

} // namespace celerybeam::detail

#endif
