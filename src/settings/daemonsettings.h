#ifndef CELERYBEAM_SETTINGS_DAEMONSETTINGS_H
#define CELERYBEAM_SETTINGS_DAEMONSETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/error.h"
#include "framework/runtime.h"
#include "framework/tomlreader.h"
#include "framework/units.h"
#include "logging/logtypes.h"

namespace celerybeam {

/// A problem in the settings file, and where to fix it.
using SettingsProblem = FileProblem;

/// A TLS server's files; both are empty when TLS is off.
struct TlsSettings {
  std::string CertificateFile;
  std::string KeyFile;

  bool enabled() const { return !CertificateFile.empty(); }
};

/// [host]: the identity of this entry host.
struct HostSettings {
  HostId Id;
  RegionId Region;
  ZoneId Zone;
};

/// [callers]: the server that callers use.
struct CallerSettings {
  /// Port 0: chosen by the kernel.
  Address Listen;
  /// The address given to other hosts and callers; empty: that of Listen.
  /// Port 0 stands for the port that is actually listened on, also when
  /// Listen lets the system choose it.
  Address Advertise;
  TlsSettings Tls;
  ByteSize MaxBody{8U << 20U};
  ByteSize MaxHeaders{32U << 10U};
  std::uint32_t MaxConnections = 2000;
  std::uint32_t MaxConnectionsPerAddress = 500;
  Duration HeadTimeout = std::chrono::seconds(10);
  Duration BodyTimeout = std::chrono::seconds(30);
  /// Bytes of a response that are buffered for one slow caller.
  ByteSize Buffer{256U << 10U};
};

/// [operators]: the server that celerybeamctl and the metrics collector use.
struct OperatorSettings {
  Address Listen;
  /// Holds the token that each call must carry.
  std::string TokenFile;
  TlsSettings Tls;
};

/// [peers]: the links between entry hosts.
struct PeerSettings {
  Address Listen;
  Address Advertise;
  /// Holds this host's CURVE secret key in Z85.
  std::string CurveSecretKeyFile;
  /// CURVE public keys in Z85 of the hosts that may connect.
  std::vector<std::string> PermittedKeys;
};

/// [platform]: the platform's key-value service and lists.
struct PlatformSettings {
  std::vector<Address> Addresses;
  /// Empty: calls carry no token.
  std::string TokenFile;
  /// Empty: plain HTTP.
  std::string CaFile;
  Duration Timeout = std::chrono::seconds(2);
};

/// [customers]: the keys of customers.
struct CustomerSettings {
  /// Each holds one secret; the first signs new keys, all verify.
  std::vector<std::string> KeySecretFiles;
};

enum class LogFormat { Text, Json };

/// [log]: level, format and rate limit of the log.
struct LogSettings {
  LogLevel Level = LogLevel::Info;
  LogFormat Format = LogFormat::Text;
  /// Lines per second; further lines are dropped and counted.
  std::uint32_t Rate = 200;
};

/// [shutdown]: how the daemon shuts down.
struct ShutdownSettings {
  /// How long requests in flight may take to finish.
  Duration Grace = std::chrono::minutes(5);
};

/// [threads]: numbers of threads.
struct ThreadSettings {
  /// Threads that run routing decisions and timers.
  std::uint32_t Workers = 2;
  /// Threads that run calls to endpoints.
  std::uint32_t EndpointClients = 2;
};

/// All settings of a daemon; paths are absolute or relative to the working
/// folder of the process.
struct DaemonSettings {
  HostSettings Host;
  CallerSettings Callers;
  OperatorSettings Operators;
  PeerSettings Peers;
  PlatformSettings Platform;
  CustomerSettings Customers;
  LogSettings Log;
  ShutdownSettings Shutdown;
  ThreadSettings Threads;
};

using LoadedSettings =
    tl::expected<DaemonSettings, std::vector<SettingsProblem>>;

/// Reads and checks a settings file; paths in it are relative to its folder.
/// The files that it names must exist, and secret ones must not be readable
/// by every user of the machine.
LoadedSettings loadSettings(const std::string &Path);

/// Like loadSettings, for the text of a file at the given path.
LoadedSettings parseSettings(const std::string &Path, const std::string &Text);

} // namespace celerybeam

#endif
