#ifndef CELERYBEAM_DISPATCH_EXECUTIONKNOWLEDGE_H
#define CELERYBEAM_DISPATCH_EXECUTIONKNOWLEDGE_H

#include "fleet/fleettypes.h"

namespace celerybeam {

/// Whether a request has run on an endpoint, as far as is known over all its
/// attempts. The value only grows: a later attempt never undoes what an earlier
/// one did.
enum class ExecutionKnowledge {
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
constexpr const char *executionName(ExecutionKnowledge K) {
  switch (K) {
  case ExecutionKnowledge::NotSent:
    return "not_sent";
  case ExecutionKnowledge::RefusedByEndpoint:
    return "refused_by_endpoint";
  case ExecutionKnowledge::Unknown:
    return "unknown";
  case ExecutionKnowledge::Ran:
    return "ran";
  }
  return "unknown";
}

constexpr ExecutionKnowledge combine(ExecutionKnowledge A,
                                     ExecutionKnowledge B) {
  return A > B ? A : B;
}

/// Whether a response may promise that the request has not run.
constexpr bool provenNotRun(ExecutionKnowledge K) {
  return K <= ExecutionKnowledge::RefusedByEndpoint;
}

/// Whether the request may be sent to an endpoint, for the first time or again.
constexpr bool maySend(ExecutionKnowledge K, RepeatKind Kind) {
  return provenNotRun(K) || mayRepeat(Kind);
}

/// HTTP status of a failure of the gateway itself. 503 promises that the
/// request has not run; 502 and 504 promise nothing.
constexpr unsigned failureStatus(ExecutionKnowledge K, bool TimedOut) {
  constexpr unsigned NotRun = 503;
  constexpr unsigned Failed = 502;
  constexpr unsigned Late = 504;
  if (provenNotRun(K))
    return NotRun;
  return TimedOut ? Late : Failed;
}

} // namespace celerybeam

#endif
