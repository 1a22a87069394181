#include "settings/daemonsettings.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

#include "settings/addresstext.h"
#include "settings/secretfile.h"

namespace celerybeam {

namespace {

using Problems = std::vector<SettingsProblem>;

// Length of a CURVE key in Z85.
constexpr std::size_t CurveKeyLength = 40;
constexpr NumberRange ConnectionRange{1, 1'000'000};
constexpr NumberRange ThreadRange{1, 256};
constexpr DurationRange NetworkTimeoutRange{std::chrono::milliseconds(10),
                                            std::chrono::minutes(10)};

enum class FileKind { Secret, Public };

/// Reads and checks the sections of one settings file.
class SettingsReader {
public:
  SettingsReader(const std::string &Path, const toml::table &Root,
                 Problems &Found)
      : Path_(Path), Root_(Path, Root, "settings", Found), Found_(Found) {}

  void read(DaemonSettings &S) {
    section("host", [&](TomlReader &R) { readHost(R, S.Host); });
    section("callers", [&](TomlReader &R) { readCallers(R, S.Callers); });
    section("operators", [&](TomlReader &R) { readOperators(R, S.Operators); });
    section("peers", [&](TomlReader &R) { readPeers(R, S.Peers); });
    section("platform", [&](TomlReader &R) { readPlatform(R, S.Platform); });
    section("customers", [&](TomlReader &R) { readCustomers(R, S.Customers); });
    section("log", [&](TomlReader &R) { readLog(R, S.Log); });
    section("shutdown", [&](TomlReader &R) {
      R.duration("grace", S.Shutdown.Grace,
                 {std::chrono::seconds(0), std::chrono::hours(2)});
    });
    section("threads", [&](TomlReader &R) {
      R.count("workers", S.Threads.Workers, ThreadRange);
      R.count("endpoint_clients", S.Threads.EndpointClients, ThreadRange);
    });
    Root_.finish();
  }

private:
  // An absent section is read as an empty one, so that each missing value is
  // reported.
  template <typename Function>
  void section(std::string_view Name, Function Read) {
    static const toml::table Empty;
    const toml::table *Table = Root_.table(Name);
    TomlReader Reader(Path_, Table ? *Table : Empty,
                      "[" + std::string(Name) + "]", Found_);
    Read(Reader);
    Reader.finish();
  }

  void readHost(TomlReader &R, HostSettings &S) {
    R.text("id", S.Id, Presence::Required);
    R.text("region", S.Region, Presence::Required);
    R.text("zone", S.Zone, Presence::Required);
  }

  void readCallers(TomlReader &R, CallerSettings &S) {
    readListen(R, S.Listen);
    readAdvertise(R, S.Listen, S.Advertise);
    readTls(R, S.Tls);
    R.size("max_body", S.MaxBody, {1U << 10U}, {1U << 30U});
    R.size("max_headers", S.MaxHeaders, {1U << 10U}, {1U << 20U});
    R.count("max_connections", S.MaxConnections, ConnectionRange);
    R.count("max_connections_per_address", S.MaxConnectionsPerAddress,
            ConnectionRange);
    R.duration("head_timeout", S.HeadTimeout, NetworkTimeoutRange);
    R.duration("body_timeout", S.BodyTimeout, NetworkTimeoutRange);
    R.size("buffer", S.Buffer, {4U << 10U}, {64U << 20U});
  }

  void readOperators(TomlReader &R, OperatorSettings &S) {
    readListen(R, S.Listen);
    readFile(R, "token_file", S.TokenFile, FileKind::Secret,
             Presence::Required);
    readTls(R, S.Tls);
  }

  void readPeers(TomlReader &R, PeerSettings &S) {
    readListen(R, S.Listen);
    readAdvertise(R, S.Listen, S.Advertise);
    readFile(R, "curve_secret_key_file", S.CurveSecretKeyFile, FileKind::Secret,
             Presence::Required);
    R.texts("permitted_keys", S.PermittedKeys, Presence::Required);
    for (const std::string &Key : S.PermittedKeys)
      if (Key.size() != CurveKeyLength)
        R.problem("permitted_keys",
                  "`permitted_keys` has \"" + Key +
                      "\", which is not a CURVE public key of 40 characters; "
                      "take it from the output of celerybeamctl keygen");
  }

  void readPlatform(TomlReader &R, PlatformSettings &S) {
    R.texts("addresses", S.Addresses, Presence::Required);
    for (const Address &Each : S.Addresses)
      checkAddress(R, "addresses", Each);
    if (S.Addresses.empty() && R.lineOf("addresses") != 0)
      R.problem("addresses", "`addresses` is empty; name at least one address "
                             "of the platform's key-value service");
    readFile(R, "token_file", S.TokenFile, FileKind::Secret,
             Presence::Optional);
    readFile(R, "ca_file", S.CaFile, FileKind::Public, Presence::Optional);
    R.duration("timeout", S.Timeout, NetworkTimeoutRange);
  }

  void readCustomers(TomlReader &R, CustomerSettings &S) {
    R.texts("key_secret_files", S.KeySecretFiles, Presence::Required);
    for (std::string &File : S.KeySecretFiles)
      checkFile(R, "key_secret_files", File, FileKind::Secret);
  }

  void readLog(TomlReader &R, LogSettings &S) {
    R.choice<LogLevel>("level", S.Level,
                       {{"debug", LogLevel::Debug},
                        {"info", LogLevel::Info},
                        {"warning", LogLevel::Warning},
                        {"error", LogLevel::Error}});
    R.choice<LogFormat>("format", S.Format,
                        {{"text", LogFormat::Text}, {"json", LogFormat::Json}});
    R.count("rate", S.Rate, {1, 100'000});
  }

  void readListen(TomlReader &R, Address &Listen) {
    R.text("listen", Listen, Presence::Required);
    if (!Listen.empty())
      checkAddress(R, "listen", Listen);
  }

  void readAdvertise(TomlReader &R, const Address &Listen, Address &Advertise) {
    R.text("advertise", Advertise);
    if (!Advertise.empty())
      return checkAddress(R, "advertise", Advertise);
    std::optional<AddressParts> Parts = parseAddress(Listen.str());
    if (Parts && Parts->isWildcard())
      R.problem("listen", "`listen` stands for every address of the machine; "
                          "add `advertise` with the one that others use");
  }

  void readTls(TomlReader &R, TlsSettings &S) {
    readFile(R, "tls_certificate", S.CertificateFile, FileKind::Public,
             Presence::Optional);
    readFile(R, "tls_key", S.KeyFile, FileKind::Secret, Presence::Optional);
    if (S.CertificateFile.empty() != S.KeyFile.empty())
      R.problem(S.KeyFile.empty() ? "tls_certificate" : "tls_key",
                "TLS needs both `tls_certificate` and `tls_key`; add the "
                "other or remove this one");
  }

  void readFile(TomlReader &R, std::string_view Key, std::string &File,
                FileKind Kind, Presence P) {
    R.text(Key, File, P);
    if (!File.empty())
      checkFile(R, Key, File, Kind);
  }

  /// Resolves the path against the folder of the settings file and checks it.
  void checkFile(TomlReader &R, std::string_view Key, std::string &File,
                 FileKind Kind) {
    File = (std::filesystem::path(Path_).parent_path() / File).string();
    if (Kind == FileKind::Secret) {
      Result<void> Checked = checkSecretFile(File);
      if (!Checked)
        R.problem(Key,
                  "`" + std::string(Key) + "`: " + Checked.error().Message);
      return;
    }
    std::error_code Code;
    if (!std::filesystem::is_regular_file(File, Code))
      R.problem(Key, "`" + std::string(Key) + "`: file \"" + File +
                         "\" does not exist; create it or fix the path");
  }

  static void checkAddress(TomlReader &R, std::string_view Key,
                           const Address &Text) {
    if (!parseAddress(Text.str()))
      R.problem(Key, "`" + std::string(Key) + "` has \"" + Text.str() +
                         "\"; give an IP number and a port, as in "
                         "\"10.0.0.1:8080\"");
  }

  std::string Path_;
  TomlReader Root_;
  Problems &Found_;
};

} // namespace

LoadedSettings parseSettings(const std::string &Path, const std::string &Text) {
  Problems Found;
  DaemonSettings Settings;
  std::optional<toml::table> Root = parseToml(Path, Text, Found);
  if (Root)
    SettingsReader(Path, *Root, Found).read(Settings);
  if (!Found.empty())
    return tl::make_unexpected(std::move(Found));
  return Settings;
}

LoadedSettings loadSettings(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return tl::make_unexpected(Problems{
        {Path, 0, "the file cannot be opened; fix the path after --config"}});
  std::string Text(std::istreambuf_iterator<char>(In), {});
  return parseSettings(Path, Text);
}

} // namespace celerybeam
