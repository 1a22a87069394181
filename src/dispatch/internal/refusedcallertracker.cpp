#include "dispatch/refusedcallertracker.h"

namespace celerybeam {

void RefusedCallerTracker::refused(std::uint64_t Fingerprint,
                                   TimePoint FirstRequestedAt,
                                   Duration RetryAfter) {
  removeExpired();
  if (Refused_.size() < MaxEntries)
    Refused_[Fingerprint] = {FirstRequestedAt,
                             Runtime_.Now() + RetryAfter + Slack};
}

std::optional<TimePoint>
RefusedCallerTracker::takeFirstRequestTime(std::uint64_t Fingerprint) {
  auto Found = Refused_.find(Fingerprint);
  if (Found == Refused_.end())
    return std::nullopt;
  Refused R = Found->second;
  Refused_.erase(Found);
  if (R.Until < Runtime_.Now())
    return std::nullopt;
  return R.FirstRequestedAt;
}

void RefusedCallerTracker::removeExpired() {
  TimePoint Now = Runtime_.Now();
  if (Now < NextCleanup_)
    return;
  NextCleanup_ = Now + Slack;
  std::erase_if(Refused_, [&](const auto &E) { return E.second.Until < Now; });
}

} // namespace celerybeam
