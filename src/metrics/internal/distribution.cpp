#include "metrics/internal/distribution.h"

#include <algorithm>
#include <vector>

namespace celerybeam {

Distribution::Distribution(const DistributionScale &Scale)
    : Counts_(boost::histogram::make_histogram(
          Axis(Scale.Buckets, Scale.Lowest, Scale.Highest))) {}

void Distribution::add(double Value) {
  // The logarithm of zero is below all buckets.
  Counts_(std::max(Value, 0.0));
  Sum_ += Value;
}

void Distribution::merge(const Distribution &Other) {
  Counts_ += Other.Counts_;
  Sum_ += Other.Sum_;
}

void Distribution::write(PrometheusText &Text, const std::string &Name,
                         const MetricLabels &Labels) const {
  const auto &Bounds = Counts_.axis();
  // Cell -1 holds what lies below the lowest bound.
  double Count = Counts_.at(-1);
  std::vector<CumulativeBucket> Buckets = {{Bounds.value(0), Count}};
  for (int I = 0; I < Bounds.size(); ++I) {
    Count += Counts_.at(I);
    Buckets.push_back({Bounds.value(I + 1), Count});
  }
  Count += Counts_.at(Bounds.size());
  Text.addHistogram(Name, Labels, Buckets, Count, Sum_);
}

} // namespace celerybeam
