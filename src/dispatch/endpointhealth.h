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
  /// It answered with a failure of its own or turned the request away.
  Failed,
  /// No connection, a reset, silence, or bytes that are no answer.
  Broken,
  /// Another endpoint answered at its address.
  Moved,
  /// It did not run the request and said for how long it wants none.
  TurnedAway,
};

/// Which endpoints get ordinary traffic, from what this host has seen itself.
///
/// Answers to endpoints that crash, go dark, or fail part of their requests
/// while their health check passes, and to health checks that are false either
/// way. A broken endpoint gets only health checks until one succeeds, and the
/// longer the sooner it broke again; while they fail it gets a trial now and
/// then. One that fails often costs more. Not thread-safe.
class EndpointHealth {
public:
  explicit EndpointHealth(Runtime R) : Runtime_(std::move(R)) {}

  void ended(const EndpointKey &Endpoint, AttemptOutcome Outcome);
  /// Gives it nothing until a health check has succeeded.
  void distrust(const EndpointKey &Endpoint);
  /// A health check ended.
  void checked(const EndpointKey &Endpoint, bool Healthy);

  /// Whether requests may be sent to it.
  bool isTrusted(const EndpointKey &Endpoint) const;
  /// Whether one that is not trusted may get a request that can be repeated.
  bool mayTry(const EndpointKey &Endpoint) const;
  /// It got that request.
  void tried(const EndpointKey &Endpoint);
  /// Share of late attempts that failed, in [0, 1].
  double failureShare(const EndpointKey &Endpoint) const;
  /// Endpoints whose next health check is due; counts it as begun.
  std::vector<EndpointKey> dueForCheck();
  void forget(const EndpointKey &Endpoint) { States_.erase(Endpoint); }

  /// Broken attempts in a row after which an endpoint is not trusted.
  static constexpr unsigned BrokenLimit = 1;
  static constexpr Duration CheckInterval = std::chrono::milliseconds(300);
  /// A break so soon after a good check is a relapse; each one doubles the time
  /// without trust, from the first to the longest.
  static constexpr Duration RelapseWithin = std::chrono::seconds(5);
  static constexpr Duration FirstPenalty = std::chrono::milliseconds(500);
  static constexpr Duration LongestPenalty = std::chrono::seconds(4);
  /// Checks that fail for this long may be false: a trial, and then as often.
  static constexpr Duration TrialAfter = std::chrono::seconds(2);
  /// Weight of the latest attempt in the share of failures.
  static constexpr double LatestWeight = 0.1;

private:
  struct State {
    double FailureShare = 0;
    unsigned BrokenInRow = 0;
    bool Suspect = false;
    TimePoint NextCheck{};
    TimePoint NextTrial{};
    TimePoint RestoredAt{};
    /// A good check counts from then on.
    TimePoint TrustFrom{};
    Duration Penalty{};
  };

  void restore(State &S);

  Runtime Runtime_;
  std::unordered_map<EndpointKey, State> States_;
};

} // namespace celerybeam

#endif
