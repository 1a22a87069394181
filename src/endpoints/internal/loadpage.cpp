#include "endpoints/internal/loadpage.h"

#include <algorithm>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace celerybeam {

namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;

/// Greatest lag that is believed.
constexpr std::chrono::hours LagLimit(1);

LoadAnswer readBody(const Json &Body, TimePoint Now) {
  LoadAnswer Answer;
  Answer.Report.Running = Body.at("running").get<std::uint32_t>();
  Answer.Report.Waiting = Body.at("waiting").get<std::uint32_t>();
  Answer.Report.CacheUse = std::clamp(Body.value("cache_use", 0.0), 0.0, 1.0);
  Answer.Leaving = Body.value("leaving", false);
  const std::chrono::milliseconds Lag(Body.value("lag_ms", std::uint32_t(0)));
  Answer.Report.MeasuredAt = Now - std::min<Duration>(Lag, LagLimit);
  for (const Json &Model : Body.value("loaded", Json::array()))
    Answer.Loaded.emplace_back(Model.get<std::string>());
  return Answer;
}

} // namespace

Result<LoadAnswer> readLoadPage(const HttpAnswer &Answer, TimePoint Now) {
  try {
    if (Answer.Head.Status != StatusOk)
      throw std::runtime_error("status " + std::to_string(Answer.Head.Status));
    return readBody(Json::parse(Answer.Body), Now);
  } catch (const std::exception &Failure) {
    return makeError(ErrorKind::ConnectionLost,
                     std::string("no load page (") + Failure.what() +
                         "); check which service listens at the address");
  }
}

} // namespace celerybeam
