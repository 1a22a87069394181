#ifndef CELERYBEAM_MEMBERSHIP_ENDPOINTMONITOR_H
#define CELERYBEAM_MEMBERSHIP_ENDPOINTMONITOR_H

#include <memory>

#include "blackboard/blackboard.h"
#include "blackboard/calltypes.h"
#include "framework/error.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Records what this host observes of endpoints and puts stragglers on
/// probation, that is endpoints much slower than the rest of their pool or
/// failing: they are ejected for a time and then return with a growing share of
/// the requests.
///
/// Reads: tables, endpoints. Writes: endpoints (Report, Observed, Probation,
/// ReturnShare, Loaded, and State Leaving when an endpoint reports it).
/// Runs on: each event of an attempt, load reports, tick. Thread-safe.
class EndpointMonitor {
public:
  EndpointMonitor(Blackboard &Board, Runtime R, EndpointHooks Hooks);
  ~EndpointMonitor();

  /// An attempt is about to start at the endpoint.
  void dispatched(const EndpointId &Endpoint, const AttemptId &Attempt,
                  RequestClass Class);

  /// The attempt's first token arrived, or the response head of a service that
  /// streams no tokens.
  void firstToken(const EndpointId &Endpoint, const AttemptId &Attempt);

  /// Another token arrived.
  void progressed(const EndpointId &Endpoint, const AttemptId &Attempt);

  /// The attempt ended. Without an error it counts as a success; Cancelled
  /// counts neither as a success nor as a failure; ConnectFailed,
  /// ConnectionLost, EndpointFailed and StreamStalled count against the
  /// endpoint; EndpointLeaving marks it leaving.
  void ended(const EndpointId &Endpoint, const AttemptId &Attempt,
             const Result<void> &Outcome);

  /// Reads the load headers of an endpoint's response.
  void responseHead(const EndpointId &Endpoint, const ResponseHead &Head);

  /// Applies a load page that this host or a peer fetched.
  void reported(const EndpointId &Endpoint, const LoadPage &Answer);

  /// Ejects stragglers, readmits ejected endpoints, and polls the loads of
  /// endpoints whose reports are old (a bounded number per second). Call every
  /// TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(50);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
