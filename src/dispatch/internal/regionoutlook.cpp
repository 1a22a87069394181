#include "dispatch/regionoutlook.h"

#include "framework/stablehash.h"

namespace celerybeam {

std::uint64_t poolHash(const PoolName &Pool) { return stableHash(Pool.str()); }

void RegionOutlook::heard(const RegionId &Region, const HostId &Placer,
                          const PoolOutlook &Outlook) {
  TimePoint Now = Runtime_.Now();
  auto &Placers = Entries_[{Region, Outlook.Pool}];
  std::erase_if(Placers,
                [&](const auto &E) { return Now - E.second.At > MaxAge; });
  Placers[Placer] = {Outlook, Now, {}};
}

void RegionOutlook::sent(const RegionId &Region, const PoolName &Pool,
                         Duration OwnTime) {
  auto Found = Entries_.find({Region, poolHash(Pool)});
  if (Found == Entries_.end())
    return;
  auto Placers = static_cast<Duration::rep>(Found->second.size());
  for (auto &[Placer, E] : Found->second)
    E.SentSince += OwnTime / Placers;
}

std::optional<Duration> RegionOutlook::wait(const RegionId &Region,
                                            const PoolName &Pool) const {
  auto Found = Entries_.find({Region, poolHash(Pool)});
  if (Found == Entries_.end())
    return std::nullopt;
  Duration Sum{};
  Duration::rep Endpoints = 0;
  for (const auto &[Placer, E] : Found->second) {
    if (Runtime_.Now() - E.At > MaxAge)
      continue;
    Sum += E.Heard.Wait * E.Heard.Endpoints + E.SentSince;
    Endpoints += E.Heard.Endpoints;
  }
  if (Endpoints == 0)
    return std::nullopt;
  return Sum / Endpoints;
}

} // namespace celerybeam
