#include "core/listschedule.h"

#include <cstdint>

#include "framework/stablehash.h"

namespace celerybeam {

namespace {

constexpr unsigned FrequentPollers = 2;
constexpr Duration FrequentInterval = std::chrono::seconds(1);
constexpr Duration RareInterval = std::chrono::seconds(15);

std::uint64_t rankOf(const ZoneId &Zone, const HostId &Host) {
  return stableHash("list/" + Zone.str() + "/" + Host.str());
}

} // namespace

Duration listPollInterval(const Blackboard &Board) {
  const HostIdentity &Self = Board.self();
  std::uint64_t OwnRank = rankOf(Self.Zone, Self.Id);
  unsigned HigherRanked = 0;
  Board.peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
    bool IsCandidate = Id != Self.Id && Peer.Zone == Self.Zone &&
                       Peer.State == PeerState::Alive;
    if (IsCandidate && rankOf(Self.Zone, Id) < OwnRank)
      ++HigherRanked;
  });
  return HigherRanked < FrequentPollers ? FrequentInterval : RareInterval;
}

} // namespace celerybeam
