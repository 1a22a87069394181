#ifndef CELERYBEAM_METRICS_INTERNAL_TENANTTABLE_H
#define CELERYBEAM_METRICS_INTERNAL_TENANTTABLE_H

#include <cstdint>
#include <unordered_map>

#include "metrics/internal/requestseries.h"

namespace celerybeam {

/// Series of the tenants with most requests and of all others together. Not
/// thread-safe.
///
/// Requests are counted by the space-saving algorithm over more tenants than
/// have series. A tenant gets the series of the least one when it has clearly
/// more requests; what that one had recorded goes to the rest.
class TenantTable {
public:
  explicit TenantTable(std::size_t SeriesLimit);

  void record(const RequestSample &Sample);

  /// Writes each tenant's series; the rest is added to Rest instead.
  void write(PrometheusText &Text, TenantSeries &Rest) const;

  std::size_t size() const { return Series_.size(); }

private:
  /// An estimated count and by how much it may be too high.
  struct Estimate {
    std::uint64_t Count = 0;
    std::uint64_t Error = 0;

    std::uint64_t certain() const { return Count - Error; }
  };

  Estimate &count(const TenantId &Tenant);
  void age();
  TenantSeries &seriesFor(const TenantId &Tenant, const Estimate &Counted);
  const TenantId *leastWithSeries() const;

  const std::size_t SeriesLimit_;
  const std::size_t CountLimit_;
  std::uint64_t SinceAging_ = 0;
  std::unordered_map<TenantId, Estimate> Counts_;
  std::unordered_map<TenantId, TenantSeries> Series_;
  TenantSeries Rest_;
};

} // namespace celerybeam

#endif
