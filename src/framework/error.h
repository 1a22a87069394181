#ifndef CELERYBEAM_FRAMEWORK_ERROR_H
#define CELERYBEAM_FRAMEWORK_ERROR_H

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace celerybeam {

/// The kinds of failure that callers, operators and modules tell apart.
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

/// A failure with its kind and a message that names the remedy.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message;
  /// When a caller may try again; unset when trying again cannot help.
  std::optional<std::chrono::milliseconds> RetryAfter = std::nullopt;
  /// For calls that may not be repeated: "not-run" or "unknown"; else empty.
  std::string Outcome = {};
};

template <typename T> using Result = tl::expected<T, Error>;

/// Shorthand to return a failure from a function that returns a Result.
tl::unexpected<Error>
makeError(ErrorKind Kind, std::string Message,
          std::optional<std::chrono::milliseconds> RetryAfter = std::nullopt);

} // namespace celerybeam

#endif
