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

/// Whom to probe next and which probes are open. Not thread-safe.
class ZoneProber {
public:
  /// A probe that this host sent for itself or for another.
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

  /// The next member in a shuffled round over all of them.
  std::optional<HostId> nextTarget(const std::vector<HostId> &Members);

  /// Opens a probe; returns its sequence number.
  std::uint64_t open(Probe P);
  /// Closes the probe that an acknowledgement names.
  std::optional<Probe> close(std::uint64_t Sequence);
  /// Own probes that need indirect ones: unanswered since before the time.
  std::vector<std::pair<std::uint64_t, HostId>> takeSlow(TimePoint SentBefore);
  /// Takes out the own probes that failed; drops those for others.
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
