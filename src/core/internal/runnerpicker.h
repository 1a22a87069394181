#ifndef CELERYBEAM_CORE_INTERNAL_RUNNERPICKER_H
#define CELERYBEAM_CORE_INTERNAL_RUNNERPICKER_H

#include "blackboard/blackboard.h"
#include "booking/bookingcontroller.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// Picks a live runner of the own region, the less loaded of two at random.
RunnerPicker makeRunnerPicker(const Blackboard &Board, Runtime R);

} // namespace celerybeam::detail

#endif
