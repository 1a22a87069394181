#ifndef CELERYBEAM_RECOVERY_LATENCYWINDOW_H
#define CELERYBEAM_RECOVERY_LATENCYWINDOW_H

#include <cstddef>
#include <optional>
#include <vector>

#include "framework/runtime.h"

namespace celerybeam {

/// Sliding window of the latest samples of a latency; computes quantiles over
/// them. Not thread-safe.
class LatencyWindow {
public:
  /// Maximum number of samples; a further one replaces the oldest.
  static constexpr std::size_t Capacity = 512;
  /// Number of samples from which quantiles are available.
  static constexpr std::size_t MinSamples = 20;

  void add(Duration Sample);

  /// The quantile Q, in [0, 1]; empty with fewer than MinSamples samples.
  std::optional<Duration> quantile(double Q) const;

private:
  std::vector<Duration> Samples_;
  std::size_t Next_ = 0;
};

} // namespace celerybeam

#endif
