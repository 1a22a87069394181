#ifndef CELERYBEAM_DISPATCH_DISPATCHER_H
#define CELERYBEAM_DISPATCH_DISPATCHER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/admissionrule.h"
#include "dispatch/coldallowance.h"
#include "dispatch/crashedrequests.h"
#include "dispatch/descriptor.h"
#include "dispatch/endpointhealth.h"
#include "dispatch/executionknowledge.h"
#include "dispatch/holdqueue.h"
#include "dispatch/loadbook.h"
#include "dispatch/longlane.h"
#include "dispatch/predictor.h"
#include "dispatch/regionoutlook.h"
#include "dispatch/sharedretrybudget.h"
#include "fleet/fleetview.h"
#include "fleet/hostregistry.h"

namespace celerybeam {

/// Weights and limits of the dispatcher's decisions.
struct DispatchSettings {
  /// One round trip to another region with connection reuse, and the hop
  /// through its host.
  Duration RegionHop = std::chrono::milliseconds(130);
  /// A request goes to another region only if it is answered this much sooner
  /// there: the transfer is paid for.
  Duration AwayGain = std::chrono::milliseconds(60);
  /// Share of the latency target that the answer here must be predicted to
  /// take before another region is considered.
  double AwayFrom = 0.5;
  /// Prompts that an idle engine reads for longer than this share of their
  /// latency target count as long: under load they are the first that cannot be
  /// on time.
  double LongFrom = 0.5;
  /// A stream's first output is to come this long before its caller gives up
  /// waiting for it: predictions err by about as much.
  Duration PatienceMargin = std::chrono::milliseconds(300);
  /// Share of an uncached prompt's reading time that counts against an
  /// endpoint although the request itself would not wait for it: the work
  /// delays those that follow.
  double UncachedCost = 0.5;
  /// Score for each step down in a prefix's order of preference, so that hosts
  /// agree on a place for a prefix that none has.
  Duration PreferenceStep = std::chrono::milliseconds(8);
  /// Score of an endpoint that fails all its requests.
  Duration FailurePenalty = std::chrono::milliseconds(1500);
  LongLaneSettings LongPrompts;
  /// When to come back if nothing else is known.
  Duration DefaultRetryAfter = std::chrono::milliseconds(600);
};

/// What a decision saw, for its log line.
struct DecisionInputs {
  /// Endpoints of the region that are not leaving, gone or evacuated, and how
  /// many of them are passed over because they are broken, or cold without
  /// allowance for this host.
  unsigned Usable = 0;
  unsigned Untrusted = 0;
  unsigned Cold = 0;
  /// Those that want nothing for now.
  unsigned Resting = 0;
  /// Predicted time to the first output here and in the best other region;
  /// unset where nothing can serve it.
  std::optional<Duration> Here;
  std::optional<Duration> Away;
  /// Latest time from its arrival at which it is still sent.
  Duration Limit{};
  /// The host that decided; empty: the request's own.
  std::string Placer;
  /// Time from asking it to its word.
  Duration PlacerTook{};
};

/// What has happened to a request so far.
struct AttemptLog {
  /// Chosen once by weight; empty before.
  PoolName Pool;
  std::vector<EndpointKey> Tried;
  std::vector<RegionId> RegionsTried;
  /// Endpoints that may have run it.
  unsigned Runs = 0;
  /// Sends of any kind.
  unsigned Sends = 0;
  ExecutionKnowledge Known = ExecutionKnowledge::NotSent;
  /// When it arrived; set by the first choice.
  TimePoint Arrived{};
  /// When its caller first asked, if it was refused before; set by the first
  /// choice.
  std::optional<TimePoint> FirstAsked;
  /// Whether it waits in the hold queue, so that nobody there is ahead of it
  /// but those that are offered to before it.
  bool Held = false;
  /// Where it stands there, and whether that is a long prompt's share.
  QueueLane Lane = QueueLane::OnTime;
  bool HasShare = false;
  /// Of the latest choice.
  DecisionInputs Seen;
};

/// Send to an endpoint of this region.
struct ServeAt {
  FleetEndpoint Endpoint;
  Prediction Expected;
  /// Whether it is cold and takes part of its allowance.
  bool Cold = false;
  /// Where it copies the prompt's beginning from; empty: nowhere.
  Address CopyFrom;
};

/// Pass on to a host of another region.
struct PassOn {
  HostState Host;
  Duration Expected{};
};

/// Nothing can serve it in time. The request has not been sent.
struct Refusal {
  Duration RetryAfter{};
  /// One word for logs and metrics.
  std::string Reason;
};

/// Wait at this host: every endpoint that suits has enough to do.
struct Hold {
  Duration Expected{};
  /// Part of it spent behind others that can be on time; zero for one that
  /// cannot.
  Duration QueueWait{};
  /// See HeldRequest.
  TimePoint OnTimeUntil{};
  TimePoint DecideAgainAt{};
  Duration Work{};
  /// In the queue; a class that is owed a share stands with the most urgent.
  unsigned Rank = 0;
  bool KeepsEndpoint = false;
};

using DispatchDecision = std::variant<ServeAt, PassOn, Hold, Refusal>;

/// Decides where each request goes, whether it may go again, or that it is
/// refused at once. Not thread-safe.
class Dispatcher {
public:
  Dispatcher(Runtime R, FleetView &Fleet, HostRegistry &Hosts,
             RetryBudgetBounds RetryBounds, DispatchSettings Settings = {});
  ~Dispatcher();

  /// Chooses for the next attempt. Sets the log's pool on the first call.
  DispatchDecision choose(const RequestDescriptor &Request,
                          const FleetRoute &Route, AttemptLog &Log);

  /// The part of a choice that needs no knowledge of endpoints: draws the pool,
  /// counts the request, and refuses what can be served nowhere.
  std::optional<Refusal> admit(const RequestDescriptor &Request,
                               const FleetRoute &Route, AttemptLog &Log);

  /// At which endpoints this host places requests, and since when the region's
  /// placers have been the same; all and always without hooks.
  void setOwned(std::function<bool(const EndpointKey &)> Owns,
                std::function<Duration()> SettledFor = {});

  /// Whether, after a failure, another attempt may be made; takes it from the
  /// common budget if so.
  bool mayTryAgain(const RequestDescriptor &Request, const FleetRoute &Route,
                   const AttemptLog &Log);

  /// On how many endpoints the request may still run.
  static unsigned runsLeft(const RequestDescriptor &Request,
                           const FleetRoute &Route, const AttemptLog &Log);

  /// What an attempt asks of its endpoint.
  static Work workOf(const RequestDescriptor &Request, const FleetRoute &Route,
                     const ServeAt &Choice);
  /// An attempt begins. The endpoint's load grows until it has ended.
  WorkId begin(const RequestDescriptor &Request, const FleetRoute &Route,
               const ServeAt &Choice, AttemptLog &Log);
  /// The first output of an attempt came.
  void firstOutput(const ServeAt &Choice, WorkId Id, Duration Took);
  void end(const ServeAt &Choice, WorkId Id, AttemptOutcome Outcome);

  /// A request was passed on.
  void passedOn(const RequestDescriptor &Request, const PassOn &Choice,
                AttemptLog &Log);

  /// Requests that wait at this host.
  HoldQueue &held();
  /// Offers places to those that wait. Call after an endpoint's load fell and
  /// every OfferInterval.
  void offerPlaces();
  static constexpr Duration OfferInterval = std::chrono::milliseconds(5);

  /// A request that waited was served after this time.
  void waited(const PoolName &Pool, Duration Predicted, Duration Took);
  /// A whole stream of at most this many tokens took this long from its first
  /// output on.
  void streamed(const PoolName &Pool, std::uint32_t MaxOutputTokens,
                Duration Took);

  /// Means of the pools over the endpoints that this host places at, for the
  /// other regions.
  std::vector<PoolOutlook> outlook() const;

  void forget(const EndpointKey &Endpoint);
  void setRetryBounds(const RetryBudgetBounds &Bounds);

  LoadBook &loads();
  EndpointHealth &health();
  CrashedRequests &crashes();
  RegionOutlook &regions();
  Predictor &predictor();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
