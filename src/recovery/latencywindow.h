#ifndef CELERYBEAM_RECOVERY_LATENCYWINDOW_H
#define CELERYBEAM_RECOVERY_LATENCYWINDOW_H

#include <cstddef>
#include <optional>
#include <vector>

#include "framework/runtime.h"

namespace celerybeam {

/// The quantiles of the latest samples of a latency.
///
/// Not thread-safe.
class LatencyWindow {
public:
  /// Samples held at most; the oldest is replaced.
  static constexpr std::size_t Capacity = 512;
  /// Samples needed before a quantile is told.
  static constexpr std::size_t MinSamples = 20;

  void add(Duration Sample);

  /// \param Q  in [0, 1]. Empty below MinSamples.
  std::optional<Duration> quantile(double Q) const;

private:
  std::vector<Duration> Samples_;
  std::size_t Next_ = 0;
};

} // namespace celerybeam

#endif
