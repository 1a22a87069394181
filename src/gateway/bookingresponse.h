#ifndef CELERYBEAM_GATEWAY_BOOKINGRESPONSE_H
#define CELERYBEAM_GATEWAY_BOOKINGRESPONSE_H

#include <string_view>

#include "booking/bookingcontroller.h"
#include "gateway/errorresponse.h"

namespace celerybeam {

/// Returns the name of a booking's state in responses to callers: "done",
/// "not-run", "running" or "unknown".
std::string_view bookingStateName(BookingState State);

/// Builds the response to GET /v1/bookings/<key>: {"key","outcome"} and, once
/// done, {"answer":{"status","content_type","body"}}. Bytes of the body that
/// are not valid UTF-8 are replaced.
CallerResponse bookingResponse(const Uuid7 &Key,
                               const Result<BookingOutcome> &Outcome);

} // namespace celerybeam

#endif
