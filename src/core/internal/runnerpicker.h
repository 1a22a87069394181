#ifndef CELERYBEAM_CORE_INTERNAL_RUNNERPICKER_H
#define CELERYBEAM_CORE_INTERNAL_RUNNERPICKER_H

#include "blackboard/blackboard.h"
#include "booking/bookingcontroller.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// Returns a function that picks a live runner of this region: the less
/// loaded of two that are chosen at random.
RunnerPicker makeRunnerPicker(const Blackboard &Board, Runtime R);

} // namespace celerybeam::detail

#endif
