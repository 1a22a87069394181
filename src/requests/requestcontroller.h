#ifndef CELERYBEAM_REQUESTS_REQUESTCONTROLLER_H
#define CELERYBEAM_REQUESTS_REQUESTCONTROLLER_H

#include <cstdint>
#include <memory>
#include <string>

#include "framework/error.h"
#include "framework/httptypes.h"
#include "requests/requesttypes.h"

namespace celerybeam {

/// Handles callers' requests from the request head to the end of the
/// response.
///
/// acceptHead checks everything that does not depend on the body: customer,
/// route, data residence, idempotency key, deadline. start runs the request:
/// admission, routing, attempts, resumed streams, hedging, response.
///
/// Reads: tables, endpoints, peers. Writes: nothing on the blackboard.
/// Driven by: callers, endpoint events, messages, timers. Thread-safe.
class RequestController {
public:
  RequestController(RequestServices Services);
  ~RequestController();

  /// Checks a request head before any byte of the body is read.
  /// Errors: Unauthorized, UnknownRoute, WrongRegion, MissingKey, InvalidKey,
  /// DeadlineExpired, LoopRefused, BadRequest, NotReady, ShuttingDown.
  Result<AcceptedHead> acceptHead(const RequestHead &Head);

  /// Runs an accepted request with its complete body. The hooks receive the
  /// complete response or an error; the receiver writes an error that comes
  /// before the response head as JSON.
  RequestId start(const AcceptedHead &Accepted, std::string Body,
                  ResponseHooks Response);

  /// Reports that the caller accepts data again after its hooks returned
  /// Flow::Pause.
  void callerReady(const RequestId &Request);

  /// Reports that the caller has disconnected; cancels the request's
  /// attempts.
  void callerGone(const RequestId &Request);

  /// Handles the messages of forwarded requests; ignores other bodies.
  void handle(const messages::Envelope &Message);

  /// Cancels stalled attempts, which are then retried if that is allowed, and
  /// starts hedges. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(20);

  /// Number of requests in flight, including forwarded ones and bookings.
  std::size_t inFlight() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
