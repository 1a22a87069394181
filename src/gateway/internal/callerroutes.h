#ifndef CELERYBEAM_GATEWAY_INTERNAL_CALLERROUTES_H
#define CELERYBEAM_GATEWAY_INTERNAL_CALLERROUTES_H

#include <string_view>

#include "framework/error.h"
#include "framework/httptypes.h"
#include "gateway/errorresponse.h"

namespace celerybeam {

/// What a caller's request addresses, by its path.
enum class CallerTarget {
  /// Chat, completion or service: runs through the request controller.
  Request,
  Models,
  Entries,
  BookingStatus,
  Health,
  Readiness,
};

inline constexpr std::string_view BookingsPrefix = "/v1/bookings/";

/// Finds the target of a method and path. Otherwise returns a complete
/// response: 404 for an unknown path, 405 with Allow for a wrong method.
tl::expected<CallerTarget, CallerResponse>
findCallerTarget(const RequestHead &H);

} // namespace celerybeam

#endif
