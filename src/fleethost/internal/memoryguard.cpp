#include "fleethost/internal/memoryguard.h"

#include <fstream>
#include <utility>

#include <unistd.h>

namespace celerybeam::detail {

std::optional<std::size_t> residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  if (!(In >> Total >> Resident))
    return std::nullopt;
  return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

MemoryGuard::MemoryGuard(Runtime R, std::size_t Limit, Hooks H)
    : Runtime_(std::move(R)), Limit_(Limit), Hooks_(std::move(H)) {}

bool MemoryGuard::exceeds(double Share) const {
  return static_cast<double>(Resident_) > Share * static_cast<double>(Limit_);
}

void MemoryGuard::tick() {
  TimePoint Now = Runtime_.Now();
  if (!exceeds(WatchedShare) && Now - ReadAt_ < IdleInterval)
    return;
  ReadAt_ = Now;
  Resident_ = Hooks_.Resident().value_or(0);
  if (exceeds(ReleasingShare) && Now - ReleasedAt_ >= ReleaseInterval) {
    ReleasedAt_ = Now;
    Hooks_.Release();
    Resident_ = Hooks_.Resident().value_or(0);
  }
  bool IsShort = exceeds(AcceptingShare);
  if (IsShort != std::exchange(IsShort_, IsShort) && Hooks_.Changed)
    Hooks_.Changed({IsShort, Resident_, Limit_});
}

} // namespace celerybeam::detail
