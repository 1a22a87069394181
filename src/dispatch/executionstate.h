#ifndef CELERYBEAM_DISPATCH_EXECUTIONSTATE_H
#define CELERYBEAM_DISPATCH_EXECUTIONSTATE_H

#include "fleet/fleettypes.h"

namespace celerybeam {

/// Whether a request has run on an endpoint, as far as is known over all its
/// attempts. The value only grows: a later attempt never undoes what an earlier
/// one did.
enum class ExecutionState {
  /// No byte of it has left this host.
  NotSent,
  /// Each endpoint that received it reported that it did not and will not run
  /// it.
  RefusedByEndpoint,
  /// It was sent, and no conclusive response came back.
  Unknown,
  /// An endpoint answered it.
  Ran,
};

/// Name of the state for log lines.
constexpr const char *executionStateName(ExecutionState K) {
  switch (K) {
  case ExecutionState::NotSent:
    return "not_sent";
  case ExecutionState::RefusedByEndpoint:
    return "refused_by_endpoint";
  case ExecutionState::Unknown:
    return "unknown";
  case ExecutionState::Ran:
    return "ran";
  }
  return "unknown";
}

constexpr ExecutionState combine(ExecutionState A, ExecutionState B) {
  return A > B ? A : B;
}

/// Whether a response may promise that the request has not run.
constexpr bool provenNotRun(ExecutionState K) {
  return K <= ExecutionState::RefusedByEndpoint;
}

/// Whether the request may be sent to an endpoint, for the first time or again.
constexpr bool maySend(ExecutionState K, RepeatKind Kind) {
  return provenNotRun(K) || mayRepeat(Kind);
}

/// HTTP status of a failure of the gateway itself. 503 promises that the
/// request has not run; 502 and 504 promise nothing.
constexpr unsigned failureStatus(ExecutionState K, bool TimedOut) {
  constexpr unsigned NotRun = 503;
  constexpr unsigned Failed = 502;
  constexpr unsigned Late = 504;
  if (provenNotRun(K))
    return NotRun;
  return TimedOut ? Late : Failed;
}

} // namespace celerybeam

#endif
