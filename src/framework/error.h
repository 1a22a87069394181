#ifndef CELERYBEAM_FRAMEWORK_ERROR_H
#define CELERYBEAM_FRAMEWORK_ERROR_H

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace celerybeam {

/// The kinds of failure that callers, operators and modules distinguish.
enum class ErrorKind {
  // Faults of the request.
  BadRequest,
  Unauthorized,
  NotFound,
  UnknownModel,
  UnknownRoute,
  MissingKey,
  InvalidKey,
  ExpiredKey,
  KeyReused,
  BodyTooLarge,
  HeadersTooLarge,
  RequestTimeout,
  DeadlineExpired,
  WrongRegion,
  LoopRefused,
  CallerGone,
  // Limits and capacity.
  RateLimited,
  Overloaded,
  NoCapacityInTime,
  NoEndpoint,
  RetryBudgetExhausted,
  PoisonRequest,
  // Endpoints and links.
  ConnectFailed,
  ConnectionLost,
  EndpointFailed,
  EndpointLeaving,
  StreamStalled,
  Cancelled,
  // Platform store.
  StoreUnreachable,
  StoreOutcomeUnknown,
  StoreConflict,
  LeaseLost,
  // Configuration and settings.
  InvalidSettings,
  InvalidTable,
  NotReady,
  ShuttingDown,
  // Bookings.
  OutcomeUnknown,
  Internal,
};

/// The stable name of a kind, as in the JSON errors that callers see
/// ("deadline_expired").
std::string_view errorKindName(ErrorKind Kind);

/// A failure: its kind and a message that says how to resolve it.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message;
  /// Delay after which a caller may retry; unset when a retry cannot help.
  std::optional<std::chrono::milliseconds> RetryAfter = std::nullopt;
  /// For calls that may not be repeated: "not-run" or "unknown"; else empty.
  std::string Outcome = {};
};

template <typename T> using Result = tl::expected<T, Error>;

/// Builds a failed Result, so that a function can write
/// `return makeError(...)`.
tl::unexpected<Error>
makeError(ErrorKind Kind, std::string Message,
          std::optional<std::chrono::milliseconds> RetryAfter = std::nullopt);

} // namespace celerybeam

#endif
