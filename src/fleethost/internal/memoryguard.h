#ifndef CELERYBEAM_FLEETHOST_INTERNAL_MEMORYGUARD_H
#define CELERYBEAM_FLEETHOST_INTERNAL_MEMORYGUARD_H

#include <cstddef>
#include <functional>
#include <optional>

#include "framework/runtime.h"

namespace celerybeam::detail {

/// Memory of this process that is resident, in bytes; empty when the system
/// does not tell.
std::optional<std::size_t> residentBytes();

/// A change of what a MemoryGuard says, for the log.
struct MemoryChange {
  bool IsShort = false;
  std::size_t Resident = 0;
  std::size_t Limit = 0;
};

/// Tells whether the process has memory for further requests.
///
/// Handles this load pattern: "a burst of requests whose heads are long". What
/// a request holds besides bodies and responses is in no budget, and a process
/// that exceeds its memory is killed with all requests in flight. So requests
/// are refused shortly before. Not thread-safe.
class MemoryGuard {
public:
  struct Hooks {
    std::function<std::optional<std::size_t>()> Resident;
    /// Returns memory that is not in use to the system.
    std::function<void()> Release;
    /// May be empty.
    std::function<void(const MemoryChange &)> Changed;
  };

  /// \param Limit  in bytes, above which the process is killed.
  MemoryGuard(Runtime R, std::size_t Limit, Hooks H);

  /// Reads the memory in use. Call often; most calls do nothing while there is
  /// plenty.
  void tick();
  bool hasRoom() const { return !IsShort_; }

  /// Share of the limit that may be in use when a request is accepted. The rest
  /// is for what comes between two ticks and for responses on their way.
  static constexpr double AcceptingShare = 0.92;
  /// Share from which memory is returned to the system, which would otherwise
  /// count what has been freed.
  static constexpr double ReleasingShare = 0.9;
  /// Share from which the memory is read at each tick.
  static constexpr double WatchedShare = 0.6;
  static constexpr Duration IdleInterval = std::chrono::milliseconds(500);
  static constexpr Duration ReleaseInterval = std::chrono::milliseconds(250);

private:
  bool exceeds(double Share) const;

  Runtime Runtime_;
  std::size_t Limit_;
  Hooks Hooks_;
  std::size_t Resident_ = 0;
  bool IsShort_ = false;
  TimePoint ReadAt_{};
  TimePoint ReleasedAt_{};
};

} // namespace celerybeam::detail

#endif
