#ifndef CELERYBEAM_FLEETHOST_INTERNAL_REQUESTLOG_H
#define CELERYBEAM_FLEETHOST_INTERNAL_REQUESTLOG_H

#include "logging/logtypes.h"
#include "relay/relaytypes.h"

namespace celerybeam::detail {

/// Builds the log fields of a finished request: its outcome and the inputs of
/// the decisions on it. Fields without a value are left out.
LogFields logFieldsOf(const RequestRecord &Record);

} // namespace celerybeam::detail

#endif
