#ifndef CELERYBEAM_METRICS_INTERNAL_CUSTOMERTABLE_H
#define CELERYBEAM_METRICS_INTERNAL_CUSTOMERTABLE_H

#include <cstdint>
#include <unordered_map>

#include "metrics/internal/requestseries.h"

namespace celerybeam {

/// Series of the customers with most requests and of all others together. Not
/// thread-safe.
///
/// Requests are counted by the space-saving algorithm over more customers than
/// have series. A customer gets the series of the least one when it has clearly
/// more requests; what that one had recorded goes to the rest.
class CustomerTable {
public:
  explicit CustomerTable(std::size_t SeriesLimit);

  void record(const RequestSample &Sample);

  /// Writes each customer's series; the rest is added to Rest instead.
  void write(PrometheusText &Text, CustomerSeries &Rest) const;

  std::size_t size() const { return Series_.size(); }

private:
  /// An estimated count and by how much it may be too high.
  struct Estimate {
    std::uint64_t Count = 0;
    std::uint64_t Error = 0;

    std::uint64_t certain() const { return Count - Error; }
  };

  Estimate &count(const CustomerId &Customer);
  void age();
  CustomerSeries &seriesFor(const CustomerId &Customer,
                            const Estimate &Counted);
  const CustomerId *leastWithSeries() const;

  const std::size_t SeriesLimit_;
  const std::size_t CountLimit_;
  std::uint64_t SinceAging_ = 0;
  std::unordered_map<CustomerId, Estimate> Counts_;
  std::unordered_map<CustomerId, CustomerSeries> Series_;
  CustomerSeries Rest_;
};

} // namespace celerybeam

#endif
