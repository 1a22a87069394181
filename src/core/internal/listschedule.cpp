#include "core/listschedule.h"

#include <cstdint>

#include "framework/stablehash.h"

namespace celerybeam {

namespace {

constexpr unsigned FrequentReaders = 2;
constexpr Duration FrequentInterval = std::chrono::seconds(1);
constexpr Duration SeldomInterval = std::chrono::seconds(15);

std::uint64_t rankOf(const ZoneId &Zone, const HostId &Host) {
  return stableHash("list/" + Zone.str() + "/" + Host.str());
}

} // namespace

Duration listPollInterval(const Blackboard &Board) {
  const HostIdentity &Self = Board.self();
  std::uint64_t Own = rankOf(Self.Zone, Self.Id);
  unsigned Before = 0;
  Board.peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
    bool Counts = Id != Self.Id && Peer.Zone == Self.Zone &&
                  Peer.State == PeerState::Alive;
    if (Counts && rankOf(Self.Zone, Id) < Own)
      ++Before;
  });
  return Before < FrequentReaders ? FrequentInterval : SeldomInterval;
}

} // namespace celerybeam
