#include "gateway/internal/callerroutes.h"

#include <array>

namespace celerybeam {

namespace {

/// Maps a path and method to a target.
struct CallerRoute {
  std::string_view Path;
  /// Matches longer paths that start with Path.
  bool IsPrefix;
  /// Empty: any method.
  std::string_view Method;
  CallerTarget Target;
};

constexpr std::array Routes = {
    CallerRoute{"/v1/chat/completions", false, "POST", CallerTarget::Request},
    CallerRoute{"/v1/completions", false, "POST", CallerTarget::Request},
    CallerRoute{"/services/", true, "", CallerTarget::Request},
    CallerRoute{"/v1/models", false, "GET", CallerTarget::Models},
    CallerRoute{"/v1/entries", false, "GET", CallerTarget::Entries},
    CallerRoute{BookingsPrefix, true, "GET", CallerTarget::BookingStatus},
    CallerRoute{"/healthz", false, "GET", CallerTarget::Health},
    CallerRoute{"/readyz", false, "GET", CallerTarget::Readiness},
};

constexpr int NotFoundStatus = 404;
constexpr int MethodNotAllowedStatus = 405;

bool matches(const CallerRoute &Route, std::string_view Path) {
  if (!Route.IsPrefix)
    return Path == Route.Path;
  return Path.size() > Route.Path.size() && Path.starts_with(Route.Path);
}

CallerResponse refusal(int Status, ErrorKind Kind, std::string Message) {
  return jsonResponse(Status, errorJson({Kind, std::move(Message)}));
}

CallerResponse wrongMethod(const CallerRoute &Route) {
  CallerResponse Response =
      refusal(MethodNotAllowedStatus, ErrorKind::BadRequest,
              "This path takes " + std::string(Route.Method) +
                  " only; send the request with that method.");
  Response.Head.Headers.push_back({"allow", std::string(Route.Method)});
  return Response;
}

} // namespace

tl::expected<CallerTarget, CallerResponse>
findCallerTarget(const RequestHead &H) {
  for (const CallerRoute &Route : Routes) {
    if (!matches(Route, H.Path))
      continue;
    if (!Route.Method.empty() && H.Method != Route.Method)
      return tl::unexpected<CallerResponse>(wrongMethod(Route));
    return Route.Target;
  }
  return tl::unexpected<CallerResponse>(
      refusal(NotFoundStatus, ErrorKind::NotFound,
              "There is no such path; use /v1/chat/completions, "
              "/v1/completions, /v1/models, /services/<route>/..., "
              "/v1/bookings/<key> or /v1/entries."));
}

} // namespace celerybeam
