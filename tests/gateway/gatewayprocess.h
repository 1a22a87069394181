#ifndef CELERYBEAM_TESTS_GATEWAY_GATEWAYPROCESS_H
#define CELERYBEAM_TESTS_GATEWAY_GATEWAYPROCESS_H

#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

namespace celerybeam::testing {

/// Where a gateway process runs and what it is told. Each has a loopback
/// address of its own; ports are the same on all.
struct GatewayOptions {
  std::string Name;
  std::string Ip;
  std::string Region;
  std::string Store;
  std::vector<std::string> Seeds;
  /// Empty: the region's first.
  std::string Zone;
  /// Share of a core that the settings name.
  double Cores = 0.25;
  /// Lifetime of removed keys on hosts without confirmed tables; 0: unlimited.
  int KeyLifetimeMs = 0;
};

/// A loopback address that only this process uses: two runs on one machine have
/// the same ports. \param Number  from 1 to 250.
std::string ownLoopbackIp(unsigned Number);

/// A real gateway process. It is killed with this object.
class GatewayProcess {
public:
  /// \param Folder  for its settings and its log.
  GatewayProcess(const GatewayOptions &Options,
                 const std::filesystem::path &Folder);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess &) = delete;
  GatewayProcess &operator=(const GatewayProcess &) = delete;

  void signal(int Number);
  /// Whether it has ended; its exit code then stands in ExitCode.
  bool hasEnded();
  int exitCode() const { return ExitCode_; }
  /// How it ended, if it has and not by a signal that was sent with signal;
  /// an end with status 0 after SIGTERM is no end of its own. Empty otherwise.
  std::string ownEnd() const { return OwnEnd_; }

  static constexpr int CallerPort = 28144;
  static constexpr int ReadyPort = 28140;
  static constexpr int DirectoryPort = 28143;

private:
  pid_t Process_ = 0;
  int ExitCode_ = -1;
  bool Ended_ = false;
  std::set<int> Signals_;
  std::string OwnEnd_;
};

} // namespace celerybeam::testing

#endif
