#ifndef CELERYBEAM_ROUTING_ROUTINGTYPES_H
#define CELERYBEAM_ROUTING_ROUTINGTYPES_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "blackboard/idtypes.h"
#include "blackboard/tabletypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Hashes of the prompt's leading blocks. Each hash covers the whole prefix up
/// to the end of its block; the longest prefix is last. Empty for plain
/// services.
using PrefixBlocks = std::vector<std::uint64_t>;

/// The properties of a request that routing decisions depend on.
struct RouteQuery {
  RouteName Route;
  PoolName Pool;
  CustomerId Customer;
  /// Empty for plain services.
  ModelName Model;
  RequestClass Class = RequestClass::Short;
  PrefixBlocks Prefix;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  TimePoint Deadline{};
  /// False when the request came from another region or must be served in this
  /// one.
  bool MayLeaveRegion = false;
  /// How long the request would wait on this host before it is admitted.
  Duration QueueWait{};
  /// Whether chooseRemoteRegion was called and kept the request in this region.
  /// The request then leaves only when no local endpoint can serve it.
  bool ForwardingConsidered = false;
  /// Bytes of the prompt and the expected response on a link between regions.
  std::uint64_t WireBytes = 0;
  /// Endpoints where attempts of this request failed or are running.
  std::vector<EndpointId> Excluded;
};

/// Decision to serve the request at an endpoint of this region.
struct ServeLocally {
  EndpointId Endpoint;
  Duration PredictedWait{};
  /// Whether the prompt's prefix is expected in the endpoint's cache.
  bool PrefixExpected = false;
};

/// Decision to forward the request to an entry host of another region.
struct ForwardToRegion {
  RegionId Region;
  HostId Host;
  Duration PredictedWait{};
};

using RouteChoice = std::variant<ServeLocally, ForwardToRegion>;

/// One endpoint's score or the reason for its exclusion, for
/// `celerybeamctl explain`.
struct CandidateView {
  EndpointId Endpoint;
  RegionId Region;
  /// Predicted time to the first token, network included; lower is better.
  Duration Score{};
  bool Chosen = false;
  /// Empty for endpoints that can serve; otherwise the reason for exclusion.
  std::string Exclusion;
};

} // namespace celerybeam

#endif
