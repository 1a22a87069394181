#include "logging/internal/linelimit.h"

#include <algorithm>
#include <utility>

namespace celerybeam {

LineLimit::LineLimit(double PerSecond, double BurstSeconds)
    : PerSecond_(PerSecond),
      Capacity_(std::max(1.0, PerSecond * BurstSeconds)) {}

std::optional<std::uint64_t> LineLimit::admit(const std::string &Part,
                                              TimePoint Now) {
  if (PerSecond_ <= 0)
    return 0;
  std::lock_guard Lock(Mutex_);
  auto [It, New] = Buckets_.try_emplace(Part, Bucket{Capacity_, Now, 0});
  Bucket &B = It->second;
  // Wall time may jump back; the bucket is not refilled then.
  auto Passed = std::max(Now - B.At, TimePoint::duration::zero());
  double Seconds = std::chrono::duration<double>(Passed).count();
  B.Tokens = std::min(Capacity_, B.Tokens + Seconds * PerSecond_);
  B.At = Now;
  if (B.Tokens < 1) {
    ++B.Dropped;
    return std::nullopt;
  }
  B.Tokens -= 1;
  return std::exchange(B.Dropped, 0);
}

} // namespace celerybeam
