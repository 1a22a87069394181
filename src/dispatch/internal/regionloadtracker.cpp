#include "dispatch/regionloadtracker.h"

#include <algorithm>

#include "framework/stablehash.h"

namespace celerybeam {

std::uint64_t poolHash(const PoolName &Pool) { return stableHash(Pool.str()); }

void RegionLoadTracker::received(const RegionId &Region, const HostId &Placer,
                                 const PoolLoadSummary &Summary) {
  TimePoint Now = Runtime_.Now();
  auto &Placers = Pools_[{Region, Summary.Pool}].Placers;
  std::erase_if(Placers,
                [&](const auto &E) { return Now - E.second.At > MaxAge; });
  Placers[Placer] = {Summary, Now};
}

void RegionLoadTracker::recordForward(const RegionId &Region,
                                      const PoolName &Pool,
                                      Duration ServiceTime) {
  auto Found = Pools_.find({Region, poolHash(Pool)});
  if (Found == Pools_.end())
    return;
  PoolState &S = Found->second;
  TimePoint Now = Runtime_.Now();
  Duration Before =
      S.Sent.empty() ? S.TrimmedServiceTime : S.Sent.back().ServiceTime;
  S.Sent.push_back({Now, Before + ServiceTime});
  while (Now - S.Sent.front().At > MaxAge + UpdateLag) {
    S.TrimmedServiceTime = S.Sent.front().ServiceTime;
    S.Sent.pop_front();
  }
}

Duration RegionLoadTracker::sentSince(const PoolState &S, TimePoint From) {
  if (S.Sent.empty())
    return {};
  auto First = std::lower_bound(
      S.Sent.begin(), S.Sent.end(), From,
      [](const SentUpTo &Sum, TimePoint At) { return Sum.At < At; });
  Duration Before = First == S.Sent.begin() ? S.TrimmedServiceTime
                                            : std::prev(First)->ServiceTime;
  return S.Sent.back().ServiceTime - Before;
}

std::optional<Duration> RegionLoadTracker::wait(const RegionId &Region,
                                                const PoolName &Pool,
                                                Duration ServiceTime) const {
  auto Found = Pools_.find({Region, poolHash(Pool)});
  if (Found == Pools_.end())
    return std::nullopt;
  const PoolState &S = Found->second;
  TimePoint Now = Runtime_.Now();
  Duration::rep Slots = 0;
  for (const auto &[Placer, E] : S.Placers)
    if (Now - E.At <= MaxAge)
      Slots += E.Summary.Slots;
  if (Slots == 0)
    return std::nullopt;
  // Service time that is ahead at all slots together.
  Duration Ahead{};
  for (const auto &[Placer, E] : S.Placers) {
    if (Now - E.At > MaxAge)
      continue;
    TimePoint KnownUntil = E.At - UpdateLag;
    Duration Sent = sentSince(S, KnownUntil) * E.Summary.Slots / Slots;
    // Free slots take a request each at once, and then the next ones.
    Duration FreeCapacity =
        (Now - KnownUntil + ServiceTime) * E.Summary.FreeSlots;
    Ahead += E.Summary.Wait * E.Summary.Slots +
             std::max(Duration::zero(), Sent - FreeCapacity);
  }
  return Ahead / Slots;
}

Duration RegionLoadTracker::lateWait(const RegionId &Region,
                                     const PoolName &Pool) const {
  auto Found = Pools_.find({Region, poolHash(Pool)});
  if (Found == Pools_.end())
    return {};
  Duration Sum{};
  Duration::rep Slots = 0;
  for (const auto &[Placer, E] : Found->second.Placers) {
    if (Runtime_.Now() - E.At > MaxAge)
      continue;
    Sum += E.Summary.LateWait * E.Summary.Slots;
    Slots += E.Summary.Slots;
  }
  return Slots > 0 ? Sum / Slots : Duration();
}

} // namespace celerybeam
