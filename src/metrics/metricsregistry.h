#ifndef CELERYBEAM_METRICS_METRICSREGISTRY_H
#define CELERYBEAM_METRICS_METRICSREGISTRY_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "blackboard/tabletypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// The measurements of one request that has ended.
struct RequestSample {
  CustomerId Customer;
  RouteName Route;
  RequestClass Class = RequestClass::Short;
  /// "ok" or the name of an error kind.
  std::string Outcome = "ok";
  Duration QueueWait{};
  /// Time from the request's start; zero when no token was received.
  Duration FirstToken{};
  Duration Total{};
  std::uint32_t Attempts = 0;
  std::uint32_t Tokens = 0;
  bool ForwardedOut = false;
};

/// One label of a counter or gauge.
struct MetricLabel {
  std::string Name;
  std::string Value;
};

using MetricLabels = std::vector<MetricLabel>;

/// Limits on the number of series.
struct MetricsLimits {
  /// Customers with their own series, namely those with most requests; the
  /// others are counted together as customer "rest".
  std::size_t Customers = 200;
  /// Pairs of route and class with their own series; further ones are
  /// counted together as route "rest".
  std::size_t Routes = 400;
  /// Label sets of all counters and gauges; further ones are dropped.
  std::size_t Values = 2000;
};

/// Holds the histograms, counters and gauges of this host and writes them for
/// the metrics collector. Their number is limited.
///
/// State is kept in shards, each with its own lock. Thread-safe.
class MetricsRegistry {
public:
  explicit MetricsRegistry(MetricsLimits Limits = {});
  ~MetricsRegistry();

  /// Records a request in the series of its route and class and of its
  /// customer.
  void record(const RequestSample &Sample);

  /// Adds to a counter; by convention its name ends in "_total". A name keeps
  /// its first help text.
  void add(const std::string &Name, const std::string &Help,
           const MetricLabels &Labels = {}, double Amount = 1);

  /// Sets a gauge.
  void set(const std::string &Name, const std::string &Help,
           const MetricLabels &Labels, double Value);

  /// Registers a gauge or counter that is read on each call of text(), while
  /// no lock is held. A name that ends in "_total" is a counter.
  void addSource(const std::string &Name, const std::string &Help,
                 std::function<double()> Read);

  /// All metrics in the Prometheus text format, version 0.0.4.
  std::string text() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
