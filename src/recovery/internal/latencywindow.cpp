#include "recovery/latencywindow.h"

#include <algorithm>

namespace celerybeam {

void LatencyWindow::add(Duration Sample) {
  if (Samples_.size() < Capacity) {
    Samples_.push_back(Sample);
    return;
  }
  Samples_[Next_] = Sample;
  Next_ = (Next_ + 1) % Capacity;
}

std::optional<Duration> LatencyWindow::quantile(double Q) const {
  if (Samples_.size() < MinSamples)
    return std::nullopt;
  std::vector<Duration> Sorted = Samples_;
  auto Last = static_cast<double>(Sorted.size() - 1);
  auto Nth = Sorted.begin() +
             static_cast<std::ptrdiff_t>(std::clamp(Q, 0., 1.) * Last);
  std::nth_element(Sorted.begin(), Nth, Sorted.end());
  return *Nth;
}

} // namespace celerybeam
