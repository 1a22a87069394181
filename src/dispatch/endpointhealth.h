#ifndef CELERYBEAM_DISPATCH_ENDPOINTHEALTH_H
#define CELERYBEAM_DISPATCH_ENDPOINTHEALTH_H

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// How an attempt at an endpoint ended, as far as its health is concerned.
enum class AttemptOutcome {
  Answered,
  /// It answered with a failure of its own or rejected the request.
  Failed,
  /// No connection, a reset, no reply, or bytes that are no valid response.
  Broken,
  /// Another endpoint answered at its address.
  Moved,
  /// It did not run the request and requested a back-off.
  Declined,
};

/// Tracks which endpoints get ordinary traffic, from the attempts and health
/// checks of this host.
///
/// Handles endpoints that crash, become unresponsive or fail part of their
/// requests while their health check passes, and health checks that are wrong
/// in either direction. A broken endpoint gets only health checks until one
/// passes. If it breaks again soon after that, it stays without traffic for a
/// penalty that doubles each time.
/// While its checks fail, it gets a trial request periodically. An endpoint
/// that fails often gets a worse score.
///
/// Handles this load pattern: "the last endpoint of a service loses one
/// response in thirty". An endpoint that answers most requests stays trusted
/// after a single break, and one whose health check passed is a last resort
/// until its penalty is over. Not thread-safe.
class EndpointHealth {
public:
  explicit EndpointHealth(Runtime R) : Runtime_(std::move(R)) {}

  void recordOutcome(const EndpointKey &Endpoint, AttemptOutcome Outcome);
  /// Sends it no requests until a health check has passed.
  void markSuspect(const EndpointKey &Endpoint);
  /// Records the result of a health check.
  void recordCheck(const EndpointKey &Endpoint, bool Healthy);

  /// Its latest breaks were not its own fault: ends the penalty, so that the
  /// next passed health check restores trust.
  void absolve(const EndpointKey &Endpoint);

  /// Whether requests may be sent to it.
  bool isTrusted(const EndpointKey &Endpoint) const;
  /// Schedules a health check at once. The endpoint stays trusted unless that
  /// fails.
  void requestCheck(const EndpointKey &Endpoint);
  /// Time since the last passed check of an endpoint that was suspect or had a
  /// check requested; very long when there was none.
  Duration sincePassedCheck(const EndpointKey &Endpoint) const;
  /// Whether a suspect endpoint is still better than none: it answers more
  /// requests than not, and its health check has passed since it broke.
  bool isLastResort(const EndpointKey &Endpoint) const;
  /// Whether a suspect endpoint may get a trial request, which must be
  /// repeatable.
  bool mayGetTrial(const EndpointKey &Endpoint) const;
  /// Records that it got that trial request.
  void recordTrial(const EndpointKey &Endpoint);
  /// Share of recent attempts that failed, in [0, 1]. Older ones count less, so
  /// that an endpoint that got no requests because of them is used again.
  double failureShare(const EndpointKey &Endpoint) const;
  /// Whether that share is no more than the failures that requests of any
  /// service may cause themselves.
  bool isHealthy(const EndpointKey &Endpoint) const;
  /// Endpoints whose next health check is due; counts it as started.
  std::vector<EndpointKey> dueForCheck();
  void forget(const EndpointKey &Endpoint) { States_.erase(Endpoint); }

  /// A single break is ignored after this many answers in a row. An endpoint
  /// that is down breaks all its requests in flight at once, so that it becomes
  /// suspect with the second one.
  static constexpr unsigned HealthyAnswers = 5;
  /// An endpoint is healthy if it fails no larger share of its requests.
  static constexpr double HealthyFailureShare = 0.25;
  /// Time constant with which failures are forgotten.
  static constexpr Duration FailureMemory = std::chrono::seconds(5);
  /// A last resort fails no larger share of its requests.
  static constexpr double LastResortFailureShare = 0.5;
  static constexpr Duration CheckInterval = std::chrono::milliseconds(300);
  /// A break so soon after a passed check, and before HealthyAnswers answers,
  /// is a relapse. Each relapse doubles the penalty during which the endpoint
  /// stays suspect, from the first to the longest.
  static constexpr Duration RelapseWithin = std::chrono::seconds(5);
  static constexpr Duration FirstPenalty = std::chrono::milliseconds(500);
  static constexpr Duration LongestPenalty = std::chrono::seconds(4);
  /// Health checks that fail for this long may be wrong: the endpoint then gets
  /// a trial request, and again each time this much has passed.
  static constexpr Duration TrialAfter = std::chrono::seconds(2);
  /// Weight of the latest attempt in the share of failures.
  static constexpr double LatestWeight = 0.1;

private:
  struct State {
    double FailureShare = 0;
    /// Time of the latest attempt that is included in FailureShare.
    TimePoint FailureAt{};
    unsigned AnsweredInRow = 0;
    unsigned AnsweredSinceRestored = 0;
    bool Suspect = false;
    TimePoint NextCheck{};
    TimePoint NextTrial{};
    TimePoint RestoredAt{};
    /// A passed check restores trust from then on.
    TimePoint TrustFrom{};
    Duration Penalty{};
    bool LastCheckPassed = false;
    bool CheckRequested = false;
  };

  void restoreTrust(State &S);
  double failureShare(const State &S) const;

  Runtime Runtime_;
  std::unordered_map<EndpointKey, State> States_;
};

} // namespace celerybeam

#endif
