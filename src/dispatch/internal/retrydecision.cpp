#include "dispatch/retrydecision.h"

#include <array>
#include <cstdio>

namespace celerybeam {

namespace {

const char *nameOf(RetryVerdict Verdict) {
  switch (Verdict) {
  case RetryVerdict::Allowed:
    return "allowed";
  case RetryVerdict::MayHaveRun:
    return "may_have_run";
  case RetryVerdict::NoRunsLeft:
    return "no_runs_left";
  case RetryVerdict::TooManySends:
    return "too_many_sends";
  case RetryVerdict::NoTimeLeft:
    return "no_time_left";
  case RetryVerdict::BudgetUsedUp:
    return "budget_used_up";
  }
  return "";
}

} // namespace

std::string describe(const RetryDecision &Decision) {
  std::string Text = std::string(" retry=") + nameOf(Decision.Verdict);
  if (!Decision.Budget)
    return Text;
  const RetryBudgetCheck &Check = *Decision.Budget;
  std::array<char, 160> Inputs{};
  std::snprintf(
      Inputs.data(), Inputs.size(),
      " requests=%.0f extra=%.0f slack=%.1f hosts=%zu counted_ms=%lld",
      Check.Requests, Check.Extra, Check.Slack, Check.Hosts,
      static_cast<long long>(Check.CountedFor / std::chrono::milliseconds(1)));
  return Text + Inputs.data();
}

} // namespace celerybeam
