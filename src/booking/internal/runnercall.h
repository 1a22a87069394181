#ifndef CELERYBEAM_BOOKING_INTERNAL_RUNNERCALL_H
#define CELERYBEAM_BOOKING_INTERNAL_RUNNERCALL_H

#include <functional>
#include <string>

#include "booking/internal/bookingcontext.h"

namespace celerybeam::detail {

/// The result of one call to a runner.
struct RunnerResult {
  enum class Kind {
    /// The runner's response is complete.
    Responded,
    /// No byte reached the runner, or it reported that it did no work.
    NoWork,
    /// Any other result: the booking may have run.
    Unknown,
  };
  Kind ResultKind = Kind::Unknown;
  int Status = 0;
  std::string ContentType;
  std::string ResponseBody;
};

/// The arguments of one call to a runner for a booking.
struct RunnerCall {
  std::string Key;
  AttemptNumber Attempt = 0;
  std::uint64_t Epoch = 0;
  EndpointId Runner;
  Address Where;
  RequestHead Head;
  std::shared_ptr<const std::string> Body;
};

/// Starts the call and collects its response. Done runs under the lock.
void startRunnerCall(BookingContext &Context, const RunnerCall &Call,
                     Effects &Out,
                     std::function<void(RunnerResult, Effects &)> Done);

} // namespace celerybeam::detail

#endif
