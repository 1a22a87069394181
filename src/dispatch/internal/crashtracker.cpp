#include "dispatch/crashtracker.h"

#include <algorithm>
#include <utility>

namespace celerybeam {

std::size_t CrashTracker::recordCrash(std::uint64_t Fingerprint) {
  recordPeerReport({Fingerprint, Runtime_.Random(), {}});
  auto Found = Entries_.find(Fingerprint);
  return Found == Entries_.end() ? 0 : Found->second.Events.size();
}

void CrashTracker::recordPeerReport(const CrashReport &Report) {
  TimePoint Now = Runtime_.Now();
  if (Entries_.size() >= MaxEntries)
    std::erase_if(Entries_, [&](const auto &E) {
      return Now - E.second.Last > Retention / 2;
    });
  if (Entries_.size() >= MaxEntries)
    return;
  Entry &E = Entries_[Report.Fingerprint];
  if (Now - E.Last > Retention)
    E.Events.clear();
  TimePoint At = Now - Report.Age;
  bool IsNew = E.Events.size() < Limit && E.Events.insert(Report.Event).second;
  if (!IsNew)
    return;
  E.Last = std::max(E.Last, At);
  if (Report.Age == Duration::zero())
    Reports_.push_back(Report);
}

std::vector<CrashReport> CrashTracker::recentCrashes() const {
  // At least one, since zero means that it has just happened.
  constexpr Duration LeastAge = std::chrono::milliseconds(1);
  std::vector<CrashReport> Recent;
  for (const auto &[Fingerprint, E] : Entries_) {
    Duration Age = Runtime_.Now() - E.Last;
    if (Age > Retention)
      continue;
    for (std::uint64_t Event : E.Events)
      Recent.push_back({Fingerprint, Event, std::max(Age, LeastAge)});
  }
  return Recent;
}

void CrashTracker::recordSuccess(std::uint64_t Fingerprint) {
  Entries_.erase(Fingerprint);
}

bool CrashTracker::isRefused(std::uint64_t Fingerprint) const {
  auto Found = Entries_.find(Fingerprint);
  return Found != Entries_.end() && Found->second.Events.size() >= Limit &&
         Runtime_.Now() - Found->second.Last <= Retention;
}

std::vector<CrashReport> CrashTracker::takeReports() {
  return std::exchange(Reports_, {});
}

} // namespace celerybeam
