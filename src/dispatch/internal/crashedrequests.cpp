#include "dispatch/crashedrequests.h"

#include <utility>

namespace celerybeam {

void CrashedRequests::count(std::uint64_t Fingerprint) {
  TimePoint Now = Runtime_.Now();
  if (Entries_.size() >= MaxEntries)
    std::erase_if(Entries_, [&](const auto &E) {
      return Now - E.second.Last > Retention / 2;
    });
  if (Entries_.size() >= MaxEntries)
    return;
  Entry &E = Entries_[Fingerprint];
  if (Now - E.Last > Retention)
    E.Count = 0;
  ++E.Count;
  E.Last = Now;
}

void CrashedRequests::crashed(std::uint64_t Fingerprint) {
  count(Fingerprint);
  Reports_.push_back(Fingerprint);
}

void CrashedRequests::peerSaw(std::uint64_t Fingerprint) { count(Fingerprint); }

void CrashedRequests::succeeded(std::uint64_t Fingerprint) {
  Entries_.erase(Fingerprint);
}

bool CrashedRequests::isRefused(std::uint64_t Fingerprint) const {
  auto Found = Entries_.find(Fingerprint);
  return Found != Entries_.end() && Found->second.Count >= Limit &&
         Runtime_.Now() - Found->second.Last <= Retention;
}

std::vector<std::uint64_t> CrashedRequests::takeReports() {
  return std::exchange(Reports_, {});
}

} // namespace celerybeam
