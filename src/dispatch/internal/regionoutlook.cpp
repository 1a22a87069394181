#include "dispatch/regionoutlook.h"

#include <algorithm>

#include "framework/stablehash.h"

namespace celerybeam {

std::uint64_t poolHash(const PoolName &Pool) { return stableHash(Pool.str()); }

void RegionOutlook::heard(const RegionId &Region, const HostId &Placer,
                          const PoolOutlook &Outlook) {
  TimePoint Now = Runtime_.Now();
  auto &Placers = Pools_[{Region, Outlook.Pool}].Placers;
  std::erase_if(Placers,
                [&](const auto &E) { return Now - E.second.At > MaxAge; });
  Placers[Placer] = {Outlook, Now};
}

void RegionOutlook::sent(const RegionId &Region, const PoolName &Pool,
                         Duration OwnTime) {
  auto Found = Pools_.find({Region, poolHash(Pool)});
  if (Found == Pools_.end())
    return;
  PoolState &S = Found->second;
  TimePoint Now = Runtime_.Now();
  Duration Before = S.Sent.empty() ? S.TrimmedWork : S.Sent.back().Work;
  S.Sent.push_back({Now, Before + OwnTime});
  while (Now - S.Sent.front().At > MaxAge + NewsLag) {
    S.TrimmedWork = S.Sent.front().Work;
    S.Sent.pop_front();
  }
}

Duration RegionOutlook::sentSince(const PoolState &S, TimePoint From) {
  if (S.Sent.empty())
    return {};
  auto First = std::lower_bound(
      S.Sent.begin(), S.Sent.end(), From,
      [](const SentUpTo &Sum, TimePoint At) { return Sum.At < At; });
  Duration Before =
      First == S.Sent.begin() ? S.TrimmedWork : std::prev(First)->Work;
  return S.Sent.back().Work - Before;
}

std::optional<Duration> RegionOutlook::wait(const RegionId &Region,
                                            const PoolName &Pool,
                                            Duration OwnTime) const {
  auto Found = Pools_.find({Region, poolHash(Pool)});
  if (Found == Pools_.end())
    return std::nullopt;
  const PoolState &S = Found->second;
  TimePoint Now = Runtime_.Now();
  Duration::rep Places = 0;
  for (const auto &[Placer, E] : S.Placers)
    if (Now - E.At <= MaxAge)
      Places += E.Heard.Places;
  if (Places == 0)
    return std::nullopt;
  // Work that is ahead at all places together.
  Duration Ahead{};
  for (const auto &[Placer, E] : S.Placers) {
    if (Now - E.At > MaxAge)
      continue;
    TimePoint Known = E.At - NewsLag;
    Duration Sent = sentSince(S, Known) * E.Heard.Places / Places;
    // Free places take a request each at once, and go on to the next.
    Duration Taken = (Now - Known + OwnTime) * E.Heard.FreePlaces;
    Ahead += E.Heard.Wait * E.Heard.Places +
             std::max(Duration::zero(), Sent - Taken);
  }
  return Ahead / Places;
}

Duration RegionOutlook::lateWait(const RegionId &Region,
                                 const PoolName &Pool) const {
  auto Found = Pools_.find({Region, poolHash(Pool)});
  if (Found == Pools_.end())
    return {};
  Duration Sum{};
  Duration::rep Places = 0;
  for (const auto &[Placer, E] : Found->second.Placers) {
    if (Runtime_.Now() - E.At > MaxAge)
      continue;
    Sum += E.Heard.LateWait * E.Heard.Places;
    Places += E.Heard.Places;
  }
  return Places > 0 ? Sum / Places : Duration();
}

} // namespace celerybeam
