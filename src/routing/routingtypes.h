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

/// Hashes of the prompt's leading blocks, each over the whole prefix up to
/// its end, longest last. Empty for plain services.
using PrefixBlocks = std::vector<std::uint64_t>;

/// What the router needs to know of a request.
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
  /// False when the request came from another region or must reside here.
  bool MayLeaveRegion = false;
  /// How long the request would wait here before it is admitted.
  Duration QueueWait{};
  /// Whether chooseAway has kept the request here: it then leaves only when
  /// no endpoint here can serve.
  bool AwayConsidered = false;
  /// Size of prompt and expected answer on a link between regions.
  std::uint64_t WireBytes = 0;
  /// Endpoints that attempts of this request failed on or run on.
  std::vector<EndpointId> Excluded;
};

/// Serve at an endpoint of this region.
struct ServeHere {
  EndpointId Endpoint;
  Duration PredictedWait{};
  /// Whether the prompt's prefix is expected in the endpoint's cache.
  bool PrefixExpected = false;
};

/// Send to an entry host of another region.
struct SendAway {
  RegionId Region;
  HostId Host;
  Duration PredictedWait{};
};

using RouteChoice = std::variant<ServeHere, SendAway>;

/// Why a candidate was or was not taken, for `celerybeamctl explain`.
struct CandidateView {
  EndpointId Endpoint;
  RegionId Region;
  /// Predicted wait and service; lower is better.
  Duration Score{};
  bool Chosen = false;
  /// Empty for candidates that could serve; else a short sentence.
  std::string Exclusion;
};

} // namespace celerybeam

#endif
