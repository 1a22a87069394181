#ifndef CELERYBEAM_METRICS_INTERNAL_CUSTOMERTABLE_H
#define CELERYBEAM_METRICS_INTERNAL_CUSTOMERTABLE_H

#include <cstdint>
#include <unordered_map>

#include "metrics/internal/requestseries.h"

namespace celerybeam {

/// Holds the series of the customers with most requests, and one for all other
/// customers together. Not thread-safe.
///
/// Requests are counted by the space-saving algorithm, over more customers than
/// have series. A customer with clearly more requests replaces the customer
/// with fewest; the values of the replaced one are merged into the rest.
class CustomerTable {
public:
  explicit CustomerTable(std::size_t SeriesLimit);

  void record(const RequestSample &Sample);

  /// Writes each customer's series; merges the rest into Rest.
  void write(PrometheusText &Text, CustomerSeries &Rest) const;

  std::size_t size() const { return Series_.size(); }

private:
  /// An estimated count and the most by which it may be too high.
  struct Estimate {
    std::uint64_t Count = 0;
    std::uint64_t Error = 0;

    std::uint64_t guaranteed() const { return Count - Error; }
  };

  Estimate &count(const CustomerId &Customer);
  void age();
  CustomerSeries &seriesFor(const CustomerId &Customer,
                            const Estimate &Counted);
  const CustomerId *smallestWithSeries() const;

  const std::size_t SeriesLimit_;
  const std::size_t CountLimit_;
  std::uint64_t SinceAging_ = 0;
  std::unordered_map<CustomerId, Estimate> Counts_;
  std::unordered_map<CustomerId, CustomerSeries> Series_;
  CustomerSeries Rest_;
};

} // namespace celerybeam

#endif
