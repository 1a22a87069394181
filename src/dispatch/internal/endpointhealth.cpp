#include "dispatch/endpointhealth.h"

namespace celerybeam {

void EndpointHealth::ended(const EndpointKey &Endpoint,
                           AttemptOutcome Outcome) {
  if (Outcome == AttemptOutcome::Moved)
    return;
  State &S = States_[Endpoint];
  double Failure = Outcome == AttemptOutcome::Answered ? 0 : 1;
  S.FailureShare += (Failure - S.FailureShare) * LatestWeight;
  if (Outcome != AttemptOutcome::Broken) {
    S.BrokenInRow = 0;
    return;
  }
  if (++S.BrokenInRow >= BrokenLimit)
    distrust(Endpoint);
}

void EndpointHealth::distrust(const EndpointKey &Endpoint) {
  State &S = States_[Endpoint];
  if (S.Suspect)
    return;
  S.Suspect = true;
  S.NextCheck = Runtime_.Now();
}

void EndpointHealth::checked(const EndpointKey &Endpoint, bool Healthy) {
  State &S = States_[Endpoint];
  S.NextCheck = Runtime_.Now() + CheckInterval;
  if (!Healthy)
    return;
  S.Suspect = false;
  S.BrokenInRow = 0;
}

bool EndpointHealth::isTrusted(const EndpointKey &Endpoint) const {
  auto Found = States_.find(Endpoint);
  return Found == States_.end() || !Found->second.Suspect;
}

double EndpointHealth::failureShare(const EndpointKey &Endpoint) const {
  auto Found = States_.find(Endpoint);
  return Found == States_.end() ? 0 : Found->second.FailureShare;
}

std::vector<EndpointKey> EndpointHealth::dueForCheck() {
  std::vector<EndpointKey> Due;
  TimePoint Now = Runtime_.Now();
  for (auto &[Key, S] : States_) {
    if (!S.Suspect || S.NextCheck > Now)
      continue;
    S.NextCheck = Now + std::chrono::seconds(2);
    Due.push_back(Key);
  }
  return Due;
}

} // namespace celerybeam
