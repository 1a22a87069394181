#include "dispatch/admissionrule.h"

namespace celerybeam {

Admission admit(const AdmissionCase &Case) {
  Admission Result;
  auto Fits = [&](Duration Expected) {
    Result.Expected = Expected;
    return Case.Waited + Expected <= Case.LatestOutput;
  };
  Duration Soonest =
      Case.TimeToFirstOutput + (Case.MustWait ? Case.OnTimeWait : Duration());
  bool OnTime = Case.SinceFirstRequest + Soonest <= Case.LatencyTarget;
  if (!Case.MustWait || OnTime || Case.IsUnderservedLong) {
    Result.Admitted = Fits(Soonest);
  } else {
    Result.Lane = QueueLane::Late;
    Result.Admitted = Fits(Case.TimeToFirstOutput + Case.LateWait);
  }
  if (!Result.Admitted)
    Result.RetryAfter = Case.Waited + Result.Expected - Case.LatestOutput;
  return Result;
}

} // namespace celerybeam
