#ifndef CELERYBEAM_DISPATCH_PLACEMENTMAP_H
#define CELERYBEAM_DISPATCH_PLACEMENTMAP_H

#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/fleettypes.h"
#include "fleet/hoststate.h"

namespace celerybeam {

/// Maps each endpoint of a region to its placer, the host that chooses
/// endpoints on behalf of all hosts of the region, by rendezvous hash: when a
/// placer goes, only its endpoints move.
///
/// Handles this load pattern: "many hosts place at many endpoints, and each
/// must know what all others do there". One host places all requests at an
/// endpoint, so its load tracker is exact without updates from others. Not
/// thread-safe.
class PlacementMap {
public:
  /// \param Placers  the region's, in any order.
  void setPlacers(std::vector<HostState> Placers);
  const std::vector<HostState> &placers() const { return Placers_; }

  /// The placer of an endpoint; null without placers. Valid until the placers
  /// are set again.
  const HostState *ownerOf(const EndpointKey &Endpoint);
  bool isOwner(const std::string &Ip, const EndpointKey &Endpoint);

  /// The placer to ask for a request: that of the endpoint which its prompt's
  /// prefix prefers, so that equal prefixes meet at one placer and each placer
  /// gets requests in proportion to the number of its endpoints.
  /// \param Prefix  hash of the prefix, or any number for a request without
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
