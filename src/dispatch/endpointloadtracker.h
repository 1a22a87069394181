#ifndef CELERYBEAM_DISPATCH_ENDPOINTLOADTRACKER_H
#define CELERYBEAM_DISPATCH_ENDPOINTLOADTRACKER_H

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "blackboard/idtypes.h"
#include "dispatch/prefillutilization.h"
#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Identifies one dispatch in an EndpointLoadTracker.
struct DispatchId {
  std::uint64_t Value = 0;
};

/// Load that one dispatch puts on an endpoint.
struct RequestCost {
  /// Prompt tokens that the endpoint's cache is estimated to lack.
  std::uint32_t UncachedTokens = 0;
  /// Prompt and output tokens that it holds in memory while it runs.
  std::uint32_t MemoryTokens = 0;
  /// 0 is the most urgent.
  unsigned Rank = 0;
};

/// Load of the requests in flight at one endpoint.
struct EndpointLoad {
  /// Requests sent and not ended.
  std::uint32_t InFlight = 0;
  /// Prompt tokens of requests that wait for their first output, of the most
  /// urgent rank and of all ranks.
  std::uint32_t UrgentPrefill = 0;
  std::uint32_t AllPrefill = 0;
  std::uint32_t MemoryTokens = 0;
};

/// An endpoint that has requests and has answered none of them for a while.
struct EndpointSilence {
  /// Time since its last first output, or since the oldest request was sent.
  Duration For{};
  /// Load of the oldest request.
  RequestCost Oldest;
};

/// Tracks the requests in flight at each endpoint, as far as this host placed
/// them.
///
/// Handles this load pattern: "load reports lag by some hundred milliseconds,
/// and all hosts would pick the same idle endpoint". A request counts from the
/// moment it is placed. Not thread-safe.
class EndpointLoadTracker {
public:
  explicit EndpointLoadTracker(Runtime R) : Runtime_(std::move(R)) {}

  DispatchId recordStart(const EndpointKey &Endpoint, const RequestCost &W);
  /// Records that the endpoint has sent the first output: the prefill is done.
  void recordFirstOutput(DispatchId Id);
  void recordEnd(DispatchId Id);

  const EndpointLoad &at(const EndpointKey &Endpoint) const;
  /// Share of the last seconds in which a prompt waited there for its first
  /// output.
  double prefillUtilization(const EndpointKey &Endpoint) const;
  /// When the endpoint last finished a prefill; long ago if never.
  TimePoint lastPrefillEnd(const EndpointKey &Endpoint) const;
  /// When the oldest prompt that waits there was sent; unset if none does.
  std::optional<TimePoint> oldestWaiting(const EndpointKey &Endpoint) const;
  /// Unset if no request waits there for its first output.
  std::optional<EndpointSilence> silence(const EndpointKey &Endpoint) const;
  void forget(const EndpointKey &Endpoint);

private:
  struct Dispatch {
    EndpointKey Endpoint;
    RequestCost Cost;
    bool Waiting = true;
  };
  struct Entry {
    EndpointLoad Load;
    TimePoint LastPrefillEnd{};
    TimePoint LastOutput{};
    PrefillUtilization Utilization;
    /// When each waiting prompt was sent, by dispatch id, the oldest first.
    std::map<std::uint64_t, TimePoint> Waiting;
  };

  void endWait(std::uint64_t Id, Dispatch &D, Entry &E);
  const Entry *find(const EndpointKey &Endpoint) const;

  Runtime Runtime_;
  std::uint64_t LastId_ = 0;
  std::unordered_map<std::uint64_t, Dispatch> Dispatches_;
  std::unordered_map<EndpointKey, Entry> Entries_;
};

} // namespace celerybeam

#endif
