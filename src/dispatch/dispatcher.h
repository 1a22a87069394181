#ifndef CELERYBEAM_DISPATCH_DISPATCHER_H
#define CELERYBEAM_DISPATCH_DISPATCHER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/admissionrule.h"
#include "dispatch/coldstartlimiter.h"
#include "dispatch/crashtracker.h"
#include "dispatch/descriptor.h"
#include "dispatch/endpointhealth.h"
#include "dispatch/endpointloadtracker.h"
#include "dispatch/executionstate.h"
#include "dispatch/latencypredictor.h"
#include "dispatch/longpromptscorer.h"
#include "dispatch/regionloadtracker.h"
#include "dispatch/regionofferlimiter.h"
#include "dispatch/requestqueue.h"
#include "dispatch/sharedretrybudget.h"
#include "fleet/fleetview.h"
#include "fleet/hostregistry.h"

namespace celerybeam {

/// Weights and limits of the dispatcher's decisions.
struct DispatchSettings {
  /// One round trip to another region with connection reuse, and the hop
  /// through its host.
  Duration RegionRoundTrip = std::chrono::milliseconds(130);
  /// A request goes to another region only if it is answered this much sooner
  /// there, as the transfer costs money.
  Duration MinRemoteGain = std::chrono::milliseconds(60);
  /// Another region is considered only if the local first output is predicted
  /// to take more than this share of the latency target.
  double RemoteThreshold = 0.5;
  /// Prompts whose prefill on an idle engine takes more than this share of
  /// their latency target count as long: under load they are the first that
  /// cannot be on time.
  double LongPromptThreshold = 0.5;
  /// A stream's first output is to come this long before its caller gives up
  /// waiting for it: predictions err by about as much.
  Duration PatienceMargin = std::chrono::milliseconds(300);
  /// Share of an uncached prompt's prefill time that counts against an endpoint
  /// although the request itself would not wait for it: the prefill delays the
  /// requests that follow.
  double UncachedPrefillWeight = 0.5;
  /// Score for each step down in a prefix's order of preference, so that hosts
  /// agree on an endpoint for a prefix that none has cached.
  Duration PreferenceStep = std::chrono::milliseconds(8);
  /// A queued request that has waited this long takes an endpoint that is ready
  /// in place of a preferred one that is not. To read a shared prefix again
  /// takes about as long.
  Duration MaxPreferenceWait = std::chrono::milliseconds(40);
  /// Score of an endpoint that fails all its requests.
  Duration FailurePenalty = std::chrono::milliseconds(1500);
  LongPromptSettings LongPrompts;
  /// Time after which a refused caller is to retry if nothing else is known.
  Duration DefaultRetryAfter = std::chrono::milliseconds(600);
};

/// Inputs of one decision, for its log line.
struct DecisionInputs {
  /// Endpoints of the region that are not leaving, gone or evacuated, and how
  /// many of them are skipped because they are suspect, or cold and without
  /// allowance for this host.
  unsigned Usable = 0;
  unsigned Untrusted = 0;
  unsigned Cold = 0;
  /// Endpoints that back off.
  unsigned BackingOff = 0;
  /// Predicted time to the first output in this region and in the best other
  /// region; unset where no endpoint can serve the request.
  std::optional<Duration> Local;
  std::optional<Duration> Remote;
  /// Latest time of its first output that is still of use, from its arrival.
  Duration Limit{};
  /// Host that decided; empty if the request's own host did.
  std::string Placer;
  /// Time from asking that host to its reply.
  Duration PlacerReplyTime{};
};

/// State of a request over all its attempts so far.
struct AttemptLog {
  /// Drawn once by weight; empty before.
  PoolName Pool;
  std::vector<EndpointKey> Tried;
  std::vector<RegionId> RegionsTried;
  /// Number of endpoints that may have run it.
  unsigned Runs = 0;
  /// Number of sends of any kind.
  unsigned Sends = 0;
  ExecutionState Execution = ExecutionState::NotSent;
  /// Arrival time; set by the first choice.
  TimePoint Arrived{};
  /// When its caller first sent it, if it was refused before; set by the first
  /// choice.
  std::optional<TimePoint> FirstRequestedAt;
  /// Whether it is in the request queue. Then only requests that are offered a
  /// slot before it count as ahead of it.
  bool Queued = false;
  /// Its group in the queue, and whether it is there as an underserved long
  /// prompt.
  QueueLane Lane = QueueLane::OnTime;
  bool QueuedAsUnderserved = false;
  /// Rank under which it was last queued; unset if it never was.
  std::optional<unsigned> QueuedRank;
  /// Inputs of the latest choice.
  DecisionInputs Inputs;
};

/// Decision: send to an endpoint of this region.
struct ServeAt {
  FleetEndpoint Endpoint;
  Prediction Expected;
  /// Whether the endpoint is cold, so that the request uses part of its
  /// allowance.
  bool Cold = false;
  /// Address of the engine to copy the prompt's prefix from; empty if none.
  Address CopyFrom;
};

/// Decision: forward to a host of another region.
struct ForwardTo {
  HostState Host;
  Duration Expected{};
  /// Whether the region's load is known. If not, the request is an offer, and
  /// its result has to be reported to the placer that decided.
  bool LoadKnown = true;
};

/// Decision: refuse, as nothing can serve it in time. The request has not been
/// sent.
struct Refusal {
  Duration RetryAfter{};
  /// One word for logs and metrics.
  std::string Reason;
};

/// Reason of a refusal for a request under which endpoints crash.
inline constexpr const char *CrashRefusal = "crashes_endpoints";

/// Reason of a refusal for a request that is placed only at an endpoint with a
/// free slot.
inline constexpr const char *NoFreeSlotRefusal = "no_free_slot";

/// Decision: wait in this host's queue, as every suitable endpoint is busy.
struct Enqueue {
  Duration Expected{};
  /// Part of Expected that is spent behind requests that can be on time; zero
  /// for one that cannot.
  Duration QueueWait{};
  /// See QueuedRequest.
  TimePoint OnTimeUntil{};
  TimePoint ReevaluateAt{};
  Duration Occupancy{};
  /// Rank in the queue; an underserved class is queued with the most urgent
  /// rank of its customer's priority, and an underserved customer as one of the
  /// most urgent.
  unsigned Rank = 0;
  bool HasReservedEndpoint = false;
};

using DispatchDecision = std::variant<ServeAt, ForwardTo, Enqueue, Refusal>;

/// Decides for each request whether it is sent to a local endpoint, forwarded
/// to another region, queued, refused or retried. Not thread-safe.
class Dispatcher {
public:
  Dispatcher(Runtime R, FleetView &Fleet, HostRegistry &Hosts,
             RetryBudgetBounds RetryBounds, DispatchSettings Settings = {});
  ~Dispatcher();

  /// Chooses for the next attempt. Sets the log's pool on the first call.
  ///
  /// A request with OnlyFree is served by a trusted endpoint of this region
  /// that is not cold and has a free slot now, if no request of the pool is
  /// queued here, and is refused otherwise.
  DispatchDecision choose(const RequestDescriptor &Request,
                          const FleetRoute &Route, AttemptLog &Log);

  /// Whether the tables in force have this pool.
  bool knowsPool(const PoolName &Pool) const;

  /// The part of a choice that does not depend on the state of endpoints: draws
  /// the pool, counts the request, and refuses what nothing can serve.
  std::optional<Refusal> admit(const RequestDescriptor &Request,
                               const FleetRoute &Route, AttemptLog &Log);

  /// Sets the hooks that tell at which endpoints this host places requests, and
  /// for how long the region's set of placers has been the same. Without hooks
  /// it places at all endpoints, and the set counts as unchanged.
  void setOwnership(std::function<bool(const EndpointKey &)> Owns,
                    std::function<Duration()> PlacersStableFor = {});

  /// Sets the hook for changes of what crashes() believes.
  void onCrashChange(std::function<void(const CrashChange &)> Changed);

  /// Decides whether another attempt may be made after a failure.
  RetryDecision mayRetry(const RequestDescriptor &Request,
                         const FleetRoute &Route, const AttemptLog &Log);
  /// Takes a retry that is sent now from the shared retry budget. Others may
  /// have used it up since mayRetry.
  RetryDecision takeRetry(const PoolName &Pool);

  /// Whether the request may be sent a second time beside a send that has no
  /// output yet, which the log does not count as a run.
  /// \param Predicted  predicted time to first output of that send.
  bool mayHedge(const RequestDescriptor &Request, const FleetRoute &Route,
                const AttemptLog &Log, Duration Predicted);

  /// Number of endpoints on which the request may still run.
  static unsigned runsLeft(const RequestDescriptor &Request,
                           const FleetRoute &Route, const AttemptLog &Log);

  /// Load that an attempt puts on its endpoint.
  static RequestCost costOf(const RequestDescriptor &Request,
                            const FleetRoute &Route, const ServeAt &Choice);
  /// Starts an attempt. The endpoint's load includes it until it has ended.
  DispatchId begin(const RequestDescriptor &Request, const FleetRoute &Route,
                   const ServeAt &Choice, AttemptLog &Log);
  /// Records the first output of an attempt.
  void recordFirstOutput(const ServeAt &Choice, DispatchId Id, Duration Took);
  void end(const ServeAt &Choice, DispatchId Id, AttemptOutcome Outcome);

  /// Records that a request was forwarded.
  void recordForward(const RequestDescriptor &Request, const ForwardTo &Choice,
                     AttemptLog &Log);

  /// Limit of the requests that are forwarded to regions of unknown load.
  RegionOfferLimiter &offers();

  /// Requests that wait at this host.
  RequestQueue &queue();
  /// Offers free slots to the queued requests. Call after an endpoint's load
  /// fell and every OfferInterval.
  void offerSlots();
  static constexpr Duration OfferInterval = std::chrono::milliseconds(5);

  /// Records how long a request was queued, beside the prediction.
  void recordWait(const PoolName &Pool, Duration Predicted, Duration Took);
  /// Records that a whole stream of at most this many tokens took this long
  /// from its first output on.
  void recordStream(const PoolName &Pool, std::uint32_t MaxOutputTokens,
                    Duration Took);

  /// Mean load of each pool over the endpoints that this host places at, for
  /// the other regions.
  std::vector<PoolLoadSummary> outlook() const;

  void forget(const EndpointKey &Endpoint);
  void setRetryBounds(const RetryBudgetBounds &Bounds);

  EndpointLoadTracker &loads();
  EndpointHealth &health();
  CrashTracker &crashes();
  RegionLoadTracker &regions();
  LatencyPredictor &predictor();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
