#ifndef CELERYBEAM_DISPATCH_RETRYDECISION_H
#define CELERYBEAM_DISPATCH_RETRYDECISION_H

#include <cstddef>
#include <optional>
#include <string>

#include "framework/runtime.h"

namespace celerybeam {

/// One check of the shared retry budget, with its inputs.
struct RetryBudgetCheck {
  bool Allowed = false;
  /// Requests and extra sends of this process in the window that ends now.
  double Requests = 0;
  double Extra = 0;
  /// This host's share of the extra sends that do not depend on requests, and
  /// the number of hosts that share them; 0 while that is not known.
  double Slack = 0;
  std::size_t Hosts = 0;
  /// How long the process has been counting.
  Duration CountedFor{};
};

/// Whether a request may be sent once more, and why not.
enum class RetryVerdict {
  Allowed,
  /// It may have run and may not be repeated.
  MayHaveRun,
  /// It may have run on as many endpoints as its route allows.
  NoRunsLeft,
  TooManySends,
  NoTimeLeft,
  BudgetUsedUp,
};

struct RetryDecision {
  RetryVerdict Verdict = RetryVerdict::Allowed;
  /// Unset if the budget was not asked.
  std::optional<RetryBudgetCheck> Budget;

  bool isAllowed() const { return Verdict == RetryVerdict::Allowed; }
};

/// The decision as text for a request's attempts in the log, with a leading
/// blank.
std::string describe(const RetryDecision &Decision);

} // namespace celerybeam

#endif
