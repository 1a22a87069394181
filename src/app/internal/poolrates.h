#ifndef CELERYBEAM_APP_INTERNAL_POOLRATES_H
#define CELERYBEAM_APP_INTERNAL_POOLRATES_H

#include <array>
#include <cstdint>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"
#include "framework/shardedmap.h"

namespace celerybeam {

/// Counts the requests of each pool over the last ten seconds. Thread-safe.
class PoolRates {
public:
  static constexpr unsigned WindowSeconds = 10;

  void count(const PoolName &Pool, bool IsForwarded, TimePoint Now);
  /// Requests per second.
  double rate(const PoolName &Pool, TimePoint Now) const;
  /// Share of requests forwarded to another region, in [0, 1].
  double forwardedShare(const PoolName &Pool, TimePoint Now) const;

private:
  struct Second {
    std::int64_t Number = 0;
    std::uint32_t Requests = 0;
    std::uint32_t Forwarded = 0;
  };
  using Window = std::array<Second, WindowSeconds>;

  Second sum(const PoolName &Pool, TimePoint Now) const;

  ShardedMap<PoolName, Window> Pools_;
};

} // namespace celerybeam

#endif
