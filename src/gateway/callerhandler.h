#ifndef CELERYBEAM_GATEWAY_CALLERHANDLER_H
#define CELERYBEAM_GATEWAY_CALLERHANDLER_H

#include <functional>
#include <string>

#include "booking/bookingcontroller.h"
#include "framework/error.h"
#include "framework/httptypes.h"
#include "requests/requesttypes.h"

namespace celerybeam {

/// What the callers' listener asks of the rest of the host. The hooks run on
/// the listener's threads, without a lock held, and must not block.
struct CallerHandler {
  /// Decides from the head, before a byte of the body is read.
  std::function<Result<AcceptedHead>(const RequestHead &)> AcceptHead;
  /// Runs an accepted request; the answer may come from any thread, also
  /// before the call returns.
  std::function<RequestId(AcceptedHead, std::string Body, ResponseHooks)> Start;
  /// The caller takes more data after a Flow::Pause.
  std::function<void(const RequestId &)> CallerReady;
  /// The connection ended before the answer did. Called at most once.
  std::function<void(const RequestId &)> CallerGone;

  /// Tells the customer of an Authorization header.
  Authenticator Authenticate;
  /// The JSON of GET /v1/models for a customer.
  std::function<std::string(const CustomerId &)> Models;
  /// The JSON of GET /v1/entries; the head's query may name a route.
  std::function<Result<std::string>(const RequestHead &)> Entries;
  /// JSON array of the entry hosts to use instead of this one, put as
  /// "entries" into a WrongRegion refusal. May be empty.
  std::function<std::string(const RequestHead &)> EntriesElsewhere;
  /// Tells the outcome of a booking.
  std::function<void(const CustomerId &, const RequestHead &, const Uuid7 &,
                     Completion<BookingOutcome>)>
      BookingStatus;
  /// Whether the host takes requests; the error goes to /readyz.
  std::function<Result<void>()> Ready;
};

} // namespace celerybeam

#endif
