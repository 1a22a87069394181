#include "metrics/internal/distribution.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace celerybeam {

Distribution::Distribution(const DistributionScale &Scale)
    : Counts_(boost::histogram::make_histogram_with(
          std::vector<double>(),
          Axis(Scale.Buckets, Scale.Lowest, Scale.Highest))) {}

void Distribution::add(double Value) {
  // Zero falls below all buckets, since the axis is logarithmic.
  Counts_(std::max(Value, 0.0));
  Sum_ += Value;
}

void Distribution::merge(const Distribution &Other) {
  // Both have the same bounds, so cells are added one by one.
  std::transform(Counts_.begin(), Counts_.end(), Other.Counts_.begin(),
                 Counts_.begin(), std::plus<>());
  Sum_ += Other.Sum_;
}

void Distribution::write(PrometheusText &Text, const std::string &Name,
                         const MetricLabels &Labels) const {
  const auto &Bounds = Counts_.axis();
  // The first cell counts values below the lowest bound, the last one those
  // above the highest.
  double Count = 0;
  int Cell = 0;
  std::vector<CumulativeBucket> Buckets;
  for (double InCell : Counts_) {
    Count += InCell;
    if (Cell <= Bounds.size())
      Buckets.push_back({Bounds.value(Cell), Count});
    ++Cell;
  }
  Text.addHistogram(Name, Labels, Buckets, Count, Sum_);
}

} // namespace celerybeam
