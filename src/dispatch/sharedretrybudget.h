#ifndef CELERYBEAM_DISPATCH_SHAREDRETRYBUDGET_H
#define CELERYBEAM_DISPATCH_SHAREDRETRYBUDGET_H

#include <array>
#include <cstdint>
#include <map>

#include "blackboard/idtypes.h"
#include "dispatch/retrydecision.h"
#include "fleet/hostregistry.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Limits on the extra sends (retries) of all hosts together, in any window.
struct RetryBudgetBounds {
  /// Extra sends for each request; see SharedRetryBudget for those that count.
  double Ratio = 0.2;
  Duration Window = std::chrono::seconds(10);
  /// Extra sends beyond that, over all hosts.
  double Slack = 0;
};

/// This host's share of the extra sends to a pool.
///
/// Handles this load pattern: "endpoints fail and every host retries at once".
/// The shares of all hosts add up to the limit without a message between them,
/// since each counts its own requests and an equal part of the slack. They do
/// so only because all hosts count the requests of the same times: load that
/// moves between hosts must not count in an earlier window at one of them and
/// in a later one at another. A part of the limit follows the requests of the
/// window before, so that retries need not wait for new requests; the rest
/// follows those of the window itself, for hosts whose load has just begun.
///
/// A process takes no slack before it knows how many hosts share it, and none
/// while sends of its predecessor on the host may count. Not thread-safe.
class SharedRetryBudget {
public:
  SharedRetryBudget(Runtime R, RetryBudgetBounds Bounds);

  void setBounds(const RetryBudgetBounds &Bounds) { Bounds_ = Bounds; }

  /// Counts a request for the pool.
  void request(const PoolName &Pool);
  /// Windows until a process takes a share of the slack, from its start and
  /// from when it knows the number of hosts: one in which its predecessor's
  /// sends still count, and one in which the others learn of a host that is new
  /// and so divide by one host less.
  static constexpr int WindowsWithoutSlack = 2;

  /// Whether the share has room for one more extra send.
  /// \param Sharing  the hosts that share the slack.
  RetryBudgetCheck check(const PoolName &Pool, const FleetSize &Sharing);
  /// Counts an extra send that is made now, unless the share is used up. One
  /// that is counted before may arrive in a later window.
  RetryBudgetCheck take(const PoolName &Pool, const FleetSize &Sharing);

private:
  /// Slices of a window.
  static constexpr std::size_t Slices = 40;
  /// Part of the limit that follows the requests of the window before.
  static constexpr double EarlierShare = 1.0 / 3;
  struct Slice {
    std::int64_t Number = -1;
    double Requests = 0;
    double Extra = 0;
  };
  /// The oldest window that is not over, and the window before it.
  using Ring = std::array<Slice, 2 * Slices + 1>;

  /// This host's share of the slack.
  double slackOf(const FleetSize &Sharing) const;
  /// Whether one more send keeps the limit in each window that is not over.
  bool fits(const Ring &Slots, double Slack) const;
  Slice &current(const PoolName &Pool);
  std::int64_t sliceNumber() const;

  Runtime Runtime_;
  TimePoint StartedAt_;
  RetryBudgetBounds Bounds_;
  std::map<PoolName, Ring> Rings_;
};

} // namespace celerybeam

#endif
