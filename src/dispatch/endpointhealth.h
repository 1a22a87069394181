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
/// then. One that fails often costs more.
///
/// Answers, too, to "the last endpoint of a service loses one answer in
/// thirty": one that answers most requests is not given up for a single break,
/// and one whose check was good is a last resort until its time without trust
/// is over. Not thread-safe.
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
  /// Has its health checked at once. It stays trusted unless the check fails.
  void doubt(const EndpointKey &Endpoint);
  /// Since a good check of one that was doubted or not trusted; very long when
  /// there was none.
  Duration sinceGoodCheck(const EndpointKey &Endpoint) const;
  /// Whether one that is not trusted is still better than nothing: it answers
  /// more requests than not, and its health check has succeeded since it broke.
  bool isLastResort(const EndpointKey &Endpoint) const;
  /// Whether one that is not trusted may get a request that can be repeated.
  bool mayTry(const EndpointKey &Endpoint) const;
  /// It got that request.
  void tried(const EndpointKey &Endpoint);
  /// Share of late attempts that failed, in [0, 1]; an old one counts less, so
  /// that an endpoint that got nothing for it is tried again.
  double failureShare(const EndpointKey &Endpoint) const;
  /// Whether that share is no more than requests of any service may fail by
  /// themselves.
  bool isSound(const EndpointKey &Endpoint) const;
  /// Endpoints whose next health check is due; counts it as begun.
  std::vector<EndpointKey> dueForCheck();
  void forget(const EndpointKey &Endpoint) { States_.erase(Endpoint); }

  /// A single break is passed over after so many answers in a row. One that is
  /// down breaks all that are in flight there at once.
  static constexpr unsigned SoundAnswers = 5;
  /// An endpoint that fails no larger share of its requests is sound.
  static constexpr double SoundFailureShare = 0.25;
  /// Time constant with which a share of failures is forgotten.
  static constexpr Duration FailureMemory = std::chrono::seconds(5);
  /// A last resort fails no larger share.
  static constexpr double LastResortFailureShare = 0.5;
  static constexpr Duration CheckInterval = std::chrono::milliseconds(300);
  /// A break so soon after a good check, and before so many answers, is a
  /// relapse; each one doubles the time without trust, from the first to the
  /// longest.
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
    /// Of the latest attempt that counts in it.
    TimePoint FailureAt{};
    unsigned AnsweredInRow = 0;
    unsigned AnsweredSinceRestored = 0;
    bool Suspect = false;
    TimePoint NextCheck{};
    TimePoint NextTrial{};
    TimePoint RestoredAt{};
    /// A good check counts from then on.
    TimePoint TrustFrom{};
    Duration Penalty{};
    bool CheckedGood = false;
    bool Doubted = false;
  };

  void restore(State &S);
  double failureShare(const State &S) const;

  Runtime Runtime_;
  std::unordered_map<EndpointKey, State> States_;
};

} // namespace celerybeam

#endif
