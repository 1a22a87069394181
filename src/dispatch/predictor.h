#ifndef CELERYBEAM_DISPATCH_PREDICTOR_H
#define CELERYBEAM_DISPATCH_PREDICTOR_H

#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/descriptor.h"
#include "dispatch/loadbook.h"
#include "dispatch/prefixbook.h"
#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// The endpoint of a region that is thought to hold most of a prompt's
/// beginning.
struct PrefixSource {
  const FleetEndpoint *Endpoint = nullptr;
  std::uint32_t Tokens = 0;
};

/// What sending a request to an endpoint now would bring.
struct Prediction {
  /// From sending to the answer, or to a stream's first event.
  Duration ToFirstOutput{};
  /// Part of it spent behind work that is there already.
  Duration Wait{};
  /// Prompt tokens that it has to read.
  std::uint32_t UncachedTokens = 0;
  /// Prompt tokens that it is to copy from another endpoint first.
  std::uint32_t CopiedTokens = 0;
  /// Whether the endpoint has a place and memory for it.
  bool HasRoom = true;
  /// Whether it may be sent now: there is room, and the endpoint's other
  /// streams would not pause for too long.
  bool Ready = true;
};

/// Predicts how soon an endpoint answers, from the work in flight, the cached
/// beginnings and the speed that it has shown.
///
/// Answers to "a long prompt takes a hundred times the work of a short one",
/// "endpoints differ in speed" and "neighbours stall an endpoint for a
/// moment". Not thread-safe.
class Predictor {
public:
  Predictor(Runtime R, LoadBook &Loads, PrefixBook &Prefixes);

  Prediction predict(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                     const RequestDescriptor &Request, const FleetRoute &Route,
                     const PrefixSource &Source = {}) const;
  /// Of some endpoints, the one with most of the prompt's beginning.
  PrefixSource sourceAmong(const std::vector<const FleetEndpoint *> &Endpoints,
                           const FleetPool &Pool,
                           const RequestDescriptor &Request) const;
  /// Time that an endpoint of the pool takes to read a prompt of this length,
  /// or to answer a plain request.
  Duration ownTime(const FleetPool &Pool, std::uint32_t Tokens) const;

  /// The same for work in flight at one endpoint, as slow as it is now.
  Duration ownTimeAt(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                     const Work &Asked) const;

  /// Time from a stream's first output to its end.
  Duration streamTime(const FleetPool &Pool,
                      std::uint32_t MaxOutputTokens) const;
  /// A whole stream of at most this many tokens took this long from its first
  /// output on.
  void streamed(const PoolName &Pool, std::uint32_t MaxOutputTokens,
                Duration Took);

  /// A first output, or a plain answer, came after this time.
  void observed(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                const Prediction &Expected, Duration Took);
  /// The endpoint said how long work takes there now; 1 is as usual.
  void saidSlowness(const EndpointKey &Endpoint, double Factor);
  void forget(const EndpointKey &Endpoint) { Endpoints_.erase(Endpoint); }

  /// Prefill time of a token before any was observed.
  static constexpr double AssumedMsPerToken = 0.016;
  /// Decoding time of a token before any stream was observed.
  static constexpr double AssumedMsPerOutputToken = 8;
  /// Length of a stream before any was observed: some ten words.
  static constexpr double AssumedStreamMs = 500;
  /// Time of a plain request before any was observed.
  static constexpr Duration AssumedService = std::chrono::milliseconds(60);
  /// Prompts may be read together for this share of the longest tolerable
  /// pause. A step reads one chunk and makes one token of each stream, and an
  /// event holds several tokens: a longer run of full steps makes the streams
  /// there pause for too long.
  static constexpr double PrefillShare = 0.25;
  /// If the steps of one event, all of them full, take less than this share of
  /// the longest tolerable pause, prompts need no time between them.
  static constexpr double HarmlessShare = 0.6;
  /// Share of its time that an engine with streams may read prompts.
  static constexpr double MostReading = 0.95;
  /// Time between two prompts at an engine, for a few steps of the streams
  /// there alone.
  static constexpr Duration PrefillSpacing = std::chrono::milliseconds(16);
  /// Share of an engine's memory that is given out; beyond it, running
  /// requests are preempted.
  static constexpr double MemoryShare = 0.92;
  /// From sending to first output beside the prefill: connection, scheduling
  /// and one decoding step of an engine.
  static constexpr Duration EngineOverhead = std::chrono::milliseconds(15);
  /// Tokens of one prefill step, which an urgent prompt cannot interrupt.
  static constexpr std::uint32_t PrefillChunk = 4096;
  /// Copying a beginning pays from this length on; its set-up takes a few
  /// milliseconds.
  static constexpr std::uint32_t LeastCopy = 512;
  static constexpr Duration CopySetUp = std::chrono::milliseconds(4);

private:
  struct Speed {
    /// Learned from answers: observed over predicted time.
    double Learned = 1;
    /// As the endpoint said it last.
    double Said = 1;
    TimePoint SaidAt{};
  };
  struct PoolSpeed {
    double MsPerToken = AssumedMsPerToken;
    double ServiceMs = 0;
    double MsPerOutputToken = AssumedMsPerOutputToken;
    /// Mean length of a whole stream.
    double StreamMs = AssumedStreamMs;
  };

  double slowness(const EndpointKey &Endpoint) const;
  /// Whether the streams at an engine had a few steps alone.
  bool isSpaced(const EndpointKey &Endpoint) const;
  Prediction predictEngine(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                           const RequestDescriptor &Request,
                           const FleetRoute &Route,
                           const PrefixSource &Source) const;
  /// Time until an engine whose slots or memory are taken has room for one
  /// more.
  ///
  /// Answers to "engines of few slots, all taken by streams, that read
  /// nothing": to wait for one that holds a prompt's beginning takes longer
  /// than to copy it to another.
  double placeWaitMs(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                     const EndpointLoad &Load) const;
  /// Whether a prompt may join what an engine reads already without making
  /// its streams pause for too long.
  bool isPaced(const FleetEndpoint &Endpoint, const FleetPool &Pool,
               const FleetRoute &Route, std::uint32_t Waiting,
               std::uint32_t Own) const;
  std::uint32_t cachedTokens(const FleetEndpoint &Endpoint,
                             const FleetPool &Pool,
                             const RequestDescriptor &Request) const;
  Prediction predictPlain(const FleetEndpoint &Endpoint,
                          const FleetPool &Pool) const;
  const PoolSpeed &speedOf(const PoolName &Pool) const;

  Runtime Runtime_;
  LoadBook &Loads_;
  PrefixBook &Prefixes_;
  std::unordered_map<EndpointKey, Speed> Endpoints_;
  std::unordered_map<PoolName, PoolSpeed> Pools_;
};

} // namespace celerybeam

#endif
