#include "dispatch/arrivalsketch.h"

#include <algorithm>
#include <limits>

#include "framework/stablehash.h"

namespace celerybeam {

std::size_t ArrivalSketch::column(std::uint64_t Key, std::size_t Row) {
  return static_cast<std::size_t>(stableHash(Key, Row) % Columns);
}

void ArrivalSketch::record(std::uint64_t Key, TimePoint Now) {
  if (Now - CurrentSince_ >= GenerationTime) {
    bool IsStale = Now - CurrentSince_ >= 2 * GenerationTime;
    Previous_ = IsStale ? Generation{} : Current_;
    Current_ = {};
    CurrentSince_ = Now;
  }
  for (std::size_t Row = 0; Row < Rows; ++Row)
    ++Current_[Row][column(Key, Row)];
}

std::uint32_t ArrivalSketch::count(std::uint64_t Key) const {
  std::uint32_t Least = std::numeric_limits<std::uint32_t>::max();
  for (std::size_t Row = 0; Row < Rows; ++Row) {
    std::size_t Column = column(Key, Row);
    Least = std::min(Least, Current_[Row][Column] + Previous_[Row][Column]);
  }
  return Least;
}

} // namespace celerybeam
