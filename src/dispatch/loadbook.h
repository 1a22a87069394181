#ifndef CELERYBEAM_DISPATCH_LOADBOOK_H
#define CELERYBEAM_DISPATCH_LOADBOOK_H

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "blackboard/idtypes.h"
#include "dispatch/readingduty.h"
#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Names one dispatch in a LoadBook.
struct WorkId {
  std::uint64_t Value = 0;
};

/// What one dispatch asks of an endpoint.
struct Work {
  /// Prompt tokens that the endpoint's cache is thought to lack.
  std::uint32_t UncachedTokens = 0;
  /// Prompt and answer tokens that it holds in memory while it runs.
  std::uint32_t MemoryTokens = 0;
  /// 0 is the most urgent.
  unsigned Rank = 0;
};

/// The work in flight at one endpoint.
struct EndpointLoad {
  /// Requests sent and not ended.
  std::uint32_t InFlight = 0;
  /// Prompt tokens of requests that wait for their first output, of the most
  /// urgent rank and of all ranks.
  std::uint32_t UrgentPrefill = 0;
  std::uint32_t AllPrefill = 0;
  std::uint32_t MemoryTokens = 0;
};

/// An endpoint has requests and has answered none of them for a while.
struct EndpointSilence {
  /// Since its last first output, or since the oldest request was sent.
  Duration For{};
  /// What the oldest request asks of it.
  Work Oldest;
};

/// The work in flight at each endpoint that was placed from here.
///
/// Answers to "reports of load lag by some hundred milliseconds, and all hosts
/// would pick the same idle endpoint": what is placed counts from that moment
/// on. Not thread-safe.
class LoadBook {
public:
  explicit LoadBook(Runtime R) : Runtime_(std::move(R)) {}

  WorkId started(const EndpointKey &Endpoint, const Work &W);
  /// The endpoint has sent its first output: the prompt is read.
  void firstOutput(WorkId Id);
  void ended(WorkId Id);

  const EndpointLoad &at(const EndpointKey &Endpoint) const;
  /// Share of the last seconds in which a prompt waited there for its first
  /// output.
  double readingShare(const EndpointKey &Endpoint) const;
  /// When the endpoint finished reading a prompt last; long ago when never.
  TimePoint lastRead(const EndpointKey &Endpoint) const;
  /// When the oldest prompt that waits there was sent; unset when none does.
  std::optional<TimePoint> oldestWaiting(const EndpointKey &Endpoint) const;
  /// Unset when no request waits there for its first output.
  std::optional<EndpointSilence> silence(const EndpointKey &Endpoint) const;
  void forget(const EndpointKey &Endpoint);

private:
  struct Dispatch {
    EndpointKey Endpoint;
    Work Asked;
    bool Waiting = true;
  };
  struct Entry {
    EndpointLoad Load;
    TimePoint LastRead{};
    TimePoint LastOutput{};
    ReadingDuty Duty;
    /// When each waiting prompt was sent, by number, the oldest first.
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
