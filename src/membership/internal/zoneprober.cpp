#include "membership/internal/zoneprober.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

std::vector<HostId> pickRandom(std::vector<HostId> Hosts, std::size_t Count,
                               const std::function<std::uint64_t()> &Random) {
  Count = std::min(Count, Hosts.size());
  for (std::size_t I = 0; I < Count; ++I)
    std::swap(Hosts[I], Hosts[I + Random() % (Hosts.size() - I)]);
  Hosts.resize(Count);
  return Hosts;
}

std::optional<HostId>
ZoneProber::nextTarget(const std::vector<HostId> &Members) {
  if (Members.empty())
    return std::nullopt;
  while (true) {
    if (Round_.empty())
      Round_ = pickRandom(Members, Members.size(), Random_);
    HostId Next = std::move(Round_.back());
    Round_.pop_back();
    if (std::binary_search(Members.begin(), Members.end(), Next))
      return Next;
  }
}

std::uint64_t ZoneProber::open(Probe P) {
  Open_.emplace(NextSequence_, std::move(P));
  return NextSequence_++;
}

std::optional<ZoneProber::Probe> ZoneProber::close(std::uint64_t Sequence) {
  auto Node = Open_.extract(Sequence);
  if (Node.empty())
    return std::nullopt;
  return std::move(Node.mapped());
}

std::vector<std::pair<std::uint64_t, HostId>>
ZoneProber::takeSlow(TimePoint SentBefore) {
  std::vector<std::pair<std::uint64_t, HostId>> Slow;
  for (auto &[Sequence, P] : Open_) {
    if (!P.Requester.empty() || P.IndirectSent || P.SentAt >= SentBefore)
      continue;
    P.IndirectSent = true;
    Slow.emplace_back(Sequence, P.Target);
  }
  return Slow;
}

std::vector<HostId> ZoneProber::takeFailed(TimePoint SentBefore) {
  std::vector<HostId> Failed;
  std::erase_if(Open_, [&](const auto &Entry) {
    const Probe &P = Entry.second;
    if (P.SentAt >= SentBefore)
      return false;
    if (P.Requester.empty())
      Failed.push_back(P.Target);
    return true;
  });
  return Failed;
}

} // namespace celerybeam::detail
