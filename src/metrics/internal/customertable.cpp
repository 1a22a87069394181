#include "metrics/internal/customertable.h"

#include <algorithm>

namespace celerybeam {

namespace {

/// Number of customers whose requests are counted, for each one with series.
constexpr std::size_t CountsPerSeries = 4;
/// A customer replaces the one with fewest requests among those with series
/// when it certainly has more than this many times its requests: its count less
/// the possible error is compared.
constexpr std::uint64_t TakeoverFactor = 2;
/// Counts are halved after this many requests per counted customer, so that
/// customers that are no longer active can be replaced.
constexpr std::uint64_t AgingRequestsPerCount = 100;

} // namespace

CustomerTable::CustomerTable(std::size_t SeriesLimit)
    : SeriesLimit_(std::max<std::size_t>(SeriesLimit, 1)),
      CountLimit_(SeriesLimit_ * CountsPerSeries) {}

void CustomerTable::record(const RequestSample &Sample) {
  const Estimate &Counted = count(Sample.Customer);
  seriesFor(Sample.Customer, Counted).record(Sample);
  if (++SinceAging_ >= AgingRequestsPerCount * CountLimit_)
    age();
}

CustomerTable::Estimate &CustomerTable::count(const CustomerId &Customer) {
  if (auto It = Counts_.find(Customer); It != Counts_.end()) {
    ++It->second.Count;
    return It->second;
  }
  Estimate Start{1, 0};
  if (Counts_.size() >= CountLimit_) {
    auto Smallest = std::min_element(Counts_.begin(), Counts_.end(),
                                     [](const auto &L, const auto &R) {
                                       return L.second.Count < R.second.Count;
                                     });
    Start = {Smallest->second.Count + 1, Smallest->second.Count};
    Counts_.erase(Smallest);
  }
  return Counts_.emplace(Customer, Start).first->second;
}

CustomerSeries &CustomerTable::seriesFor(const CustomerId &Customer,
                                         const Estimate &Counted) {
  if (auto It = Series_.find(Customer); It != Series_.end())
    return It->second;
  if (Series_.size() < SeriesLimit_)
    return Series_[Customer];
  const CustomerId *Smallest = smallestWithSeries();
  auto SmallestCounted = Counts_.find(*Smallest);
  std::uint64_t Bound =
      SmallestCounted == Counts_.end() ? 0 : SmallestCounted->second.Count;
  if (Counted.guaranteed() <= TakeoverFactor * Bound)
    return Rest_;
  auto Node = Series_.extract(*Smallest);
  Rest_.merge(Node.mapped());
  return Series_[Customer];
}

const CustomerId *CustomerTable::smallestWithSeries() const {
  auto CountOf = [this](const CustomerId &Customer) {
    auto It = Counts_.find(Customer);
    return It == Counts_.end() ? 0 : It->second.Count;
  };
  auto Smallest = std::min_element(Series_.begin(), Series_.end(),
                                   [&](const auto &L, const auto &R) {
                                     return CountOf(L.first) < CountOf(R.first);
                                   });
  return &Smallest->first;
}

void CustomerTable::age() {
  SinceAging_ = 0;
  for (auto &[Customer, Counted] : Counts_) {
    Counted.Count /= 2;
    Counted.Error /= 2;
  }
}

void CustomerTable::write(PrometheusText &Text, CustomerSeries &Rest) const {
  for (const auto &[Customer, Series] : Series_)
    Series.write(Text, {{"customer", Customer.str()}});
  Rest.merge(Rest_);
}

} // namespace celerybeam
