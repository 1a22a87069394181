#ifndef CELERYBEAM_MEMBERSHIP_ENDPOINTMONITOR_H
#define CELERYBEAM_MEMBERSHIP_ENDPOINTMONITOR_H

#include <memory>

#include "blackboard/blackboard.h"
#include "blackboard/calltypes.h"
#include "framework/error.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Keeps what this host observes of endpoints and puts stragglers on
/// probation.
///
/// Reads: tables, endpoints. Writes: endpoints (Report, Observed, Probation,
/// ReturnShare, Loaded, and State Leaving on an endpoint's own word).
/// Wakes: each event of an attempt, load answers, tick. Thread-safe.
class EndpointMonitor {
public:
  EndpointMonitor(Blackboard &Board, Runtime R, EndpointHooks Calls);
  ~EndpointMonitor();

  /// An attempt is about to start at the endpoint.
  void dispatched(const EndpointId &Endpoint, const AttemptId &Attempt,
                  RequestClass Class);

  /// The attempt's first token, or a plain service's head, arrived.
  void firstToken(const EndpointId &Endpoint, const AttemptId &Attempt);

  /// Another token arrived.
  void progressed(const EndpointId &Endpoint, const AttemptId &Attempt);

  /// The attempt ended. Without an error it counts as a success; Cancelled
  /// counts neither way; ConnectFailed, ConnectionLost, EndpointFailed and
  /// StreamStalled count against the endpoint; EndpointLeaving marks it
  /// leaving.
  void ended(const EndpointId &Endpoint, const AttemptId &Attempt,
             const Result<void> &Outcome);

  /// Reads the load headers of an endpoint's response.
  void responseHead(const EndpointId &Endpoint, const ResponseHead &Head);

  /// Takes a load page that this host or a peer fetched.
  void reported(const EndpointId &Endpoint, const LoadAnswer &Answer);

  /// Judges stragglers, lets endpoints return, asks for loads of endpoints
  /// whose reports are old (a bounded number a second). Call every
  /// TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(50);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
