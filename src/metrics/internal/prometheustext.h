#ifndef CELERYBEAM_METRICS_INTERNAL_PROMETHEUSTEXT_H
#define CELERYBEAM_METRICS_INTERNAL_PROMETHEUSTEXT_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "metrics/metricsregistry.h"

namespace celerybeam {

enum class MetricType { Counter, Gauge, Histogram };

/// One bucket: the number of values up to the upper bound.
struct CumulativeBucket {
  double UpperBound = 0;
  double Count = 0;
};

/// Collects series in any order and writes them grouped by metric, as the
/// Prometheus text format requires.
class PrometheusText {
public:
  void declare(const std::string &Name, std::string_view Help, MetricType Type);

  void addValue(const std::string &Name, const MetricLabels &Labels,
                double Value);

  /// \param Buckets  in rising order; the "+Inf" bucket is added.
  void addHistogram(const std::string &Name, const MetricLabels &Labels,
                    const std::vector<CumulativeBucket> &Buckets, double Count,
                    double Sum);

  std::string str() const;

private:
  struct Family {
    std::string Header;
    std::string Lines;
  };

  std::map<std::string, Family> Families_;
};

} // namespace celerybeam

#endif
