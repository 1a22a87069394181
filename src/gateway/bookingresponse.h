#ifndef CELERYBEAM_GATEWAY_BOOKINGRESPONSE_H
#define CELERYBEAM_GATEWAY_BOOKINGRESPONSE_H

#include <string_view>

#include "booking/bookingcontroller.h"
#include "gateway/errorresponse.h"

namespace celerybeam {

/// The name of a booking's state as callers see it: "done", "not-run",
/// "running" or "unknown".
std::string_view bookingStateName(BookingState State);

/// The answer to GET /v1/bookings/<key>: {"key","outcome"} and, once done,
/// {"answer":{"status","content_type","body"}}; a body that is not UTF-8 has
/// its invalid bytes replaced.
CallerAnswer bookingAnswer(const Uuid7 &Key,
                           const Result<BookingOutcome> &Outcome);

} // namespace celerybeam

#endif
