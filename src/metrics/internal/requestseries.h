#ifndef CELERYBEAM_METRICS_INTERNAL_REQUESTSERIES_H
#define CELERYBEAM_METRICS_INTERNAL_REQUESTSERIES_H

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "metrics/internal/distribution.h"
#include "metrics/internal/prometheustext.h"

namespace celerybeam {

/// The histograms and counters of one route and class.
class RouteSeries {
public:
  RouteSeries();

  void record(const RequestSample &Sample);
  void write(PrometheusText &Text, const MetricLabels &Labels) const;
  static void declare(PrometheusText &Text);

private:
  Distribution FirstToken_;
  Distribution TokenGap_;
  Distribution QueueWait_;
  Distribution Total_;
  Distribution Attempts_;
  Distribution Tokens_;
  std::map<std::string, std::uint64_t> Outcomes_;
  std::uint64_t Forwarded_ = 0;
};

/// The histograms and counters of one customer, coarser than those of a
/// route.
class CustomerSeries {
public:
  CustomerSeries();

  void record(const RequestSample &Sample);
  void merge(const CustomerSeries &Other);
  void write(PrometheusText &Text, const MetricLabels &Labels) const;
  static void declare(PrometheusText &Text);

private:
  Distribution FirstToken_;
  Distribution QueueWait_;
  Distribution Total_;
  std::uint64_t Succeeded_ = 0;
  std::uint64_t Failed_ = 0;
};

} // namespace celerybeam

#endif
