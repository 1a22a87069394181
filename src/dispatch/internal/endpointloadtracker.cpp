#include "dispatch/endpointloadtracker.h"

#include <algorithm>

namespace celerybeam {

const EndpointLoadTracker::Entry *
EndpointLoadTracker::find(const EndpointKey &Endpoint) const {
  auto Found = Entries_.find(Endpoint);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

DispatchId EndpointLoadTracker::recordStart(const EndpointKey &Endpoint,
                                            const RequestCost &W) {
  DispatchId Id{++LastId_};
  TimePoint Now = Runtime_.Now();
  Dispatches_[Id.Value] = {Endpoint, W, true};
  Entry &E = Entries_[Endpoint];
  E.Load.InFlight += 1;
  E.Load.AllPrefill += W.UncachedTokens;
  if (W.Rank == 0)
    E.Load.UrgentPrefill += W.UncachedTokens;
  E.Load.MemoryTokens += W.MemoryTokens;
  E.Waiting[Id.Value] = Now;
  E.Utilization.set(E.Load.AllPrefill > 0, Now);
  return Id;
}

void EndpointLoadTracker::endWait(std::uint64_t Id, Dispatch &D, Entry &E) {
  if (!D.Waiting)
    return;
  TimePoint Now = Runtime_.Now();
  D.Waiting = false;
  E.Waiting.erase(Id);
  E.LastPrefillEnd = Now;
  E.Load.AllPrefill -= D.Cost.UncachedTokens;
  if (D.Cost.Rank == 0)
    E.Load.UrgentPrefill -= D.Cost.UncachedTokens;
  E.Utilization.set(E.Load.AllPrefill > 0, Now);
}

void EndpointLoadTracker::recordFirstOutput(DispatchId Id) {
  auto Found = Dispatches_.find(Id.Value);
  if (Found == Dispatches_.end())
    return;
  Entry &E = Entries_[Found->second.Endpoint];
  E.LastOutput = Runtime_.Now();
  endWait(Id.Value, Found->second, E);
}

void EndpointLoadTracker::recordEnd(DispatchId Id) {
  auto Found = Dispatches_.find(Id.Value);
  if (Found == Dispatches_.end())
    return;
  Entry &E = Entries_[Found->second.Endpoint];
  endWait(Id.Value, Found->second, E);
  E.Load.InFlight -= 1;
  E.Load.MemoryTokens -= Found->second.Cost.MemoryTokens;
  Dispatches_.erase(Found);
}

const EndpointLoad &EndpointLoadTracker::at(const EndpointKey &Endpoint) const {
  static const EndpointLoad None;
  const Entry *E = find(Endpoint);
  return E != nullptr ? E->Load : None;
}

double
EndpointLoadTracker::prefillUtilization(const EndpointKey &Endpoint) const {
  const Entry *E = find(Endpoint);
  return E != nullptr ? E->Utilization.share(Runtime_.Now()) : 0;
}

TimePoint
EndpointLoadTracker::lastPrefillEnd(const EndpointKey &Endpoint) const {
  const Entry *E = find(Endpoint);
  return E != nullptr ? E->LastPrefillEnd : TimePoint();
}

std::optional<TimePoint>
EndpointLoadTracker::oldestWaiting(const EndpointKey &Endpoint) const {
  const Entry *E = find(Endpoint);
  if (E == nullptr || E->Waiting.empty())
    return std::nullopt;
  return E->Waiting.begin()->second;
}

std::optional<EndpointSilence>
EndpointLoadTracker::silence(const EndpointKey &Endpoint) const {
  const Entry *E = find(Endpoint);
  if (E == nullptr || E->Waiting.empty())
    return std::nullopt;
  const auto &[Id, SentAt] = *E->Waiting.begin();
  return EndpointSilence{Runtime_.Now() - std::max(E->LastOutput, SentAt),
                         Dispatches_.at(Id).Cost};
}

void EndpointLoadTracker::forget(const EndpointKey &Endpoint) {
  auto Found = Entries_.find(Endpoint);
  // The load of requests in flight has to be subtracted when they end.
  if (Found != Entries_.end() && Found->second.Load.InFlight == 0)
    Entries_.erase(Found);
}

} // namespace celerybeam
