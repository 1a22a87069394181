#ifndef CELERYBEAM_RELAY_RELAYTYPES_H
#define CELERYBEAM_RELAY_RELAYTYPES_H

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/placementclient.h"
#include "fleet/fleetview.h"
#include "fleet/hostregistry.h"
#include "framework/error.h"
#include "relay/bytebudget.h"
#include "relay/httpcaller.h"
#include "relay/httpserver.h"

namespace celerybeam {

/// The header fields by which callers, endpoints and this host understand each
/// other. The interface in use fills them.
struct WireNames {
  std::string RequestId;
  /// An endpoint's signature of its answer.
  std::string Signature;
  /// Present when an endpoint did not run the request.
  std::string NotExecuted;
  /// The endpoint that must run the request.
  std::string ExpectedEndpoint;
  /// Milliseconds that the caller still waits.
  std::string TimeLeft;
  /// 0 is the most urgent.
  std::string Priority;
  std::string LastEventId;
  std::string Load;
  std::string ColdFor;
  std::string EndpointId;
  /// Address of another engine from which to copy the prompt's beginning.
  std::string CopyFrom;
  /// Fields that only this system may set; a caller's are dropped.
  std::vector<std::string> Reserved;
};

/// What an endpoint says of its load in an answer.
struct SaidLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// How long work takes there; 1 is as usual. Unset when it does not say.
  std::optional<double> Slowness;
};

/// What an endpoint says in the head of an answer of whether it wants requests.
struct SaidWillingness {
  bool Leaving = false;
  /// Zero when it does not say.
  Duration RestFor{};
};

/// How a request went, for logs and metrics.
struct RequestRecord {
  RequestId Id;
  RouteName Route;
  PoolName Pool;
  unsigned PromptTokens = 0;
  std::uint64_t TablesVersion = 0;
  /// The final status; 0 when the caller left or the answer broke off.
  unsigned Status = 0;
  /// One word for how it ended.
  std::string Outcome;
  /// Each attempt with what decided it, in order.
  std::string Attempts;
  ExecutionKnowledge Known = ExecutionKnowledge::NotSent;
  /// Of the latest decision.
  DecisionInputs Seen;
  Duration RetryAfter{};
  Duration FirstOutput{};
  /// Longest pause between two parts of a stream.
  Duration LongestGap{};
  Duration Total{};
  unsigned Sends = 0;
  bool Forwarded = false;
  bool PassedOn = false;
};

struct RelayHooks {
  /// Reads a caller's request. Errors: BadRequest.
  std::function<Result<RequestDescriptor>(const HttpServerRequest &)> Decode;
  std::function<std::optional<SaidLoad>(std::string_view)> DecodeLoad;
  std::function<SaidWillingness(const HttpResponseHead &)> DecodeWillingness;
  /// Hears what endpoints say of themselves.
  std::function<void(const EndpointWord &)> Heard;
  /// Whether tables and endpoints are known at all.
  std::function<bool()> IsInformed;
  /// Whether the tables held are known to be the newest, so that a missing
  /// route is truly missing.
  std::function<bool()> TablesCurrent;
  std::function<void(const RequestRecord &)> Done;
};

/// What all requests of a host work with.
struct RelayContext {
  Runtime Time;
  FleetView &Fleet;
  HostRegistry &Hosts;
  Dispatcher &Decisions;
  PlacementClient &Placement;
  HttpCaller &Caller;
  WireNames Names;
  RelayHooks Hooks;
  /// Port on which entry hosts pass requests on to each other.
  std::string HostPort;
  /// Set when the host leaves and takes no further requests.
  bool Refusing = false;
  ByteBudget Answers{DefaultAnswerMemory};
  /// Where the host's own memory is not known.
  static constexpr std::size_t DefaultAnswerMemory = 16U << 20U;
};

/// Fields between entry hosts. In an answer: the request has not run.
inline constexpr const char *NotRunField = "Celerybeam-Not-Run";
/// In a request: on how many endpoints it may still run. In an answer: on how
/// many it has run or may have run.
inline constexpr const char *RunsField = "Celerybeam-Runs";
/// In a request: milliseconds since it reached the host that passes it on.
inline constexpr const char *WaitedField = "Celerybeam-Waited-Ms";

} // namespace celerybeam

#endif
