// The daemon of an entry host. Exit codes: docs/operations/settings.md.

#include <csignal>
#include <ctime>
#include <iostream>
#include <string>
#include <thread>

#include <boost/program_options.hpp>

#include "app/daemon.h"
#include "app/version.h"
#include "logging/logsetup.h"
#include "settings/daemonsettings.h"

namespace {

using namespace celerybeam;

enum ExitCode {
  ExitOk = 0,
  ExitCutOff = 1,
  ExitUsage = 2,
  ExitSettings = 3,
  ExitStart = 4
};

constexpr std::chrono::milliseconds DrainPollInterval(200);

namespace options = boost::program_options;

options::options_description describeOptions() {
  options::options_description All("celerybeamd --config FILE [options]");
  auto Add = All.add_options();
  Add("help", "print this help");
  Add("version", "print the version");
  Add("config", options::value<std::string>(), "settings in TOML");
  Add("check", "check the settings and exit");
  Add("announce", "print one line with the ports on standard output");
  return All;
}

void setUpLogOf(const LogSettings &Settings) {
  LogOptions Options;
  Options.Level = Settings.Level;
  Options.Json = Settings.Format == LogFormat::Json;
  Options.LinesPerSecond = Settings.Rate;
  setUpLog(Options);
}

sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}

// Waits until a signal or an operator requests the shutdown.
void waitForStop(Daemon &D, const sigset_t &Signals) {
  const timespec Poll{0, 1000000L * DrainPollInterval.count()};
  while (sigtimedwait(&Signals, nullptr, &Poll) < 0)
    if (D.waitForDrainRequest(std::chrono::milliseconds(0)))
      return;
}

int serve(const DaemonSettings &Settings, bool Announce) {
  sigset_t Signals = stopSignals();
  // Signals are blocked before any thread starts, so that only this thread
  // receives them.
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Daemon D(Settings);
  Result<void> Started = D.start();
  if (!Started) {
    std::cerr << "celerybeamd: " << Started.error().Message << "\n";
    return ExitStart;
  }
  if (Announce)
    std::cout << "ready callers=" << D.callerPort()
              << " operators=" << D.operatorPort() << " peers=" << D.peerPort()
              << std::endl;
  waitForStop(D, Signals);
  std::jthread SecondSignal([&](const std::stop_token &Stop) {
    const timespec Poll{0, 1000000L * DrainPollInterval.count()};
    while (!Stop.stop_requested())
      if (sigtimedwait(&Signals, nullptr, &Poll) > 0)
        D.abortDrain();
  });
  return D.drain() == 0 ? ExitOk : ExitCutOff;
}

int runWith(const options::variables_map &Given,
            const options::options_description &All) {
  if (Given.count("help") > 0) {
    std::cout << All << "\n";
    return ExitOk;
  }
  if (Given.count("version") > 0) {
    std::cout << "celerybeamd " << Version << "\n";
    return ExitOk;
  }
  if (Given.count("config") == 0) {
    std::cerr << "celerybeamd: no settings file; name it with --config FILE\n";
    return ExitUsage;
  }
  LoadedSettings Settings = loadSettings(Given["config"].as<std::string>());
  if (!Settings) {
    for (const SettingsProblem &Problem : Settings.error())
      std::cerr << formatProblem(Problem) << "\n";
    return ExitSettings;
  }
  if (Given.count("check") > 0) {
    std::cout << "settings are valid\n";
    return ExitOk;
  }
  setUpLogOf(Settings->Log);
  return serve(*Settings, Given.count("announce") > 0);
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description All = describeOptions();
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Arguments, All), Given);
  } catch (const options::error &Wrong) {
    std::cerr << "celerybeamd: " << Wrong.what() << "; see --help\n";
    return ExitUsage;
  }
  return runWith(Given, All);
}
