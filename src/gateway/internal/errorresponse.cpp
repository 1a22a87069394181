#include "gateway/errorresponse.h"

#include <nlohmann/json.hpp>

namespace celerybeam {

namespace {

constexpr std::string_view UnknownOutcome = "unknown";

long long wholeSeconds(std::chrono::milliseconds Wait) {
  return std::chrono::ceil<std::chrono::seconds>(Wait).count();
}

} // namespace

int httpStatusOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::BadRequest:
  case ErrorKind::MissingKey:
  case ErrorKind::InvalidKey:
    return 400;
  case ErrorKind::Unauthorized:
    return 401;
  case ErrorKind::NotFound:
  case ErrorKind::UnknownModel:
  case ErrorKind::UnknownRoute:
    return 404;
  case ErrorKind::RequestTimeout:
    return 408;
  case ErrorKind::KeyReused:
    return 409;
  case ErrorKind::ExpiredKey:
    return 410;
  case ErrorKind::BodyTooLarge:
    return 413;
  case ErrorKind::WrongRegion:
    return 421;
  case ErrorKind::PoisonRequest:
    return 422;
  case ErrorKind::RateLimited:
    return 429;
  case ErrorKind::HeadersTooLarge:
    return 431;
  case ErrorKind::CallerGone:
  case ErrorKind::Cancelled:
    return 499;
  case ErrorKind::ConnectFailed:
  case ErrorKind::ConnectionLost:
  case ErrorKind::EndpointFailed:
    return 502;
  case ErrorKind::Overloaded:
  case ErrorKind::NoCapacityInTime:
  case ErrorKind::NoEndpoint:
  case ErrorKind::RetryBudgetExhausted:
  case ErrorKind::EndpointLeaving:
  case ErrorKind::StoreUnreachable:
  case ErrorKind::NotReady:
  case ErrorKind::ShuttingDown:
    return 503;
  case ErrorKind::DeadlineExpired:
  case ErrorKind::StreamStalled:
  case ErrorKind::OutcomeUnknown:
  case ErrorKind::StoreOutcomeUnknown:
    return 504;
  case ErrorKind::LoopRefused:
    return 508;
  case ErrorKind::StoreConflict:
  case ErrorKind::LeaseLost:
  case ErrorKind::InvalidSettings:
  case ErrorKind::InvalidTable:
  case ErrorKind::Internal:
    return 500;
  }
  return 500;
}

std::string errorJson(const Error &Failure, std::string_view Outcome) {
  nlohmann::json Body;
  Body["kind"] = errorKindName(Failure.Kind);
  Body["message"] = Failure.Message;
  if (Failure.RetryAfter)
    Body["retry_after_ms"] = Failure.RetryAfter->count();
  if (Outcome.empty())
    Outcome = Failure.Outcome;
  if (Failure.Kind == ErrorKind::OutcomeUnknown)
    Outcome = UnknownOutcome;
  if (!Outcome.empty())
    Body["outcome"] = Outcome;
  return nlohmann::json{{"error", Body}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

CallerResponse errorResponse(const Error &Failure, std::string_view Outcome) {
  CallerResponse Response =
      jsonResponse(httpStatusOf(Failure.Kind), errorJson(Failure, Outcome));
  if (Failure.RetryAfter)
    Response.Head.Headers.push_back(
        {"retry-after", std::to_string(wholeSeconds(*Failure.RetryAfter))});
  return Response;
}

CallerResponse jsonResponse(int Status, std::string Json) {
  return {{Status, {{"content-type", "application/json"}}}, std::move(Json)};
}

} // namespace celerybeam
