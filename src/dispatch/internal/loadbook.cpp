#include "dispatch/loadbook.h"

#include <algorithm>

namespace celerybeam {

const LoadBook::Entry *LoadBook::find(const EndpointKey &Endpoint) const {
  auto Found = Entries_.find(Endpoint);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

WorkId LoadBook::started(const EndpointKey &Endpoint, const Work &W) {
  WorkId Id{++LastId_};
  TimePoint Now = Runtime_.Now();
  Dispatches_[Id.Value] = {Endpoint, W, true};
  Entry &E = Entries_[Endpoint];
  E.Load.InFlight += 1;
  E.Load.AllPrefill += W.UncachedTokens;
  if (W.Rank == 0)
    E.Load.UrgentPrefill += W.UncachedTokens;
  E.Load.MemoryTokens += W.MemoryTokens;
  E.Waiting[Id.Value] = Now;
  E.Duty.set(E.Load.AllPrefill > 0, Now);
  return Id;
}

void LoadBook::endWait(std::uint64_t Id, Dispatch &D, Entry &E) {
  if (!D.Waiting)
    return;
  TimePoint Now = Runtime_.Now();
  D.Waiting = false;
  E.Waiting.erase(Id);
  E.LastRead = Now;
  E.Load.AllPrefill -= D.Asked.UncachedTokens;
  if (D.Asked.Rank == 0)
    E.Load.UrgentPrefill -= D.Asked.UncachedTokens;
  E.Duty.set(E.Load.AllPrefill > 0, Now);
}

void LoadBook::firstOutput(WorkId Id) {
  auto Found = Dispatches_.find(Id.Value);
  if (Found == Dispatches_.end())
    return;
  Entry &E = Entries_[Found->second.Endpoint];
  E.LastOutput = Runtime_.Now();
  endWait(Id.Value, Found->second, E);
}

void LoadBook::ended(WorkId Id) {
  auto Found = Dispatches_.find(Id.Value);
  if (Found == Dispatches_.end())
    return;
  Entry &E = Entries_[Found->second.Endpoint];
  endWait(Id.Value, Found->second, E);
  E.Load.InFlight -= 1;
  E.Load.MemoryTokens -= Found->second.Asked.MemoryTokens;
  Dispatches_.erase(Found);
}

const EndpointLoad &LoadBook::at(const EndpointKey &Endpoint) const {
  static const EndpointLoad None;
  const Entry *E = find(Endpoint);
  return E != nullptr ? E->Load : None;
}

double LoadBook::readingShare(const EndpointKey &Endpoint) const {
  const Entry *E = find(Endpoint);
  return E != nullptr ? E->Duty.share(Runtime_.Now()) : 0;
}

TimePoint LoadBook::lastRead(const EndpointKey &Endpoint) const {
  const Entry *E = find(Endpoint);
  return E != nullptr ? E->LastRead : TimePoint();
}

std::optional<TimePoint>
LoadBook::oldestWaiting(const EndpointKey &Endpoint) const {
  const Entry *E = find(Endpoint);
  if (E == nullptr || E->Waiting.empty())
    return std::nullopt;
  return E->Waiting.begin()->second;
}

std::optional<EndpointSilence>
LoadBook::silence(const EndpointKey &Endpoint) const {
  const Entry *E = find(Endpoint);
  if (E == nullptr || E->Waiting.empty())
    return std::nullopt;
  const auto &[Id, SentAt] = *E->Waiting.begin();
  return EndpointSilence{Runtime_.Now() - std::max(E->LastOutput, SentAt),
                         Dispatches_.at(Id).Asked};
}

void LoadBook::forget(const EndpointKey &Endpoint) {
  auto Found = Entries_.find(Endpoint);
  // Work that is still under way has to be taken off when it ends.
  if (Found != Entries_.end() && Found->second.Load.InFlight == 0)
    Entries_.erase(Found);
}

} // namespace celerybeam
