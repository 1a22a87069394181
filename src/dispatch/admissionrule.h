#ifndef CELERYBEAM_DISPATCH_ADMISSIONRULE_H
#define CELERYBEAM_DISPATCH_ADMISSIONRULE_H

#include "framework/runtime.h"

namespace celerybeam {

/// Where a request stands in the queue of its pool.
enum class QueueLane {
  /// Its first output can come within the latency target.
  OnTime,
  /// It is served when nothing that can be on time wants the place.
  Late,
};

/// What is known of a request when it is admitted or refused.
struct AdmissionCase {
  /// Since its arrival at its first host.
  Duration Waited{};
  /// Since its caller first asked: longer if it was refused before.
  Duration SinceFirstAsked{};
  /// From being sent to an endpoint to its first output.
  Duration Own{};
  /// Whether it has to wait for a place.
  bool MustWait = false;
  /// Time in the queue until it is sent: behind those that can be on time, and
  /// behind those that are late, too.
  Duration OnTimeWait{};
  Duration LateWait{};
  /// From the first ask; a first output within it is on time.
  Duration LatencyTarget{};
  /// From its arrival; a later first output is of no use to the caller.
  Duration Latest{};
  /// Whether prompts of its length are served too seldom, so that it may wait
  /// among those that can be on time although it cannot.
  bool IsOwedAShare = false;
};

/// What becomes of a request.
struct Admission {
  bool Admitted = false;
  QueueLane Lane = QueueLane::OnTime;
  /// From now to its first output.
  Duration Expected{};
  /// If refused: from now, when the same forecast would admit it.
  Duration RetryAfter{};
};

/// Decides whether a request is worth waiting for.
///
/// Answers to "at the peak more comes in than can be on time, and some prompts
/// take longer than the latency target on an idle engine": whatever can be
/// answered before its caller leaves is admitted. Those that can be on time go
/// first; the others take what is left, and are refused at once when the
/// forecast leaves them no time.
Admission admit(const AdmissionCase &Case);

} // namespace celerybeam

#endif
