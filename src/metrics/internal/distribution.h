#ifndef CELERYBEAM_METRICS_INTERNAL_DISTRIBUTION_H
#define CELERYBEAM_METRICS_INTERNAL_DISTRIBUTION_H

#include <string>
#include <utility>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "metrics/internal/prometheustext.h"

namespace celerybeam {

/// Range and number of buckets of a distribution; the bucket bounds grow by a
/// constant factor.
struct DistributionScale {
  unsigned Buckets;
  double Lowest;
  double Highest;
};

/// A histogram of positive values, and their sum. Not thread-safe.
class Distribution {
public:
  explicit Distribution(const DistributionScale &Scale);

  void add(double Value);

  /// Adds all values of another distribution with the same scale.
  void merge(const Distribution &Other);

  void write(PrometheusText &Text, const std::string &Name,
             const MetricLabels &Labels) const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram_with(
      std::vector<double>(), std::declval<Axis>()));

  Histogram Counts_;
  double Sum_ = 0;
};

} // namespace celerybeam

#endif
