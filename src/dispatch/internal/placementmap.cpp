#include "dispatch/placementmap.h"

#include "framework/stablehash.h"

namespace celerybeam {

void PlacementMap::setPlacers(std::vector<HostState> Placers) {
  Placers_ = std::move(Placers);
  Owners_.clear();
  Hashes_.clear();
  for (const HostState &Host : Placers_)
    Hashes_.push_back(stableHash(Host.Ip));
}

const HostState *PlacementMap::ownerOf(const EndpointKey &Endpoint) {
  if (Placers_.empty())
    return nullptr;
  auto [It, New] = Owners_.try_emplace(Endpoint, 0);
  if (New) {
    std::uint64_t Best = 0;
    for (std::size_t I = 0; I < Hashes_.size(); ++I) {
      std::uint64_t Rank = stableHash(Hashes_[I], Endpoint.Value);
      if (I == 0 || Rank > Best) {
        Best = Rank;
        It->second = I;
      }
    }
  }
  return &Placers_[It->second];
}

bool PlacementMap::isOwner(const std::string &Ip, const EndpointKey &Endpoint) {
  const HostState *Owner = ownerOf(Endpoint);
  return Owner != nullptr && Owner->Ip == Ip;
}

const HostState *
PlacementMap::placerFor(std::uint64_t Prefix,
                        const std::vector<const FleetEndpoint *> &Usable) {
  if (Placers_.empty())
    return nullptr;
  if (Usable.empty())
    return &Placers_[Prefix % Placers_.size()];
  const FleetEndpoint *Best = nullptr;
  std::uint64_t BestRank = 0;
  for (const FleetEndpoint *E : Usable) {
    std::uint64_t Rank = stableHash(E->Key.Value, Prefix);
    if (Best == nullptr || Rank > BestRank) {
      Best = E;
      BestRank = Rank;
    }
  }
  return ownerOf(Best->Key);
}

} // namespace celerybeam
