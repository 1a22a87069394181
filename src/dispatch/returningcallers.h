#ifndef CELERYBEAM_DISPATCH_RETURNINGCALLERS_H
#define CELERYBEAM_DISPATCH_RETURNINGCALLERS_H

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "framework/runtime.h"

namespace celerybeam {

/// Remembers since when callers that were refused have been asking.
///
/// Answers to "refused callers come back, some at once and often": for its
/// caller such a request is late already, so it does not take a place from one
/// that can be on time. Not thread-safe.
class ReturningCallers {
public:
  explicit ReturningCallers(Runtime R) : Runtime_(std::move(R)) {}

  /// A request was refused. \param FirstAsked  when its caller first asked.
  void refused(std::uint64_t Fingerprint, TimePoint FirstAsked,
               Duration RetryAfter);
  /// When the caller of a request that arrives now first asked; unset when it
  /// was not refused of late. Forgets it.
  std::optional<TimePoint> takeFirstAsked(std::uint64_t Fingerprint);

  /// A refusal is remembered for this much longer than the caller was told to
  /// stay away.
  static constexpr Duration Slack = std::chrono::seconds(1);
  /// Refusals remembered at most; further ones count as first asks.
  static constexpr std::size_t MostRemembered = 10000;

private:
  struct Refused {
    TimePoint FirstAsked{};
    TimePoint Until{};
  };

  void dropOld();

  Runtime Runtime_;
  std::unordered_map<std::uint64_t, Refused> Refused_;
  TimePoint NextDrop_{};
};

} // namespace celerybeam

#endif
