#ifndef CELERYBEAM_REQUESTS_INTERNAL_BOOKINGEXCHANGE_H
#define CELERYBEAM_REQUESTS_INTERNAL_BOOKINGEXCHANGE_H

#include "framework/runtime.h"
#include "framework/uuid7.h"
#include "requests/internal/exchange.h"
#include "requests/requesttypes.h"

namespace celerybeam::detail {

/// Takes a booking through admission and the ledger to its answer, then runs
/// OnDone once. The caller's leaving does not stop a booking.
void runBooking(const RequestServices &Services, ExchangeStart Start,
                const Uuid7 &Key, ResponseHooks Answer, Task OnDone);

/// The error with the outcome that it implies for the booking's key. A
/// refusal of this call says nothing of an earlier call with the same key, so
/// only the ledger may say "not-run".
Error withOutcome(Error Why);

/// The answer to a known outcome; errors are typed and carry the outcome.
Result<ResponseHead> bookingHead(const BookingOutcome &Outcome);

} // namespace celerybeam::detail

#endif
