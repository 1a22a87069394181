#include "endpoints/internal/loadpage.h"

#include <algorithm>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace celerybeam {

namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;

/// Upper bound of the lag that a load page may report; larger ones are
/// clamped.
constexpr std::chrono::hours LagLimit(1);

LoadPage parseBody(const Json &Body, TimePoint Now) {
  LoadPage Response;
  Response.Report.Running = Body.at("running").get<std::uint32_t>();
  Response.Report.Waiting = Body.at("waiting").get<std::uint32_t>();
  Response.Report.CacheUse = std::clamp(Body.value("cache_use", 0.0), 0.0, 1.0);
  Response.Leaving = Body.value("leaving", false);
  const std::chrono::milliseconds Lag(Body.value("lag_ms", std::uint32_t(0)));
  Response.Report.MeasuredAt = Now - std::min<Duration>(Lag, LagLimit);
  for (const Json &Model : Body.value("loaded", Json::array()))
    Response.Loaded.emplace_back(Model.get<std::string>());
  return Response;
}

} // namespace

Result<LoadPage> parseLoadPage(const HttpResponse &Response, TimePoint Now) {
  try {
    if (Response.Head.Status != StatusOk)
      throw std::runtime_error("status " +
                               std::to_string(Response.Head.Status));
    return parseBody(Json::parse(Response.Body), Now);
  } catch (const std::exception &Failure) {
    return makeError(ErrorKind::ConnectionLost,
                     std::string("no load page (") + Failure.what() +
                         "); check which service listens at the address");
  }
}

} // namespace celerybeam
