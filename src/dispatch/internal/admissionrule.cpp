#include "dispatch/admissionrule.h"

namespace celerybeam {

Admission admit(const AdmissionCase &Case) {
  Admission Result;
  auto Fits = [&](Duration Expected) {
    Result.Expected = Expected;
    return Case.Waited + Expected <= Case.Latest;
  };
  Duration Soonest = Case.Own + (Case.MustWait ? Case.OnTimeWait : Duration());
  bool OnTime = Case.SinceFirstAsked + Soonest <= Case.LatencyTarget;
  if (!Case.MustWait || OnTime || Case.IsOwedAShare) {
    Result.Admitted = Fits(Soonest);
  } else {
    Result.Lane = QueueLane::Late;
    Result.Admitted = Fits(Case.Own + Case.LateWait);
  }
  if (!Result.Admitted)
    Result.RetryAfter = Case.Waited + Result.Expected - Case.Latest;
  return Result;
}

} // namespace celerybeam
