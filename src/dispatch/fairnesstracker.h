#ifndef CELERYBEAM_DISPATCH_FAIRNESSTRACKER_H
#define CELERYBEAM_DISPATCH_FAIRNESSTRACKER_H

#include <map>
#include <unordered_map>

#include "blackboard/idtypes.h"
#include "framework/customerkey.h"
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
/// first that cannot be on time", "urgent requests alone fill the endpoints"
/// and "more urgent customers alone fill the endpoints". A class that is served
/// far less often than the class with priority over it is underserved, and is
/// then placed in order of arrival with that class. Not thread-safe.
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
  /// \param MostUrgent  the first rank to compare with.
  bool isRankUnderserved(const ServiceClass &Class,
                         unsigned MostUrgent = 0) const;

  /// Records that a customer's request arrived and was admitted or refused.
  /// Customers without a request for Memory are forgotten.
  void recordCustomer(const PoolName &Pool, const CustomerId &Customer,
                      bool Admitted);
  /// Records that a customer's admitted request was refused later.
  void recordLateRefusal(const PoolName &Pool, const CustomerId &Customer);
  /// Whether a customer is served less than this share as often as all
  /// customers.
  bool isCustomerUnderserved(const PoolName &Pool, const CustomerId &Customer,
                             double Ratio = MinCustomerRatio) const;

  /// Minimum ratio between a class's share of served requests and that of the
  /// class it is compared with. Callers accept a ratio of no less than 0.5;
  /// the margin covers the requests that are sent to an endpoint and fail.
  static constexpr double MinRatio = 0.6;
  /// The same ratio between a customer and all customers. Below the first, a
  /// customer is to share with the most urgent ones. Below the second, which
  /// leaves a margin to the promised quarter, it is to precede them.
  static constexpr double MinCustomerRatio = 0.35;
  static constexpr double LeastCustomerRatio = 0.3;
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
  Counts decayed(const Counts &C) const;
  void record(Counts &C, bool Admitted) const;
  static bool isUnderserved(const Counts &Own, const Counts &Others,
                            double Ratio = MinRatio);

  Runtime Runtime_;
  struct CustomerCounts {
    Counts All;
    std::unordered_map<CustomerId, Counts> Each;
    TimePoint ExpiredAt{};
  };

  std::map<ServiceClass, Counts> Classes_;
  std::map<PoolName, CustomerCounts> Customers_;
};

} // namespace celerybeam

#endif
