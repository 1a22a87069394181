#include "fakemode.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace celerybeam::fakes {

namespace {

const std::string SlowPrefix = "slow:";
const std::string CrashOnPrefix = "crash-on:";

} // namespace

FakeMode::FakeMode(FakeScheduler &Scheduler, CrashHook Crash)
    : Scheduler_(Scheduler), Crash_(std::move(Crash)) {}

FakeReply FakeMode::control(const FakeRequest &R) {
  const std::string Name = R.query("mode");
  if (Name == "crash")
    Crash_();
  Scheduler_.setStalled(Name == "stall");
  Scheduler_.setSlowdown(Name.starts_with(SlowPrefix)
                             ? std::stod(Name.substr(SlowPrefix.size()))
                             : 1.0);
  std::lock_guard Lock(Mutex_);
  Name_ = Name;
  FakeReply Done;
  Done.Status = 204;
  return Done;
}

std::string FakeMode::name() {
  std::lock_guard Lock(Mutex_);
  return Name_;
}

bool FakeMode::is(const std::string &Name) { return name() == Name; }

std::optional<FakeReply> FakeMode::refuse() {
  if (!is("leaving"))
    return std::nullopt;
  FakeReply Refusal;
  Refusal.Status = 503;
  Refusal.Headers = {{"X-Endpoint-Leaving", "1"}};
  return Refusal;
}

bool FakeMode::crashesOn(const std::string &Prompt) {
  const std::string Name = name();
  return Name.starts_with(CrashOnPrefix) &&
         Prompt.find(Name.substr(CrashOnPrefix.size())) != std::string::npos;
}

FakeReply FakeMode::mark(const FakeRequest &R, FakeReply Reply) {
  const FakeScheduler::Load Load = Scheduler_.load();
  const std::string Id = R.header("x-request-id");
  Reply.Headers.push_back({"X-Request-Id", is("crossed") ? "other-" + Id : Id});
  Reply.Headers.push_back({"X-Attempt", R.header("x-attempt")});
  Reply.Headers.push_back({"X-Load-Running", std::to_string(Load.Running)});
  Reply.Headers.push_back({"X-Load-Waiting", std::to_string(Load.Waiting)});
  Reply.Headers.push_back(
      {"X-Load-Lag-Ms", std::to_string(Scheduler_.lag().count())});
  return Reply;
}

nlohmann::json FakeMode::loadPage(const FakeScheduler::Limits &L) {
  const FakeScheduler::Load Load = Scheduler_.load();
  return {{"running", Load.Running},
          {"waiting", Load.Waiting},
          {"slots", L.Slots},
          {"lag_ms", L.Lag.count()},
          {"cache_use", 0.0},
          {"leaving", is("leaving")},
          {"loaded", nlohmann::json::array()}};
}

} // namespace celerybeam::fakes
