#ifndef CELERYBEAM_DISPATCH_ADMISSIONRULE_H
#define CELERYBEAM_DISPATCH_ADMISSIONRULE_H

#include "framework/runtime.h"

namespace celerybeam {

/// Group of a pool's queue that a request waits in.
enum class QueueLane {
  /// Its first output can come within the latency target.
  OnTime,
  /// It is served only when no request of the first group wants the slot.
  Late,
};

/// Input of the admission decision for one request.
struct AdmissionCase {
  /// Time since the request arrived at its first host.
  Duration Waited{};
  /// Time since its caller first sent it: longer than Waited if it was refused
  /// before.
  Duration SinceFirstRequest{};
  /// Predicted time from sending it to an endpoint to its first output.
  Duration TimeToFirstOutput{};
  /// Whether it has to wait for a slot.
  bool MustWait = false;
  /// Predicted time in the queue: OnTimeWait behind the requests that can be on
  /// time, LateWait behind these and the late ones.
  Duration OnTimeWait{};
  Duration LateWait{};
  /// Counted from the first time that the caller sent it; a first output within
  /// it is on time.
  Duration LatencyTarget{};
  /// Counted from its arrival; a later first output is of no use to the caller.
  Duration LatestOutput{};
  /// Whether prompts of its length are served too seldom. Such a request may
  /// wait among those that can be on time although it cannot be on time itself.
  bool IsUnderservedLong = false;
};

/// Result of the admission decision.
struct Admission {
  bool Admitted = false;
  QueueLane Lane = QueueLane::OnTime;
  /// Predicted time from now to its first output.
  Duration Expected{};
  /// If refused: time from now after which the same prediction would admit it.
  Duration RetryAfter{};
};

/// Decides whether a request is admitted, and to which group of the queue.
///
/// Handles this load pattern: "at the peak more comes in than can be on time,
/// and some prompts take longer than the latency target on an idle engine".
/// Every request that can be answered before its caller gives up is admitted.
/// Those that can be on time go first. The others get the remaining capacity,
/// and are refused at once when the prediction leaves them no time.
Admission admit(const AdmissionCase &Case);

} // namespace celerybeam

#endif
