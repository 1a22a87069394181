#ifndef CELERYBEAM_DISPATCH_SHAREDRETRYBUDGET_H
#define CELERYBEAM_DISPATCH_SHAREDRETRYBUDGET_H

#include <array>
#include <cstdint>
#include <map>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Limits on the extra sends (retries) of all hosts together, in any window.
struct RetryBudgetBounds {
  /// Extra sends for each request.
  double Ratio = 0.2;
  Duration Window = std::chrono::seconds(10);
  /// Extra sends beyond that, over all hosts.
  double Slack = 0;
};

/// This host's share of the extra sends to a pool.
///
/// Handles this load pattern: "endpoints fail and every host retries at once".
/// The shares of all hosts add up to the limit without a message between them,
/// since each counts its own requests and an equal part of the slack. Not
/// thread-safe.
class SharedRetryBudget {
public:
  SharedRetryBudget(Runtime R, RetryBudgetBounds Bounds);

  void setBounds(const RetryBudgetBounds &Bounds) { Bounds_ = Bounds; }

  /// Counts a request for the pool.
  void request(const PoolName &Pool);
  /// Takes one extra send. \param Hosts  number of hosts that share the slack.
  /// \return false when the share is used up.
  bool take(const PoolName &Pool, std::size_t Hosts);

private:
  static constexpr std::size_t Slices = 10;
  struct Slice {
    std::int64_t Number = -1;
    double Requests = 0;
    double Extra = 0;
  };
  /// One more than a window has: the oldest slice is still in it in part.
  using Ring = std::array<Slice, Slices + 1>;

  Slice &current(const PoolName &Pool);
  std::int64_t sliceNumber() const;

  Runtime Runtime_;
  RetryBudgetBounds Bounds_;
  std::map<PoolName, Ring> Rings_;
};

} // namespace celerybeam

#endif
