#ifndef CELERYBEAM_FLEETHOST_INTERNAL_REQUESTLOG_H
#define CELERYBEAM_FLEETHOST_INTERNAL_REQUESTLOG_H

#include "logging/logtypes.h"
#include "relay/relaytypes.h"

namespace celerybeam::detail {

/// The fields of the line that a request leaves in the log: how it ended and
/// what decided it. Fields without a value are left out.
LogFields logFieldsOf(const RequestRecord &Record);

} // namespace celerybeam::detail

#endif
