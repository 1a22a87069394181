#ifndef CELERYBEAM_DISPATCH_PLACEMENTMAP_H
#define CELERYBEAM_DISPATCH_PLACEMENTMAP_H

#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/fleettypes.h"
#include "fleet/hoststate.h"

namespace celerybeam {

/// Which placer a region's endpoints belong to, by rendezvous hash: when a
/// placer goes, only its endpoints move.
///
/// Answers to "many hosts place at many endpoints, and each must know what all
/// others do there": one host places all requests at an endpoint, so its book
/// is exact without news. Not thread-safe.
class PlacementMap {
public:
  /// \param Placers  the region's, in any order.
  void setPlacers(std::vector<HostState> Placers);
  const std::vector<HostState> &placers() const { return Placers_; }

  /// The placer of an endpoint; null without placers. Holds until the placers
  /// are set again.
  const HostState *ownerOf(const EndpointKey &Endpoint);
  bool isOwner(const std::string &Ip, const EndpointKey &Endpoint);

  /// The placer to ask for a request: that of the endpoint which its prompt's
  /// beginning prefers, so that equal beginnings meet at one placer and each
  /// placer gets requests by the number of its endpoints.
  /// \param Prefix  hash of the beginning, or any number for a request without
  /// one. \param Usable  endpoints of its pool; may be empty.
  const HostState *placerFor(std::uint64_t Prefix,
                             const std::vector<const FleetEndpoint *> &Usable);

private:
  std::vector<HostState> Placers_;
  std::vector<std::uint64_t> Hashes_;
  std::unordered_map<EndpointKey, std::size_t> Owners_;
};

} // namespace celerybeam

#endif
