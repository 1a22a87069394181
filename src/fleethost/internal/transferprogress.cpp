#include "fleethost/internal/transferprogress.h"

namespace celerybeam::detail {

void TransferProgress::begin(TimePoint Now, std::optional<std::size_t> Length) {
  BegunAt_ = Now;
  LatestAt_ = Now;
  Length_ = Length;
}

void TransferProgress::received(TimePoint Now, std::size_t Bytes) {
  LatestAt_ = Now;
  Bytes_ += Bytes;
}

bool TransferProgress::isOnItsWay(TimePoint Now) const {
  if (!LatestAt_ || Now - *LatestAt_ > StallTime)
    return false;
  if (!hasRate(Now) || !Length_ || Bytes_ >= *Length_)
    return true;
  if (Bytes_ == 0)
    return false;
  double Rest = static_cast<double>(*Length_ - Bytes_);
  double PerByte = static_cast<double>((Now - BegunAt_).count()) /
                   static_cast<double>(Bytes_);
  return Rest * PerByte <= static_cast<double>(MaxRest.count());
}

} // namespace celerybeam::detail
