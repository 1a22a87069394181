#ifndef CELERYBEAM_DISPATCH_FAIRSHARES_H
#define CELERYBEAM_DISPATCH_FAIRSHARES_H

#include <map>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Requests that compete for the places of one pool.
struct ServiceClass {
  PoolName Pool;
  /// 0 is the most urgent.
  unsigned Rank = 0;
  /// Whether reading the prompt takes much of the latency target.
  bool Long = false;
  auto operator<=>(const ServiceClass &) const = default;
};

/// Compares how often classes of requests are served.
///
/// Answers to "under overload the longest prompts are the first that cannot be
/// on time" and to "urgent requests alone fill the endpoints": a class that is
/// served far less often than the one that goes before it is owed a share, and
/// is then placed in order of arrival with it. Not thread-safe.
class FairShares {
public:
  explicit FairShares(Runtime R) : Runtime_(std::move(R)) {}

  /// A request arrived and was admitted, or refused.
  void decided(const ServiceClass &Class, bool Admitted);
  /// One that was admitted was refused in the end.
  void failed(const ServiceClass &Class);

  /// Whether long prompts are served too seldom beside the others of their
  /// rank.
  bool isLengthOwed(const ServiceClass &Class) const;
  /// Whether a rank is served too seldom beside the more urgent ones.
  bool isRankOwed(const ServiceClass &Class) const;

  /// A class is served at least this often, over the one it is compared with.
  /// Half as often is the least that callers accept; some of those sent fail.
  static constexpr double LeastRatio = 0.6;
  /// Time constant of the counts: longer than a peak of callers, so that a
  /// class that was served well before gives way during it.
  static constexpr Duration Memory = std::chrono::seconds(60);

private:
  struct Counts {
    double Asked = 0;
    double Served = 0;
    TimePoint At{};
  };

  double weightSince(TimePoint At) const;
  void add(const ServiceClass &Class, Counts &Sum) const;
  static bool isOwed(const Counts &Own, const Counts &Others);

  Runtime Runtime_;
  std::map<ServiceClass, Counts> Classes_;
};

} // namespace celerybeam

#endif
