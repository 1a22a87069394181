#ifndef CELERYBEAM_DISPATCH_FAIRNESSTRACKER_H
#define CELERYBEAM_DISPATCH_FAIRNESSTRACKER_H

#include <map>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// A class of requests that compete for the slots of one pool.
struct ServiceClass {
  PoolName Pool;
  /// 0 is the most urgent.
  unsigned Rank = 0;
  /// Whether the prefill takes much of the latency target.
  bool Long = false;
  auto operator<=>(const ServiceClass &) const = default;
};

/// Compares how often classes of requests are served.
///
/// Handles these load patterns: "under overload the longest prompts are the
/// first that cannot be on time" and "urgent requests alone fill the
/// endpoints". A class that is served far less often than the class with
/// priority over it is underserved, and is then placed in order of arrival with
/// that class. Not thread-safe.
class FairnessTracker {
public:
  explicit FairnessTracker(Runtime R) : Runtime_(std::move(R)) {}

  /// Records that a request arrived and was admitted or refused.
  void recordDecision(const ServiceClass &Class, bool Admitted);
  /// Records that an admitted request was refused later.
  void recordLateRefusal(const ServiceClass &Class);

  /// Whether long prompts are served too seldom compared with the other prompts
  /// of their rank.
  bool isLongUnderserved(const ServiceClass &Class) const;
  /// Whether a rank is served too seldom compared with the more urgent ones.
  bool isRankUnderserved(const ServiceClass &Class) const;

  /// Minimum ratio between a class's share of served requests and that of the
  /// class it is compared with. Callers accept a ratio of no less than 0.5;
  /// the margin covers the requests that are sent to an endpoint and fail.
  static constexpr double MinRatio = 0.6;
  /// Time constant of the counts: longer than a peak of callers, so that a
  /// class that was served well before the peak has lower priority during it.
  static constexpr Duration Memory = std::chrono::seconds(60);

private:
  struct Counts {
    double Arrived = 0;
    double Served = 0;
    TimePoint At{};
  };

  double weightSince(TimePoint At) const;
  void add(const ServiceClass &Class, Counts &Sum) const;
  static bool isUnderserved(const Counts &Own, const Counts &Others);

  Runtime Runtime_;
  std::map<ServiceClass, Counts> Classes_;
};

} // namespace celerybeam

#endif
