#ifndef CELERYBEAM_FLEETHOST_INTERNAL_TRANSFERPROGRESS_H
#define CELERYBEAM_FLEETHOST_INTERNAL_TRANSFERPROGRESS_H

#include <cstddef>
#include <optional>

#include "framework/runtime.h"

namespace celerybeam::detail {

/// How far the transfer of a body has come, to tell whether to wait for it or
/// to ask for the same elsewhere.
///
/// Handles this load pattern: "the body takes long because the link is slow".
/// A second transfer beside it would take half of the link and end neither.
class TransferProgress {
public:
  /// Records the length that the response states; unset when it states none.
  void begin(TimePoint Now, std::optional<std::size_t> Length);
  void received(TimePoint Now, std::size_t Bytes);

  bool hasBegun() const { return LatestAt_.has_value(); }
  std::size_t bytes() const { return Bytes_; }
  bool hasRate(TimePoint Now) const {
    return LatestAt_ && Now - BegunAt_ >= RateTime;
  }
  /// Whether the rest is expected soon: bytes arrived within StallTime and, at
  /// the rate so far, the rest does not take longer than MaxRest. The rate is
  /// unknown during the first RateTime.
  bool isOnItsWay(TimePoint Now) const;

  /// Longest pause between bytes: several times what a full link takes for a
  /// packet, less than requests wait for tables.
  static constexpr Duration StallTime = std::chrono::milliseconds(400);
  static constexpr Duration RateTime = std::chrono::seconds(1);
  static constexpr Duration MaxRest = std::chrono::seconds(3);

private:
  std::optional<std::size_t> Length_;
  std::size_t Bytes_ = 0;
  TimePoint BegunAt_{};
  std::optional<TimePoint> LatestAt_;
};

} // namespace celerybeam::detail

#endif
