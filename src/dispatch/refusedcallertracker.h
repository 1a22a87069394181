#ifndef CELERYBEAM_DISPATCH_REFUSEDCALLERTRACKER_H
#define CELERYBEAM_DISPATCH_REFUSEDCALLERTRACKER_H

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "framework/runtime.h"

namespace celerybeam {

/// Remembers when callers that were refused sent their request first.
///
/// Handles this load pattern: "refused callers come back, some at once and
/// often". For its caller such a request is late already, so it does not take a
/// slot from one that can be on time. Not thread-safe.
class RefusedCallerTracker {
public:
  explicit RefusedCallerTracker(Runtime R) : Runtime_(std::move(R)) {}

  /// Records that a request was refused. \param FirstRequestedAt  when its
  /// caller first sent it.
  void refused(std::uint64_t Fingerprint, TimePoint FirstRequestedAt,
               Duration RetryAfter);
  /// When the caller of a request that arrives now first sent it; unset if it
  /// was not refused recently. Removes the entry.
  std::optional<TimePoint> takeFirstRequestTime(std::uint64_t Fingerprint);

  /// A refusal is remembered for this much longer than the RetryAfter that the
  /// caller was given.
  static constexpr Duration Slack = std::chrono::seconds(1);
  /// Maximum number of refusals remembered; further callers count as new ones.
  static constexpr std::size_t MaxEntries = 10000;

private:
  struct Refused {
    TimePoint FirstRequestedAt{};
    TimePoint Until{};
  };

  void removeExpired();

  Runtime Runtime_;
  std::unordered_map<std::uint64_t, Refused> Refused_;
  TimePoint NextCleanup_{};
};

} // namespace celerybeam

#endif
