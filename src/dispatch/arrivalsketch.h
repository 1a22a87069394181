#ifndef CELERYBEAM_DISPATCH_ARRIVALSKETCH_H
#define CELERYBEAM_DISPATCH_ARRIVALSKETCH_H

#include <array>
#include <cstddef>
#include <cstdint>

#include "framework/runtime.h"

namespace celerybeam {

/// Counts how often each of many keys arrived lately, in memory that does not
/// depend on their number (a count-min sketch of two generations). A count is
/// never too low; keys that share counters make it too high. Not thread-safe.
class ArrivalSketch {
public:
  void record(std::uint64_t Key, TimePoint Now);
  /// Arrivals within the last one to two generations.
  std::uint32_t count(std::uint64_t Key) const;

  static constexpr Duration GenerationTime = std::chrono::seconds(30);

private:
  static constexpr std::size_t Rows = 4;
  static constexpr std::size_t Columns = 1024;
  using Generation = std::array<std::array<std::uint32_t, Columns>, Rows>;

  static std::size_t column(std::uint64_t Key, std::size_t Row);

  Generation Current_{};
  Generation Previous_{};
  TimePoint CurrentSince_{};
};

} // namespace celerybeam

#endif
