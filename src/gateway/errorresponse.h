#ifndef CELERYBEAM_GATEWAY_ERRORRESPONSE_H
#define CELERYBEAM_GATEWAY_ERRORRESPONSE_H

#include <string>
#include <string_view>

#include "framework/error.h"
#include "framework/httptypes.h"

namespace celerybeam {

/// A whole answer to a caller.
struct CallerAnswer {
  ResponseHead Head;
  std::string Body;
};

/// The HTTP status that tells a caller of a failure.
int httpStatusOf(ErrorKind Kind);

/// The JSON error that callers see:
/// {"error":{"kind","message","retry_after_ms","outcome"}}.
///
/// \param Outcome  of a booking, as in "unknown"; left out when empty. It is
///                 always "unknown" for ErrorKind::OutcomeUnknown.
std::string errorJson(const Error &Failure, std::string_view Outcome = {});

/// A whole answer with the status, the JSON error and, when the error has a
/// time to try again, Retry-After in whole seconds, rounded up.
CallerAnswer errorAnswer(const Error &Failure, std::string_view Outcome = {});

/// A whole answer with a JSON body.
CallerAnswer jsonAnswer(int Status, std::string Json);

} // namespace celerybeam

#endif
