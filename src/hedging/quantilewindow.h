#ifndef CELERYBEAM_HEDGING_QUANTILEWINDOW_H
#define CELERYBEAM_HEDGING_QUANTILEWINDOW_H

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "framework/runtime.h"

namespace celerybeam {

/// Sliding window of the latest samples; computes quantiles over them. Not
/// thread-safe.
template <typename T> class QuantileWindow {
public:
  /// Maximum number of samples; a further one replaces the oldest.
  static constexpr std::size_t Capacity = 512;
  /// Number of samples from which quantiles are available.
  static constexpr std::size_t MinSamples = 20;

  void add(T Sample) {
    if (Samples_.size() < Capacity) {
      Samples_.push_back(Sample);
      return;
    }
    Samples_[Next_] = Sample;
    Next_ = (Next_ + 1) % Capacity;
  }

  /// The quantile Q, in [0, 1]; empty with fewer than MinSamples samples.
  std::optional<T> quantile(double Q) const {
    if (Samples_.size() < MinSamples)
      return std::nullopt;
    std::vector<T> Sorted = Samples_;
    auto Last = static_cast<double>(Sorted.size() - 1);
    auto Nth = Sorted.begin() +
               static_cast<std::ptrdiff_t>(std::clamp(Q, 0., 1.) * Last);
    std::nth_element(Sorted.begin(), Nth, Sorted.end());
    return *Nth;
  }

private:
  std::vector<T> Samples_;
  std::size_t Next_ = 0;
};

using LatencyWindow = QuantileWindow<Duration>;

} // namespace celerybeam

#endif
