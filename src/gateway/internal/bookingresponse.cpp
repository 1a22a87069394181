#include "gateway/bookingresponse.h"

#include <nlohmann/json.hpp>

namespace celerybeam {

namespace {

constexpr int OkStatus = 200;

} // namespace

std::string_view bookingStateName(BookingState State) {
  switch (State) {
  case BookingState::Done:
    return "done";
  case BookingState::NotRun:
    return "not-run";
  case BookingState::Running:
    return "running";
  case BookingState::Unknown:
    return "unknown";
  }
  return "unknown";
}

CallerResponse bookingResponse(const Uuid7 &Key,
                               const Result<BookingOutcome> &Outcome) {
  if (!Outcome)
    return errorResponse(Outcome.error());
  nlohmann::json Body;
  Body["key"] = Key.str();
  Body["outcome"] = bookingStateName(Outcome->State);
  if (Outcome->State == BookingState::Done)
    Body["answer"] = {{"status", Outcome->Status},
                      {"content_type", Outcome->ContentType},
                      {"body", Outcome->Response}};
  return jsonResponse(
      OkStatus,
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace celerybeam
