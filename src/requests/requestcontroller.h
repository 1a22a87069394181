#ifndef CELERYBEAM_REQUESTS_REQUESTCONTROLLER_H
#define CELERYBEAM_REQUESTS_REQUESTCONTROLLER_H

#include <cstdint>
#include <memory>
#include <string>

#include "framework/error.h"
#include "framework/httptypes.h"
#include "requests/requesttypes.h"

namespace celerybeam {

/// Takes callers' requests from their heads to the end of their answers.
///
/// acceptHead decides all that can be decided without the body: who asks,
/// which route, where the data must reside, the key, the deadline. start
/// runs the request: admission, routing, attempts, resume, hedge, the answer.
///
/// Reads: tables, endpoints, peers. Writes: nothing on the blackboard.
/// Wakes: callers, endpoint events, messages, timers. Thread-safe.
class RequestController {
public:
  RequestController(RequestServices Services);
  ~RequestController();

  /// Decides from the head alone, before any byte of the body is read.
  /// Errors: Unauthorized, UnknownRoute, WrongRegion, MissingKey, InvalidKey,
  /// DeadlineExpired, LoopRefused, BadRequest, NotReady, ShuttingDown.
  Result<AcceptedHead> acceptHead(const RequestHead &Head);

  /// Runs an accepted request with its whole body. The hooks get the whole
  /// answer or a JSON error.
  RequestId start(const AcceptedHead &Accepted, std::string Body,
                  ResponseHooks Answer);

  /// The caller takes more data after its hooks asked for a pause.
  void callerReady(const RequestId &Request);

  /// The caller has left: cancels what runs for it.
  void callerGone(const RequestId &Request);

  /// Takes the forwarding messages; ignores other bodies.
  void handle(const messages::Envelope &Message);

  /// Finds stalled attempts and starts hedges. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(20);

  /// Requests in flight, forwarded ones included.
  std::size_t inFlight() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
