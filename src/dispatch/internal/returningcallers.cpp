#include "dispatch/returningcallers.h"

namespace celerybeam {

void ReturningCallers::refused(std::uint64_t Fingerprint, TimePoint FirstAsked,
                               Duration RetryAfter) {
  dropOld();
  if (Refused_.size() < MostRemembered)
    Refused_[Fingerprint] = {FirstAsked, Runtime_.Now() + RetryAfter + Slack};
}

std::optional<TimePoint>
ReturningCallers::takeFirstAsked(std::uint64_t Fingerprint) {
  auto Found = Refused_.find(Fingerprint);
  if (Found == Refused_.end())
    return std::nullopt;
  Refused R = Found->second;
  Refused_.erase(Found);
  if (R.Until < Runtime_.Now())
    return std::nullopt;
  return R.FirstAsked;
}

void ReturningCallers::dropOld() {
  TimePoint Now = Runtime_.Now();
  if (Now < NextDrop_)
    return;
  NextDrop_ = Now + Slack;
  std::erase_if(Refused_, [&](const auto &E) { return E.second.Until < Now; });
}

} // namespace celerybeam
