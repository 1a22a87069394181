#include "dispatch/endpointhealth.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace celerybeam {

void EndpointHealth::recordOutcome(const EndpointKey &Endpoint,
                                   AttemptOutcome Outcome) {
  if (Outcome == AttemptOutcome::Moved || Outcome == AttemptOutcome::Declined)
    return;
  State &S = States_[Endpoint];
  double Failure = Outcome == AttemptOutcome::Answered ? 0 : 1;
  S.FailureShare = failureShare(S);
  S.FailureShare += (Failure - S.FailureShare) * LatestWeight;
  S.FailureAt = Runtime_.Now();
  if (Outcome == AttemptOutcome::Answered && S.Suspect)
    restoreTrust(S);
  if (Outcome == AttemptOutcome::Answered) {
    ++S.AnsweredInRow;
    ++S.AnsweredSinceRestored;
  }
  if (Outcome != AttemptOutcome::Broken)
    return;
  bool WasHealthy = std::exchange(S.AnsweredInRow, 0) >= HealthyAnswers;
  if (!WasHealthy)
    markSuspect(Endpoint);
}

void EndpointHealth::markSuspect(const EndpointKey &Endpoint) {
  State &S = States_[Endpoint];
  if (S.Suspect)
    return;
  TimePoint Now = Runtime_.Now();
  bool Relapsed = Now - S.RestoredAt < RelapseWithin &&
                  S.AnsweredSinceRestored < HealthyAnswers;
  S.Penalty = Relapsed ? std::clamp(S.Penalty * 2, FirstPenalty, LongestPenalty)
                       : Duration::zero();
  S.Suspect = true;
  S.LastCheckPassed = false;
  S.NextCheck = Now;
  S.TrustFrom = Now + S.Penalty;
  S.NextTrial = Now + std::max(TrialAfter, S.Penalty);
}

void EndpointHealth::absolve(const EndpointKey &Endpoint) {
  auto Found = States_.find(Endpoint);
  if (Found == States_.end())
    return;
  State &S = Found->second;
  S.FailureShare = 0;
  S.Penalty = Duration::zero();
  S.TrustFrom = std::min(S.TrustFrom, Runtime_.Now());
  S.NextCheck = std::min(S.NextCheck, Runtime_.Now());
}

void EndpointHealth::requestCheck(const EndpointKey &Endpoint) {
  State &S = States_[Endpoint];
  if (S.Suspect || std::exchange(S.CheckRequested, true))
    return;
  S.NextCheck = Runtime_.Now();
}

void EndpointHealth::restoreTrust(State &S) {
  S.Suspect = false;
  S.RestoredAt = Runtime_.Now();
  S.AnsweredSinceRestored = 0;
}

bool EndpointHealth::mayGetTrial(const EndpointKey &Endpoint) const {
  auto Found = States_.find(Endpoint);
  return Found != States_.end() && Found->second.Suspect &&
         Runtime_.Now() >= Found->second.NextTrial;
}

void EndpointHealth::recordTrial(const EndpointKey &Endpoint) {
  States_[Endpoint].NextTrial = Runtime_.Now() + TrialAfter;
}

void EndpointHealth::recordCheck(const EndpointKey &Endpoint, bool Healthy) {
  State &S = States_[Endpoint];
  TimePoint Now = Runtime_.Now();
  S.NextCheck = std::max(Now + CheckInterval, S.TrustFrom);
  S.LastCheckPassed = Healthy;
  if (std::exchange(S.CheckRequested, false)) {
    if (!Healthy)
      markSuspect(Endpoint);
    S.RestoredAt = Healthy ? Now : S.RestoredAt;
  }
  if (Healthy && S.Suspect && Now >= S.TrustFrom)
    restoreTrust(S);
}

bool EndpointHealth::isLastResort(const EndpointKey &Endpoint) const {
  auto Found = States_.find(Endpoint);
  return Found != States_.end() && Found->second.LastCheckPassed &&
         failureShare(Found->second) <= LastResortFailureShare;
}

bool EndpointHealth::isTrusted(const EndpointKey &Endpoint) const {
  auto Found = States_.find(Endpoint);
  return Found == States_.end() || !Found->second.Suspect;
}

Duration EndpointHealth::sincePassedCheck(const EndpointKey &Endpoint) const {
  auto Found = States_.find(Endpoint);
  return Runtime_.Now() -
         (Found == States_.end() ? TimePoint() : Found->second.RestoredAt);
}

double EndpointHealth::failureShare(const State &S) const {
  return S.FailureShare *
         std::exp(-static_cast<double>((Runtime_.Now() - S.FailureAt).count()) /
                  static_cast<double>(FailureMemory.count()));
}

double EndpointHealth::failureShare(const EndpointKey &Endpoint) const {
  auto Found = States_.find(Endpoint);
  return Found == States_.end() ? 0 : failureShare(Found->second);
}

bool EndpointHealth::isHealthy(const EndpointKey &Endpoint) const {
  return failureShare(Endpoint) <= HealthyFailureShare;
}

std::vector<EndpointKey> EndpointHealth::dueForCheck() {
  std::vector<EndpointKey> Due;
  TimePoint Now = Runtime_.Now();
  for (auto &[Key, S] : States_) {
    if (!(S.Suspect || S.CheckRequested) || S.NextCheck > Now)
      continue;
    S.NextCheck = Now + std::chrono::seconds(2);
    Due.push_back(Key);
  }
  return Due;
}

} // namespace celerybeam
