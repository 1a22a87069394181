#include "gateway/gatewayprocess.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace celerybeam::testing {

namespace {

void writeSettings(const GatewayOptions &O, const std::filesystem::path &Path) {
  std::ofstream Out(Path);
  auto Listen = [&](const char *Name, int Port) {
    Out << "  " << Name << ": \"" << O.Ip << ":" << Port << "\"\n";
  };
  std::string Zone = O.Zone.empty() ? O.Region + "-a" : O.Zone;
  Out << "nodeName: \"" << O.Name << "\"\nip: \"" << O.Ip << "\"\nzone: \""
      << Zone << "\"\nregion: \"" << O.Region
      << "\"\nzones: {north-a: north, north-b: north, south-a: south}\n"
      << "limits: {cpuShare: " << O.Cores << ", cores: 1}\nlisten:\n";
  Listen("front", GatewayProcess::CallerPort);
  Listen("ready", GatewayProcess::ReadyPort);
  Listen("directory", GatewayProcess::DirectoryPort);
  Out << "internalPorts: [28160, 28175]\nseeds: [";
  for (const std::string &Seed : O.Seeds)
    Out << "\"" << Seed << ":28146\", ";
  Out << "]\nbounds: {graceS: 8, retryBudgetRatio: 0.2, retryBudgetSlack: 100";
  if (O.KeyLifetimeMs > 0)
    Out << ", strictRevoke: true, revokeMs: " << O.KeyLifetimeMs;
  Out << "}\nplatform: {address: \"" << O.Store << "\"}\n";
}

} // namespace

std::string ownLoopbackIp(unsigned Number) {
  constexpr int Values = 200;
  int Process = static_cast<int>(::getpid());
  return "127." + std::to_string(1 + Process / Values % Values) + "." +
         std::to_string(1 + Process % Values) + "." + std::to_string(Number);
}

GatewayProcess::GatewayProcess(const GatewayOptions &Options,
                               const std::filesystem::path &Folder) {
  std::filesystem::path Settings = Folder / (Options.Name + ".yaml");
  std::filesystem::path Log = Folder / (Options.Name + ".log");
  writeSettings(Options, Settings);
  const char *Program = std::getenv("CELERYBEAM_GATEWAY");
  if (Program == nullptr)
    throw std::runtime_error("CELERYBEAM_GATEWAY names no program");
  std::string Path = Program;
  std::string Flag = "--config";
  std::string File = Settings.string();
  char *Arguments[] = {Path.data(), Flag.data(), File.data(), nullptr};
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  constexpr mode_t LogMode = 0644;
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, LogMode);
  int Failed =
      posix_spawn(&Process_, Program, &Actions, nullptr, Arguments, environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Failed != 0)
    throw std::runtime_error(Path + " cannot be started");
}

GatewayProcess::~GatewayProcess() {
  if (hasEnded())
    return;
  signal(SIGKILL);
  waitpid(Process_, nullptr, 0);
}

void GatewayProcess::signal(int Number) {
  // The number of a process that was waited for may belong to another one.
  if (Ended_)
    return;
  Signals_.insert(Number);
  ::kill(Process_, Number);
}

bool GatewayProcess::hasEnded() {
  int Status = 0;
  if (!Ended_ && waitpid(Process_, &Status, WNOHANG) == Process_) {
    Ended_ = true;
    ExitCode_ = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
    if (WIFSIGNALED(Status) && !Signals_.contains(WTERMSIG(Status)))
      OwnEnd_ = "signal " + std::to_string(WTERMSIG(Status));
    if (WIFEXITED(Status) && (ExitCode_ != 0 || !Signals_.contains(SIGTERM)))
      OwnEnd_ = "exit status " + std::to_string(ExitCode_);
  }
  return Ended_;
}

} // namespace celerybeam::testing
