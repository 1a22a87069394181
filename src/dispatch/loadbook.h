#ifndef CELERYBEAM_DISPATCH_LOADBOOK_H
#define CELERYBEAM_DISPATCH_LOADBOOK_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "blackboard/idtypes.h"
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

/// Work of one host, or of all, at one endpoint.
struct EndpointLoad {
  EndpointKey Endpoint;
  /// Requests sent and not ended.
  std::uint32_t InFlight = 0;
  /// Prompt tokens of requests that wait for their first output, of the most
  /// urgent rank and of all ranks.
  std::uint32_t UrgentPrefill = 0;
  std::uint32_t AllPrefill = 0;
  std::uint32_t MemoryTokens = 0;
};

/// The work in flight at each endpoint: own dispatches exactly, those of the
/// region's other hosts as their latest message told.
///
/// Answers to "reports of load lag by some hundred milliseconds, and all hosts
/// would pick the same idle endpoint". Not thread-safe.
class LoadBook {
public:
  /// \param PeerAge  messages older than this no longer count.
  LoadBook(Runtime R, Duration PeerAge = std::chrono::milliseconds(1500));
  ~LoadBook();

  WorkId started(const EndpointKey &Endpoint, const Work &W);
  /// The endpoint has sent its first output: the prompt is read.
  void firstOutput(WorkId Id);
  void ended(WorkId Id);

  /// Replaces what another host said before.
  void peerSaid(const HostId &Host, const std::vector<EndpointLoad> &Loads);

  /// Age of the oldest message that counts; zero when there is none.
  Duration newsAge() const;

  /// Sum over all hosts.
  EndpointLoad total(const EndpointKey &Endpoint) const;
  /// Own share at each endpoint with work, for the other hosts.
  std::vector<EndpointLoad> own() const;
  /// Share of the last seconds in which some host had a prompt there that
  /// waited for its first output.
  double readingShare(const EndpointKey &Endpoint) const;
  /// When an endpoint was last heard to have finished reading a prompt; long
  /// ago when never.
  TimePoint lastRead(const EndpointKey &Endpoint) const;
  /// When own's oldest unanswered prompt was sent; unset when none waits.
  std::optional<TimePoint> oldestWaiting(const EndpointKey &Endpoint) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
