// Stand-ins for the platform, model engines and booking runners.

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <boost/program_options.hpp>

#include "fakeengine.h"
#include "fakeplatform.h"
#include "fakerunner.h"

namespace celerybeam::fakes {

namespace {

namespace options = boost::program_options;

const std::string EmptyList = R"({"entry_hosts":[],"endpoints":[]})";

options::options_description describeOptions() {
  options::options_description All("celerybeam-fakes ROLE [options]");
  auto Add = All.add_options();
  Add("help", "print this help");
  Add("role", options::value<std::string>(), "platform, engine or runner");
  Add("port", options::value<std::uint16_t>()->default_value(0),
      "port on 127.0.0.1; 0: chosen by the kernel");
  Add("hosts", options::value<std::string>(),
      "platform: JSON file with the list of hosts");
  Add("state", options::value<std::string>()->default_value(""),
      "platform: file that keeps the keys from one run to the next");
  Add("slots", options::value<unsigned>()->default_value(4),
      "requests that run at the same time");
  Add("queue", options::value<unsigned>()->default_value(64),
      "requests that may wait");
  Add("lag-ms", options::value<unsigned>()->default_value(0),
      "age of the load report");
  Add("first-token-ms", options::value<unsigned>()->default_value(20),
      "engine: time to the first token");
  Add("token-ms", options::value<unsigned>()->default_value(5),
      "engine: time from token to token");
  Add("model",
      options::value<std::vector<std::string>>()->default_value({}, ""),
      "engine: a loaded model; may be repeated");
  Add("load-ms", options::value<unsigned>()->default_value(0),
      "engine: time to load a model");
  Add("verify-fencing", options::bool_switch(),
      "engine: refuse orders with an old fencing number");
  Add("checks", options::value<std::string>()->default_value("none"),
      "runner: none, key or fencing");
  Add("work-ms", options::value<unsigned>()->default_value(10),
      "runner: time of an execution");
  Add("journal", options::value<std::string>()->default_value(""),
      "runner: file that keeps the executions");
  return All;
}

options::variables_map parse(int Count, char **Arguments,
                             const options::options_description &All) {
  options::positional_options_description Position;
  Position.add("role", 1);
  options::variables_map Map;
  options::store(options::command_line_parser(Count, Arguments)
                     .options(All)
                     .positional(Position)
                     .run(),
                 Map);
  options::notify(Map);
  return Map;
}

Millis millis(const options::variables_map &Map, const char *Name) {
  return Millis(Map[Name].as<unsigned>());
}

FakeScheduler::Limits limits(const options::variables_map &Map) {
  FakeScheduler::Limits L;
  L.Slots = Map["slots"].as<unsigned>();
  L.Queue = Map["queue"].as<unsigned>();
  L.Lag = millis(Map, "lag-ms");
  return L;
}

std::string readHosts(const options::variables_map &Map) {
  if (Map.count("hosts") == 0)
    return EmptyList;
  std::ifstream In(Map["hosts"].as<std::string>());
  if (!In)
    throw std::runtime_error("cannot read the file of --hosts");
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

FakeEngineSettings engineSettings(const options::variables_map &Map) {
  FakeEngineSettings S;
  S.Limits = limits(Map);
  S.FirstToken = millis(Map, "first-token-ms");
  S.TokenGap = millis(Map, "token-ms");
  S.Models = Map["model"].as<std::vector<std::string>>();
  S.LoadTime = millis(Map, "load-ms");
  S.VerifyFencing = Map["verify-fencing"].as<bool>();
  return S;
}

FakeRunnerSettings runnerSettings(const options::variables_map &Map) {
  FakeRunnerSettings S;
  S.Limits = limits(Map);
  S.WorkTime = millis(Map, "work-ms");
  S.Journal = Map["journal"].as<std::string>();
  const auto Checks = Map["checks"].as<std::string>();
  if (Checks == "key")
    S.Verifies = FakeRunnerSettings::Check::Key;
  else if (Checks == "fencing")
    S.Verifies = FakeRunnerSettings::Check::Fencing;
  else if (Checks != "none")
    throw std::runtime_error("--checks takes none, key or fencing");
  return S;
}

/// Serves until a signal of the set arrives.
template <typename Fake>
void serve(const std::string &Role, Fake &F, const sigset_t &Signals) {
  std::cout << "ready " << Role << " " << F.address() << std::endl;
  int Signal = 0;
  sigwait(&Signals, &Signal);
  F.stop();
}

void run(const options::variables_map &Map) {
  if (Map.count("role") == 0)
    throw std::runtime_error("name a role: platform, engine or runner");
  // Blocked before any thread starts, so that only sigwait takes them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  const auto Role = Map["role"].as<std::string>();
  const auto Port = Map["port"].as<std::uint16_t>();
  if (Role == "platform") {
    FakePlatform F(Port, readHosts(Map), Map["state"].as<std::string>());
    serve(Role, F, Signals);
  } else if (Role == "engine") {
    FakeEngine F(Port, engineSettings(Map));
    serve(Role, F, Signals);
  } else if (Role == "runner") {
    FakeRunner F(Port, runnerSettings(Map));
    serve(Role, F, Signals);
  } else {
    throw std::runtime_error("unknown role; use platform, engine or runner");
  }
}

} // namespace

} // namespace celerybeam::fakes

int main(int Count, char **Arguments) {
  using namespace celerybeam::fakes;
  const auto All = describeOptions();
  try {
    const auto Map = parse(Count, Arguments, All);
    if (Map.count("help") > 0) {
      std::cout << All;
      return 0;
    }
    run(Map);
    return 0;
  } catch (const std::exception &Failure) {
    std::cerr << "celerybeam-fakes: " << Failure.what() << "\n";
    return 2;
  }
}
