#ifndef CELERYBEAM_RELAY_RELAYTYPES_H
#define CELERYBEAM_RELAY_RELAYTYPES_H

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/customerlimits.h"
#include "dispatch/placementclient.h"
#include "fleet/fleetview.h"
#include "fleet/hostregistry.h"
#include "framework/error.h"
#include "hedging/predictedhedges.h"
#include "relay/bytebudget.h"
#include "relay/httpcaller.h"
#include "relay/httpserver.h"
#include "relay/openrequests.h"

namespace celerybeam {

/// Names of the header fields that callers, endpoints and this host exchange.
/// Filled in by the platform interface in use.
struct WireNames {
  std::string RequestId;
  /// The endpoint's signature of its response.
  std::string Signature;
  /// Present when the endpoint did not run the request.
  std::string NotExecuted;
  /// The endpoint that must run the request.
  std::string ExpectedEndpoint;
  /// Milliseconds until the caller's deadline.
  std::string TimeLeft;
  /// 0 is the most urgent.
  std::string Priority;
  std::string LastEventId;
  std::string Load;
  std::string ColdFor;
  std::string EndpointId;
  /// Address of another engine from which to copy the cached prompt prefix.
  std::string CopyFrom;
  /// The caller's key and the name of its customer. Both are removed from
  /// callers' requests where the tables name customers.
  std::string Key;
  std::string Customer;
  /// Fields that only this system may set. They are removed from callers'
  /// requests.
  std::vector<std::string> Reserved;
};

/// The load that an endpoint reports in a response.
struct ReportedLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// Service time relative to normal, where 1 is normal. Unset when not
  /// reported.
  std::optional<double> Slowness;
};

/// Whether an endpoint accepts requests, as reported in the head of a response.
struct ReportedAvailability {
  bool Leaving = false;
  /// Requested back-off; zero when not reported.
  Duration BackOffFor{};
};

/// Outcome of a request, for logs and metrics.
struct RequestRecord {
  RequestId Id;
  RouteName Route;
  PoolName Pool;
  unsigned PromptTokens = 0;
  /// The shared parts of the prompt, if an endpoint broke off under the request
  /// or the request was refused for such crashes; see partsText.
  std::string Parts;
  std::uint64_t TablesVersion = 0;
  /// The version by which another host forwarded the request; 0 when none did.
  std::uint64_t SenderTables = 0;
  HomeRegions Homes;
  CustomerId Customer;
  /// The final status; 0 when the caller left or the response was interrupted.
  unsigned Status = 0;
  /// Short code of the outcome.
  std::string Outcome;
  /// How the end of the response was marked for the caller: "length", "chunks"
  /// or, for a stream that was broken off, "cut". Empty if there was none.
  std::string SentAs;
  /// What the request was waiting for when its caller left: "placing",
  /// "queued", "connecting", "sent" or "confirming" (of the tables, for a
  /// second run). Empty if the caller stayed.
  std::string LeftWhile;
  /// All attempts in order, each with the values that decided it.
  std::string Attempts;
  ExecutionState Execution = ExecutionState::NotSent;
  /// Inputs of the latest placement decision.
  DecisionInputs Inputs;
  Duration RetryAfter{};
  Duration FirstOutput{};
  /// Longest time between two parts of a stream.
  Duration LongestGap{};
  Duration Total{};
  unsigned Sends = 0;
  bool Forwarded = false;
  bool ForwardedToHost = false;
};

struct RelayHooks {
  /// Decodes a caller's request. Errors: BadRequest.
  std::function<Result<RequestDescriptor>(const HttpServerRequest &)> Decode;
  std::function<std::optional<ReportedLoad>(std::string_view)> DecodeLoad;
  std::function<ReportedAvailability(const HttpResponseHead &)>
      DecodeAvailability;
  /// Called with what endpoints report about themselves.
  std::function<void(const EndpointReport &)> EndpointReported;
  /// Whether requests may be handled by the tables now; see RecencyCheck. When
  /// empty, they may.
  std::function<bool()> MayAct;
  /// Whether the tables are known to include all changes that were acknowledged
  /// before a time. Needed for what only they allow: a second run. When empty,
  /// they do.
  std::function<bool(TimePoint)> TablesInclude;
  /// Has the tables read again. Then gets whether they include all changes that
  /// were acknowledged before a time, after AtMost at the latest and never on
  /// the calling stack. May be empty.
  std::function<void(TimePoint, Duration AtMost,
                     std::function<void(bool)> Then)>
      ReadTables;
  /// Time since the tables certainly included all changes; empty if they never
  /// did. May be empty.
  std::function<std::optional<Duration>()> TablesAge;
  /// Whether no request may be handled by the tables, since newer ones are
  /// known and have not come; see RecencyCheck::isOutdated. May be empty.
  std::function<bool()> TablesOutdated;
  /// Whether a request that arrived at this time may be handled by the customer
  /// of its key, which may have been removed since the tables were confirmed.
  /// May be empty.
  std::function<bool(TimePoint Arrived)> MayResolveKey;
  /// Requests the newest tables from another entry host, which forwarded a
  /// request by them. May be empty.
  std::function<void(const std::string &Ip)> FetchTables;
  /// Whether the process has memory for another request. May be empty.
  std::function<bool()> HasMemory;
  /// Whether any tables and endpoints have been received.
  std::function<bool()> HasFleetState;
  /// Whether the tables may tell a request that arrived at this time that its
  /// route or key does not exist: they are known to include all but the latest
  /// changes before.
  std::function<bool(TimePoint Arrived)> TablesCurrent;
  std::function<void(const RequestRecord &)> Done;
};

/// State and services that all requests of a host share.
struct RelayContext {
  Runtime Time;
  FleetView &Fleet;
  HostRegistry &Hosts;
  Dispatcher &Decisions;
  PlacementClient &Placement;
  HttpCaller &Caller;
  WireNames Names;
  RelayHooks Hooks;
  /// Port on which entry hosts receive requests that other hosts forward.
  std::string HostPort;
  /// Set when the host shuts down: from when it refuses further requests, and
  /// when it ends those that are still open. Neither depends on a timer, which
  /// may be late after a stall.
  std::optional<TimePoint> RefusesFrom = std::nullopt;
  std::optional<TimePoint> StopsAt = std::nullopt;
  OpenRequests Open = {};
  ByteBudget Responses{DefaultResponseMemory};
  /// Used when the size of the host's memory is unknown.
  static constexpr std::size_t DefaultResponseMemory = 16U << 20U;
  /// Null where no limits of customers apply.
  CustomerLimits *Limits = nullptr;
  /// Second sends beside slow first ones; off unless a share is set.
  PredictedHedges Hedges = {};
};

/// Header field between entry hosts. In a response: the request has not run.
inline constexpr const char *NotRunField = "Celerybeam-Not-Run";
/// In a refusal: the request has reached an endpoint, which refused it.
inline constexpr const char *ArrivedField = "Celerybeam-Arrived";
/// In a request: on how many endpoints it may still run. In a response: on how
/// many it has run or may have run.
inline constexpr const char *RunsField = "Celerybeam-Runs";
/// In a request: milliseconds since it arrived at the forwarding host.
inline constexpr const char *WaitedField = "Celerybeam-Waited-Ms";
/// In a request: the version of the tables by which it is forwarded.
inline constexpr const char *TablesField = "Celerybeam-Tables";
/// In a request: the IP address of the host that forwards it.
inline constexpr const char *HostField = "Celerybeam-Host";
/// In a request: the name of its customer and the digest of its key.
inline constexpr const char *CustomerField = "Celerybeam-Customer";
inline constexpr const char *KeyField = "Celerybeam-Key";
/// In a request: its home regions, separated by blanks; missing when all
/// regions may handle it.
inline constexpr const char *HomesField = "Celerybeam-Homes";

} // namespace celerybeam

#endif
