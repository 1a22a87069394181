#ifndef CELERYBEAM_BOOKING_INTERNAL_RUNNERCALL_H
#define CELERYBEAM_BOOKING_INTERNAL_RUNNERCALL_H

#include <functional>
#include <string>

#include "booking/internal/bookingcontext.h"

namespace celerybeam::detail {

/// What became of one call to a runner.
struct RunnerResult {
  enum class Kind {
    /// The runner's answer is complete.
    Answered,
    /// No byte reached the runner, or it says that it did no work.
    NoWork,
    /// Anything else: it may have run.
    Unknown,
  };
  Kind What = Kind::Unknown;
  int Status = 0;
  std::string ContentType;
  std::string Answer;
};

/// One call of a booking at a runner.
struct RunnerCall {
  std::string Key;
  AttemptNumber Number = 0;
  std::uint64_t Epoch = 0;
  EndpointId Runner;
  Address Where;
  RequestHead Head;
  std::shared_ptr<const std::string> Body;
};

/// Starts the call and gathers its answer; Done runs under the lock.
void startRunnerCall(BookingContext &Context, const RunnerCall &Call,
                     Effects &Out,
                     std::function<void(RunnerResult, Effects &)> Done);

} // namespace celerybeam::detail

#endif
