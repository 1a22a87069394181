#include "ctl/inforce.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "ctl/output.h"
#include "ctl/servers.h"
#include "framework/units.h"

namespace celerybeam::ctl {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds PollInterval(300);
constexpr const char *DefaultWait = "30s";

/// Returns the regions of a status, each with whether the revision is in force
/// there and, if not, why.
Json regionStates(const Json &Status, Revision Number) {
  Json States = Json::array();
  for (const Json &Region : Status.value("regions", Json::array())) {
    auto Alive = Region.value("hosts_alive", 0U);
    Revision Lowest = Region.value("revision_lowest", Revision(0));
    const char *State = "in force";
    if (Alive == 0)
      State = "cannot be reached";
    else if (Lowest < Number)
      State = "waiting";
    States.push_back({{"region", Region.value("region", "")},
                      {"hosts", Region.value("hosts", 0U)},
                      {"hosts_alive", Alive},
                      {"revision_lowest", Lowest},
                      {"state", State}});
  }
  return States;
}

bool allInForce(const Json &States) {
  return !States.empty() &&
         std::all_of(States.begin(), States.end(), [](const Json &State) {
           return State.at("state") == "in force";
         });
}

void showProgress(const Invocation &I, const Json &States) {
  auto Count = std::count_if(States.begin(), States.end(), [](const Json &S) {
    return S.at("state") == "in force";
  });
  I.Err << "in force in " << Count << " of " << States.size() << " regions\n";
}

ExitCode report(const Invocation &I, Revision Number, const Json &States) {
  if (I.wantsJson())
    I.Out << Json{{"revision", Number}, {"regions", States}}.dump(2) << "\n";
  else
    printTable(I.Out,
               {{"REGION", "region"},
                {"HOSTS", "hosts"},
                {"ALIVE", "hosts_alive"},
                {"REVISION", "revision_lowest"},
                {"STATE", "state"}},
               States);
  if (allInForce(States))
    return ExitCode::Ok;
  I.Err << "revision " << Number
        << " is accepted but not yet in force everywhere; the other regions "
           "adopt it once they are reached (celerybeamctl status)\n";
  return ExitCode::Unreachable;
}

} // namespace

void addWaitOptions(po::options_description &Options) {
  Options.add_options()(
      "wait", po::value<std::string>()->implicit_value(DefaultWait),
      "wait, at most this long (30s), until the revision is in force in every "
      "region; needs --operator");
  addOperatorOptions(Options);
}

ExitCode waitUntilInForce(const Invocation &I, Revision Number) {
  if (I.Options.count("wait") == 0)
    return ExitCode::Ok;
  std::optional<Duration> Wait = parseDuration(I.text("wait"));
  if (!Wait)
    return I.usage("--wait is no duration; give one as in --wait=30s");
  Result<OperatorClient> Client = OperatorClient::fromOptions(I);
  if (!Client)
    return I.fail(Client.error());
  auto End = SteadyClock::now() + *Wait;
  Json States = Json::array();
  Json Shown;
  while (true) {
    Result<Json> Status = Client->call("GET", "/admin/status");
    if (Status)
      States = regionStates(*Status, Number);
    if (Status && States != Shown)
      showProgress(I, Shown = States);
    bool IsOver = SteadyClock::now() >= End;
    if (IsOver && !Status)
      return I.fail(Status.error());
    if (IsOver || allInForce(States))
      return report(I, Number, States);
    std::this_thread::sleep_for(PollInterval);
  }
}

} // namespace celerybeam::ctl
