#ifndef CELERYBEAM_GATEWAY_ERRORRESPONSE_H
#define CELERYBEAM_GATEWAY_ERRORRESPONSE_H

#include <string>
#include <string_view>

#include "framework/error.h"
#include "framework/httptypes.h"

namespace celerybeam {

/// A complete response to a caller, for responses that are not streamed.
struct CallerResponse {
  ResponseHead Head;
  std::string Body;
};

/// Returns the HTTP status for a kind of error.
int httpStatusOf(ErrorKind Kind);

/// Returns the JSON error sent to callers:
/// {"error":{"kind","message","retry_after_ms","outcome"}}.
///
/// \param Outcome  outcome of a booking, such as "unknown"; left out when
///                 empty. It is always "unknown" for ErrorKind::OutcomeUnknown.
std::string errorJson(const Error &Failure, std::string_view Outcome = {});

/// Builds a complete response from the status, the JSON error and, when the
/// error has a retry delay, Retry-After in whole seconds, rounded up.
CallerResponse errorResponse(const Error &Failure,
                             std::string_view Outcome = {});

/// Builds a complete response with a JSON body.
CallerResponse jsonResponse(int Status, std::string Json);

} // namespace celerybeam

#endif
