#ifndef CELERYBEAM_APP_INTERNAL_POOLRATES_H
#define CELERYBEAM_APP_INTERNAL_POOLRATES_H

#include <array>
#include <cstdint>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"
#include "framework/shardedmap.h"

namespace celerybeam {

/// Requests of each pool over the last ten seconds. Thread-safe.
class PoolRates {
public:
  static constexpr unsigned WindowSeconds = 10;

  void count(const PoolName &Pool, bool SentAway, TimePoint Now);
  /// Requests a second.
  double rate(const PoolName &Pool, TimePoint Now) const;
  /// Share sent to another region, in [0, 1].
  double shareAway(const PoolName &Pool, TimePoint Now) const;

private:
  struct Second {
    std::int64_t Number = 0;
    std::uint32_t Requests = 0;
    std::uint32_t Away = 0;
  };
  using Window = std::array<Second, WindowSeconds>;

  Second sum(const PoolName &Pool, TimePoint Now) const;

  ShardedMap<PoolName, Window> Pools_;
};

} // namespace celerybeam

#endif
