#ifndef CELERYBEAM_ROUTING_INTERNAL_POOLVIEW_H
#define CELERYBEAM_ROUTING_INTERNAL_POOLVIEW_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "blackboard/blackboard.h"
#include "routing/internal/waitpredictor.h"
#include "routing/routersettings.h"

namespace celerybeam::detail {

/// An endpoint of this region that was able to serve when the view was made.
struct Candidate {
  EndpointId Id;
  /// Hash of Id, the same on every host; ranks endpoints for a prefix.
  std::uint64_t Hash = 0;
};

/// Snapshot of a pool's endpoints in this region, cached for many decisions.
struct PoolView {
  TimePoint MadeAt{};
  /// Endpoints of this host's availability zone come first.
  std::vector<Candidate> Candidates;
  std::size_t SameZoneCount = 0;
  PoolAverages Averages;
  /// Whether all candidates are on probation because no other endpoint is left.
  bool AllOnProbation = false;
};

using PoolViewPtr = std::shared_ptr<const PoolView>;

/// Why an endpoint cannot serve a pool's requests; empty when it can.
std::string exclusionReason(const EndpointRecord &Endpoint, const PoolRow &Pool,
                            const RegionId &Region);

/// Makes a view from the pool's endpoints on the blackboard.
PoolViewPtr makePoolView(Blackboard &Board, const PoolRow &Pool, TimePoint Now,
                         const RouterSettings &Settings);

} // namespace celerybeam::detail

#endif
