#include "framework/error.h"

#include <utility>

namespace celerybeam {

std::string_view errorKindName(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::BadRequest:
    return "bad_request";
  case ErrorKind::Unauthorized:
    return "unauthorized";
  case ErrorKind::NotFound:
    return "not_found";
  case ErrorKind::UnknownModel:
    return "unknown_model";
  case ErrorKind::UnknownRoute:
    return "unknown_route";
  case ErrorKind::MissingKey:
    return "missing_key";
  case ErrorKind::InvalidKey:
    return "invalid_key";
  case ErrorKind::ExpiredKey:
    return "expired_key";
  case ErrorKind::KeyReused:
    return "key_reused";
  case ErrorKind::BodyTooLarge:
    return "body_too_large";
  case ErrorKind::HeadersTooLarge:
    return "headers_too_large";
  case ErrorKind::RequestTimeout:
    return "request_timeout";
  case ErrorKind::DeadlineExpired:
    return "deadline_expired";
  case ErrorKind::WrongRegion:
    return "wrong_region";
  case ErrorKind::LoopRefused:
    return "loop_refused";
  case ErrorKind::CallerGone:
    return "caller_gone";
  case ErrorKind::RateLimited:
    return "rate_limited";
  case ErrorKind::Overloaded:
    return "overloaded";
  case ErrorKind::NoCapacityInTime:
    return "no_capacity_in_time";
  case ErrorKind::NoEndpoint:
    return "no_endpoint";
  case ErrorKind::RetryBudgetExhausted:
    return "retry_budget_exhausted";
  case ErrorKind::PoisonRequest:
    return "poison_request";
  case ErrorKind::ConnectFailed:
    return "connect_failed";
  case ErrorKind::ConnectionLost:
    return "connection_lost";
  case ErrorKind::EndpointFailed:
    return "endpoint_failed";
  case ErrorKind::EndpointLeaving:
    return "endpoint_leaving";
  case ErrorKind::StreamStalled:
    return "stream_stalled";
  case ErrorKind::Cancelled:
    return "cancelled";
  case ErrorKind::StoreUnreachable:
    return "store_unreachable";
  case ErrorKind::StoreOutcomeUnknown:
    return "store_outcome_unknown";
  case ErrorKind::StoreConflict:
    return "store_conflict";
  case ErrorKind::LeaseLost:
    return "lease_lost";
  case ErrorKind::InvalidSettings:
    return "invalid_settings";
  case ErrorKind::InvalidTable:
    return "invalid_table";
  case ErrorKind::NotReady:
    return "not_ready";
  case ErrorKind::ShuttingDown:
    return "shutting_down";
  case ErrorKind::OutcomeUnknown:
    return "outcome_unknown";
  case ErrorKind::Internal:
    return "internal";
  }
  return "internal";
}

tl::unexpected<Error>
makeError(ErrorKind Kind, std::string Message,
          std::optional<std::chrono::milliseconds> RetryAfter) {
  return tl::unexpected<Error>(Error{Kind, std::move(Message), RetryAfter, {}});
}

} // namespace celerybeam
