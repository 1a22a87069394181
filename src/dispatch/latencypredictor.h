#ifndef CELERYBEAM_DISPATCH_LATENCYPREDICTOR_H
#define CELERYBEAM_DISPATCH_LATENCYPREDICTOR_H

#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/descriptor.h"
#include "dispatch/endpointloadtracker.h"
#include "dispatch/prefixcachetracker.h"
#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// The endpoint of a region that is estimated to have the most tokens of a
/// prompt's prefix in its cache.
struct PrefixSource {
  const FleetEndpoint *Endpoint = nullptr;
  std::uint32_t Tokens = 0;
};

/// Predicted effect of sending a request to an endpoint now.
struct Prediction {
  /// From sending to the response, or to a stream's first event.
  Duration ToFirstOutput{};
  /// Part of ToFirstOutput that is spent behind requests in flight there.
  Duration Wait{};
  /// Prompt tokens that need a prefill.
  std::uint32_t UncachedTokens = 0;
  /// Prompt tokens that it is to copy from another endpoint first.
  std::uint32_t CopiedTokens = 0;
  /// Whether the endpoint has a slot and memory for it.
  bool HasCapacity = true;
  /// Whether it may be sent now: there is capacity, and the endpoint's other
  /// streams would not pause for too long.
  bool Ready = true;
};

/// Predicts how soon an endpoint answers, from the requests in flight, the
/// cached prefixes and its observed speed.
///
/// Handles these load patterns: "a long prompt takes a hundred times the work
/// of a short one", "endpoints differ in speed" and "neighbours stall an
/// endpoint for a moment". Not thread-safe.
class LatencyPredictor {
public:
  LatencyPredictor(Runtime R, EndpointLoadTracker &Loads,
                   PrefixCacheTracker &Prefixes);

  Prediction predict(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                     const RequestDescriptor &Request, const FleetRoute &Route,
                     const PrefixSource &Source = {}) const;
  /// Finds the endpoint that has most of the prompt's prefix cached.
  PrefixSource
  findPrefixSource(const std::vector<const FleetEndpoint *> &Endpoints,
                   const FleetPool &Pool,
                   const RequestDescriptor &Request) const;
  /// Time that an endpoint of the pool takes for the prefill of a prompt of
  /// this length, or to answer a plain request.
  Duration serviceTime(const FleetPool &Pool, std::uint32_t Tokens) const;

  /// The same for a request in flight at one endpoint, at its current speed.
  Duration serviceTimeAt(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                         const RequestCost &Cost) const;

  /// Time from a stream's first output to its end.
  Duration streamTime(const FleetPool &Pool,
                      std::uint32_t MaxOutputTokens) const;
  /// Records that a whole stream of at most this many tokens took this long
  /// from its first output on.
  void recordStream(const PoolName &Pool, std::uint32_t MaxOutputTokens,
                    Duration Took);

  /// Records that a first output, or a plain response, came after this time.
  void recordLatency(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                     const Prediction &Expected, Duration Took);
  /// Records the factor by which service takes longer than usual, as reported
  /// by the endpoint; 1 is as usual.
  void recordSlowness(const EndpointKey &Endpoint, double Factor);
  void forget(const EndpointKey &Endpoint) { Endpoints_.erase(Endpoint); }

  /// Prefill time of a token before any was observed.
  static constexpr double AssumedMsPerToken = 0.016;
  /// Decoding time of a token before any stream was observed.
  static constexpr double AssumedMsPerOutputToken = 8;
  /// Length of a stream before any was observed: some ten words.
  static constexpr double AssumedStreamMs = 500;
  /// Time of a plain request before any was observed.
  static constexpr Duration AssumedService = std::chrono::milliseconds(60);
  /// Several prefills may run together for this share of the longest tolerable
  /// pause. A step processes one prefill chunk and makes one token of each
  /// stream, and an event holds several tokens: a longer run of full steps
  /// makes the streams there pause for too long.
  static constexpr double PrefillShare = 0.25;
  /// If the steps of one event, all of them full, take less than this share of
  /// the longest tolerable pause, prefills need no time between them.
  static constexpr double NoSpacingShare = 0.6;
  /// Maximum share of its time that an engine with streams may spend on
  /// prefill.
  static constexpr double MaxPrefillUtilization = 0.95;
  /// Time between two prefills at an engine, for a few steps of the streams
  /// there alone.
  static constexpr Duration PrefillSpacing = std::chrono::milliseconds(16);
  /// Maximum share of an engine's memory to use; beyond it, running requests
  /// are preempted.
  static constexpr double MemoryShare = 0.92;
  /// From sending to first output beside the prefill: connection, scheduling
  /// and one decoding step of an engine.
  static constexpr Duration EngineOverhead = std::chrono::milliseconds(15);
  /// Tokens of one prefill step, which an urgent prompt cannot interrupt.
  static constexpr std::uint32_t PrefillChunk = 4096;
  /// Minimum length of a prefix that is worth copying; the set-up of a copy
  /// takes a few milliseconds.
  static constexpr std::uint32_t MinCopyTokens = 512;
  static constexpr Duration CopySetUp = std::chrono::milliseconds(4);

private:
  struct Speed {
    /// Learned from responses: observed over predicted time.
    double Learned = 1;
    /// Factor that the endpoint reported last.
    double Reported = 1;
    TimePoint ReportedAt{};
  };
  struct PoolSpeed {
    double MsPerToken = AssumedMsPerToken;
    double ServiceMs = 0;
    double MsPerOutputToken = AssumedMsPerOutputToken;
    /// Mean length of a whole stream.
    double StreamMs = AssumedStreamMs;
  };

  double slowness(const EndpointKey &Endpoint) const;
  /// Whether the streams at an engine had a few steps without prefill.
  bool hasPrefillSpacing(const EndpointKey &Endpoint) const;
  Prediction predictEngine(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                           const RequestDescriptor &Request,
                           const FleetRoute &Route,
                           const PrefixSource &Source) const;
  /// Time until an engine whose slots or memory are taken can accept one more
  /// request.
  ///
  /// Handles this load pattern: "engines of few slots, all taken by streams,
  /// without prefill". Such an engine looks idle by its prefill, but a request
  /// waits there until a stream ends. If it has a prompt's prefix cached,
  /// waiting takes longer than copying the prefix to another engine.
  double slotWaitMs(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                    const EndpointLoad &Load) const;
  /// Whether a prompt's prefill may join those at an engine without making its
  /// streams pause for too long.
  bool fitsPauseTarget(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                       const FleetRoute &Route, std::uint32_t Waiting,
                       std::uint32_t OwnTokens) const;
  std::uint32_t cachedTokens(const FleetEndpoint &Endpoint,
                             const FleetPool &Pool,
                             const RequestDescriptor &Request) const;
  Prediction predictPlain(const FleetEndpoint &Endpoint,
                          const FleetPool &Pool) const;
  const PoolSpeed &speedOf(const PoolName &Pool) const;

  Runtime Runtime_;
  EndpointLoadTracker &Loads_;
  PrefixCacheTracker &Prefixes_;
  std::unordered_map<EndpointKey, Speed> Endpoints_;
  std::unordered_map<PoolName, PoolSpeed> Pools_;
};

} // namespace celerybeam

#endif
