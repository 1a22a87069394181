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

bool RegionLoadTracker::receivedRelayed(const RegionPoolLoad &Load) {
  if (Load.Age < Duration::zero() || Load.Age > MaxAge)
    return false;
  TimePoint At = Runtime_.Now() - Load.Age;
  auto &Relayed = Pools_[{Load.Region, Load.Summary.Pool}].Relayed;
  if (!Relayed || At > Relayed->At)
    Relayed = Entry{Load.Summary, At};
  return true;
}

std::vector<RegionLoadTracker::Entry>
RegionLoadTracker::recent(const PoolState &S) const {
  TimePoint Now = Runtime_.Now();
  std::vector<Entry> Found;
  for (const auto &[Placer, E] : S.Placers)
    if (Now - E.At <= MaxAge)
      Found.push_back(E);
  if (Found.empty() && S.Relayed && Now - S.Relayed->At <= MaxAge)
    Found.push_back(*S.Relayed);
  return Found;
}

std::vector<RegionPoolLoad> RegionLoadTracker::combined() const {
  TimePoint Now = Runtime_.Now();
  std::vector<RegionPoolLoad> All;
  for (const auto &[Where, S] : Pools_) {
    RegionPoolLoad Load{Where.first, {}, {}};
    PoolLoadSummary &Sum = Load.Summary;
    Sum.Pool = Where.second;
    bool IsRecent = false;
    for (const auto &[Placer, E] : S.Placers) {
      if (Now - E.At > MaxAge)
        continue;
      IsRecent = true;
      Load.Age = std::max(Load.Age, Now - E.At);
      Sum.Endpoints += E.Summary.Endpoints;
      Sum.Slots += E.Summary.Slots;
      Sum.FreeSlots += E.Summary.FreeSlots;
      Sum.Wait += E.Summary.Wait * E.Summary.Slots;
      Sum.LateWait += E.Summary.LateWait * E.Summary.Slots;
    }
    if (!IsRecent)
      continue;
    // That a region has no endpoint in a pool is passed on, too: a request is
    // then refused at once and not offered there.
    if (Sum.Slots > 0) {
      Sum.Wait /= Sum.Slots;
      Sum.LateWait /= Sum.Slots;
    }
    All.push_back(std::move(Load));
  }
  return All;
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
  std::vector<Entry> Recent = recent(S);
  Duration::rep Slots = 0;
  for (const Entry &E : Recent)
    Slots += E.Summary.Slots;
  if (Slots == 0)
    return std::nullopt;
  // Service time that is ahead at all slots together.
  Duration Ahead{};
  for (const Entry &E : Recent) {
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

std::set<RegionId> RegionLoadTracker::regions() const {
  std::set<RegionId> All;
  for (const auto &[Where, S] : Pools_)
    All.insert(Where.first);
  return All;
}

std::optional<Duration> RegionLoadTracker::age(const RegionId &Region) const {
  std::optional<TimePoint> Latest;
  auto Add = [&](const Entry &E) {
    Latest = std::max(Latest.value_or(E.At), E.At);
  };
  for (auto It = Pools_.lower_bound({Region, 0});
       It != Pools_.end() && It->first.first == Region; ++It) {
    for (const auto &[Placer, E] : It->second.Placers)
      Add(E);
    if (It->second.Relayed)
      Add(*It->second.Relayed);
  }
  if (!Latest)
    return std::nullopt;
  return Runtime_.Now() - *Latest;
}

bool RegionLoadTracker::isKnown(const RegionId &Region) const {
  for (auto It = Pools_.lower_bound({Region, 0});
       It != Pools_.end() && It->first.first == Region; ++It)
    if (!recent(It->second).empty())
      return true;
  return false;
}

Duration RegionLoadTracker::lateWait(const RegionId &Region,
                                     const PoolName &Pool) const {
  auto Found = Pools_.find({Region, poolHash(Pool)});
  if (Found == Pools_.end())
    return {};
  Duration Sum{};
  Duration::rep Slots = 0;
  for (const Entry &E : recent(Found->second)) {
    Sum += E.Summary.LateWait * E.Summary.Slots;
    Slots += E.Summary.Slots;
  }
  return Slots > 0 ? Sum / Slots : Duration();
}

} // namespace celerybeam
