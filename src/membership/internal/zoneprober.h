#ifndef CELERYBEAM_MEMBERSHIP_INTERNAL_ZONEPROBER_H
#define CELERYBEAM_MEMBERSHIP_INTERNAL_ZONEPROBER_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// Chooses the next member to probe and tracks the probes that have not been
/// acknowledged. Not thread-safe.
class ZoneProber {
public:
  /// A probe that this host sent, for itself or on behalf of another host.
  struct Probe {
    HostId Target;
    TimePoint SentAt{};
    bool IndirectSent = false;
    /// Set when the probe is on behalf of another host.
    HostId Requester;
    std::uint64_t RequesterSequence = 0;
  };

  explicit ZoneProber(std::function<std::uint64_t()> Random)
      : Random_(std::move(Random)) {}

  /// Returns the next member of a shuffled round over all members; nothing
  /// when there are none.
  std::optional<HostId> nextTarget(const std::vector<HostId> &Members);

  /// Starts to track a probe; returns its sequence number.
  std::uint64_t open(Probe P);
  /// Ends and returns the probe that an acknowledgement names.
  std::optional<Probe> close(std::uint64_t Sequence);
  /// Returns this host's own probes that were sent before the given time, are
  /// not acknowledged and need indirect probes; each probe is returned once.
  std::vector<std::pair<std::uint64_t, HostId>> takeSlow(TimePoint SentBefore);
  /// Removes the probes that were sent before the given time. Returns the
  /// targets of this host's own probes; those for other hosts are dropped.
  std::vector<HostId> takeFailed(TimePoint SentBefore);
  /// Drops all open probes.
  void clear() { Open_.clear(); }

private:
  std::function<std::uint64_t()> Random_;
  std::vector<HostId> Round_;
  std::uint64_t NextSequence_ = 1;
  std::map<std::uint64_t, Probe> Open_;
};

/// Picks up to Count of the hosts at random.
std::vector<HostId> pickRandom(std::vector<HostId> Hosts, std::size_t Count,
                               const std::function<std::uint64_t()> &Random);

} // namespace celerybeam::detail

#endif
