#include "metrics/internal/tenanttable.h"

#include <algorithm>

namespace celerybeam {

namespace {

/// Tenants counted for each one that has series.
constexpr std::size_t CountsPerSeries = 4;
/// How many times the requests of the least tenant another one must have
/// before it takes over the series.
constexpr std::uint64_t TakeoverFactor = 2;
/// Counts are halved after so many requests for each counted tenant, so that
/// tenants of the past give way.
constexpr std::uint64_t AgingRequestsPerCount = 100;

} // namespace

TenantTable::TenantTable(std::size_t SeriesLimit)
    : SeriesLimit_(std::max<std::size_t>(SeriesLimit, 1)),
      CountLimit_(SeriesLimit_ * CountsPerSeries) {}

void TenantTable::record(const RequestSample &Sample) {
  const Estimate &Counted = count(Sample.Tenant);
  seriesFor(Sample.Tenant, Counted).record(Sample);
  if (++SinceAging_ >= AgingRequestsPerCount * CountLimit_)
    age();
}

TenantTable::Estimate &TenantTable::count(const TenantId &Tenant) {
  if (auto It = Counts_.find(Tenant); It != Counts_.end()) {
    ++It->second.Count;
    return It->second;
  }
  Estimate Start{1, 0};
  if (Counts_.size() >= CountLimit_) {
    auto Least = std::min_element(Counts_.begin(), Counts_.end(),
                                  [](const auto &L, const auto &R) {
                                    return L.second.Count < R.second.Count;
                                  });
    Start = {Least->second.Count + 1, Least->second.Count};
    Counts_.erase(Least);
  }
  return Counts_.emplace(Tenant, Start).first->second;
}

TenantSeries &TenantTable::seriesFor(const TenantId &Tenant,
                                     const Estimate &Counted) {
  if (auto It = Series_.find(Tenant); It != Series_.end())
    return It->second;
  if (Series_.size() < SeriesLimit_)
    return Series_[Tenant];
  const TenantId *Least = leastWithSeries();
  auto LeastCounted = Counts_.find(*Least);
  std::uint64_t Bound =
      LeastCounted == Counts_.end() ? 0 : LeastCounted->second.Count;
  if (Counted.certain() <= TakeoverFactor * Bound)
    return Rest_;
  auto Node = Series_.extract(*Least);
  Rest_.merge(Node.mapped());
  return Series_[Tenant];
}

const TenantId *TenantTable::leastWithSeries() const {
  auto CountOf = [this](const TenantId &Tenant) {
    auto It = Counts_.find(Tenant);
    return It == Counts_.end() ? 0 : It->second.Count;
  };
  auto Least = std::min_element(Series_.begin(), Series_.end(),
                                [&](const auto &L, const auto &R) {
                                  return CountOf(L.first) < CountOf(R.first);
                                });
  return &Least->first;
}

void TenantTable::age() {
  SinceAging_ = 0;
  for (auto &[Tenant, Counted] : Counts_) {
    Counted.Count /= 2;
    Counted.Error /= 2;
  }
}

void TenantTable::write(PrometheusText &Text, TenantSeries &Rest) const {
  for (const auto &[Tenant, Series] : Series_)
    Series.write(Text, {{"tenant", Tenant.str()}});
  Rest.merge(Rest_);
}

} // namespace celerybeam
