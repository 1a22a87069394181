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

/// One endpoint of this region that could serve when the view was made.
struct Candidate {
  EndpointId Id;
  /// The same on every host; orders endpoints for a prefix.
  std::uint64_t Hash = 0;
};

/// The endpoints of a pool in this region, for many decisions.
struct PoolView {
  TimePoint MadeAt{};
  /// Those of this host's zone come first.
  std::vector<Candidate> Candidates;
  std::size_t OwnZone = 0;
  PoolAverages Averages;
  /// Whether endpoints on probation had to be taken, since no other is left.
  bool AllOnProbation = false;
};

using PoolViewPtr = std::shared_ptr<const PoolView>;

/// Why an endpoint may not serve a pool's requests; empty when it may.
std::string exclusionOf(const EndpointRecord &Endpoint, const PoolRow &Pool,
                        const RegionId &Region);

/// Reads the pool's endpoints from the blackboard.
PoolViewPtr makePoolView(Blackboard &Board, const PoolRow &Pool, TimePoint Now,
                         const RouterSettings &Settings);

} // namespace celerybeam::detail

#endif
