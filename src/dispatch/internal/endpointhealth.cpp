#include "dispatch/endpointhealth.h"

#include <algorithm>

namespace celerybeam {

void EndpointHealth::ended(const EndpointKey &Endpoint,
                           AttemptOutcome Outcome) {
  if (Outcome == AttemptOutcome::Moved || Outcome == AttemptOutcome::TurnedAway)
    return;
  State &S = States_[Endpoint];
  double Failure = Outcome == AttemptOutcome::Answered ? 0 : 1;
  S.FailureShare += (Failure - S.FailureShare) * LatestWeight;
  if (Outcome == AttemptOutcome::Answered && S.Suspect)
    restore(S);
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
  TimePoint Now = Runtime_.Now();
  bool Relapsed = Now - S.RestoredAt < RelapseWithin;
  S.Penalty = Relapsed ? std::clamp(S.Penalty * 2, FirstPenalty, LongestPenalty)
                       : Duration::zero();
  S.Suspect = true;
  S.NextCheck = Now;
  S.TrustFrom = Now + S.Penalty;
  S.NextTrial = Now + std::max(TrialAfter, S.Penalty);
}

void EndpointHealth::restore(State &S) {
  S.Suspect = false;
  S.BrokenInRow = 0;
  S.RestoredAt = Runtime_.Now();
}

bool EndpointHealth::mayTry(const EndpointKey &Endpoint) const {
  auto Found = States_.find(Endpoint);
  return Found != States_.end() && Found->second.Suspect &&
         Runtime_.Now() >= Found->second.NextTrial;
}

void EndpointHealth::tried(const EndpointKey &Endpoint) {
  States_[Endpoint].NextTrial = Runtime_.Now() + TrialAfter;
}

void EndpointHealth::checked(const EndpointKey &Endpoint, bool Healthy) {
  State &S = States_[Endpoint];
  TimePoint Now = Runtime_.Now();
  S.NextCheck = std::max(Now + CheckInterval, S.TrustFrom);
  if (Healthy && S.Suspect && Now >= S.TrustFrom)
    restore(S);
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
