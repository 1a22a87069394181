#include "dispatch/regionoutlook.h"

#include "framework/stablehash.h"

namespace celerybeam {

std::uint64_t poolHash(const PoolName &Pool) { return stableHash(Pool.str()); }

void RegionOutlook::heard(const RegionId &Region, const PoolOutlook &Outlook) {
  Entries_[{Region, Outlook.Pool}] = {Outlook, Runtime_.Now(), {}};
}

void RegionOutlook::sent(const RegionId &Region, const PoolName &Pool,
                         Duration OwnTime) {
  auto Found = Entries_.find({Region, poolHash(Pool)});
  if (Found != Entries_.end())
    Found->second.SentSince += OwnTime;
}

std::optional<Duration> RegionOutlook::wait(const RegionId &Region,
                                            const PoolName &Pool) const {
  auto Found = Entries_.find({Region, poolHash(Pool)});
  if (Found == Entries_.end() || Found->second.Heard.Endpoints == 0 ||
      Runtime_.Now() - Found->second.At > MaxAge)
    return std::nullopt;
  const Entry &E = Found->second;
  return E.Heard.Wait + E.SentSince / E.Heard.Endpoints;
}

} // namespace celerybeam
