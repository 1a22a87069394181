#ifndef CELERYBEAM_DISPATCH_CUSTOMERLIMITS_H
#define CELERYBEAM_DISPATCH_CUSTOMERLIMITS_H

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "dispatch/descriptor.h"
#include "fleet/fleetview.h"
#include "fleet/hostregistry.h"
#include "limits/limitshares.h"

namespace celerybeam {

/// What a request has tried to pass its customer's limit.
struct LimitAttempt {
  std::optional<TimePoint> Begun;
  /// The region whose part is tried, in the order of CustomerLimits, and
  /// whether a larger share of it has been requested.
  std::size_t Part = 0;
  bool HasRequested = false;
  /// Whether an allocator did not reply in time.
  bool Unanswered = false;
  std::optional<Duration> RetryAfter;
  /// What the request has taken.
  std::optional<LimitUse> Taken;
};

/// Result of a try to pass a limit.
struct LimitVerdict {
  enum class Kind {
    Passed,
    /// A larger share was requested; try again after PollInterval.
    Wait,
    /// The customer's limit is used up.
    OverLimit,
    /// No share could be had although the limit may have room.
    Unavailable,
  };
  Kind What = Kind::Passed;
  /// Unless passed: when the request has a chance.
  Duration RetryAfter{};
};

/// Limits what all hosts together let run for each customer.
///
/// Handles these load patterns: "one customer sends many times its usual, at
/// few hosts or at all", and "hosts are killed, cut off or stand still while
/// they hold a part of the limit". Each region owns an equal part of each
/// limit, for which one of its placers grants shares for a limited time, to the
/// hosts of all regions; a host asks its own region first. So regions that are
/// cut off from each other never exceed the limit together, and a customer
/// whose callers are all in one region can use nearly all of it. A placer that
/// hears less than most hosts of its region grants nothing: another one may,
/// beyond a partition.
///
/// Holds state only for customers in use. Not thread-safe.
class CustomerLimits {
public:
  /// Sends a note to the host with this IP address.
  using SendHook =
      std::function<void(const std::string &Ip, const ShareNote &Note)>;

  /// \param Regions  all regions that may have hosts.
  CustomerLimits(Runtime R, const FleetView &Fleet, const HostRegistry &Hosts,
                 std::set<RegionId> Regions, SendHook Send);
  ~CustomerLimits();

  /// Tries to pass the limit of the request's customer; passes at once where
  /// there is none.
  LimitVerdict pass(const RequestDescriptor &Request, LimitAttempt &Attempt);
  /// Ends the request. \param MayHaveRun  whether an endpoint may have run it;
  /// otherwise it gives back what it took.
  void end(LimitAttempt &Attempt, bool MayHaveRun);

  /// Handles a note of another host.
  void received(const std::string &Ip, const ShareNote &Note);
  /// Renews shares. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(50);
  static constexpr Duration PollInterval = std::chrono::milliseconds(5);

  /// What the request counts as under a limit.
  static std::uint32_t costOf(const RequestDescriptor &Request,
                              const CustomerLimit &Limit);

  /// Hosts that cannot reach an allocator go on with their shares for this
  /// long: partitions and restarts of some seconds are common.
  static constexpr Duration ShareLifetime = std::chrono::seconds(6);
  /// Longest wait for allocators: two round trips to another region, and a
  /// margin.
  static constexpr Duration MaxShareWait = std::chrono::milliseconds(300);
  /// Retry-After while no allocator replies.
  static constexpr Duration UnavailableRetryAfter =
      std::chrono::milliseconds(500);
  /// Bounds of the Retry-After above the limit.
  static constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
  static constexpr Duration MaxRetryAfter = std::chrono::seconds(5);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
