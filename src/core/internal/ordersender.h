#ifndef CELERYBEAM_CORE_INTERNAL_ORDERSENDER_H
#define CELERYBEAM_CORE_INTERNAL_ORDERSENDER_H

#include "blackboard/calltypes.h"
#include "framework/runtime.h"
#include "placement/placementcontroller.h"

namespace celerybeam::detail {

/// Returns a function that sends orders to engines as `POST /v1/orders`
/// (docs/CONTRACTS.md).
SendEngineOrder makeOrderSender(EndpointHooks Calls, Runtime R);

} // namespace celerybeam::detail

#endif
