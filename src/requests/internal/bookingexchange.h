#ifndef CELERYBEAM_REQUESTS_INTERNAL_BOOKINGEXCHANGE_H
#define CELERYBEAM_REQUESTS_INTERNAL_BOOKINGEXCHANGE_H

#include "framework/runtime.h"
#include "framework/uuid7.h"
#include "requests/internal/exchange.h"
#include "requests/requesttypes.h"

namespace celerybeam::detail {

/// Runs a booking through admission and the ledger, sends the response, then
/// calls OnDone once. A booking continues if its caller disconnects.
void runBooking(const RequestServices &Services, ExchangeStart Start,
                const Uuid7 &Key, ResponseHooks Response, Task OnDone);

/// Adds the outcome that an error implies for the booking's key. A refusal of
/// this call gives no information about an earlier call with the same key, so
/// only the ledger may state "not-run".
Error withOutcome(Error Why);

/// Returns the response head for an outcome from the ledger. Errors have an
/// ErrorKind and carry the outcome.
Result<ResponseHead> bookingHead(const BookingOutcome &Outcome);

} // namespace celerybeam::detail

#endif
