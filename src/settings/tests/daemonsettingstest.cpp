#include "settings/daemonsettings.h"

#include <algorithm>
#include <filesystem>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "settings/addresstext.h"
#include "settings/secretfile.h"
#include "support/temporaryfolder.h"

using namespace celerybeam;

namespace {

namespace fs = std::filesystem;

/// A temporary folder with the secret files that the example names.
class SettingsFolder : public testing::TemporaryFolder {
public:
  SettingsFolder() {
    for (const char *Name : {"operator.token", "peer.key", "customer.secret"})
      BOOST_REQUIRE(writeSecretFile(path(Name), "secret\n").has_value());
  }

  LoadedSettings parse(const std::string &Text) const {
    return parseSettings(path("celerybeamd.toml"), Text);
  }
};

std::string exampleText() {
  return testing::readFile(CELERYBEAM_EXAMPLES "/celerybeamd.toml");
}

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  std::size_t Where = Text.find(Old);
  BOOST_REQUIRE(Where != std::string::npos);
  return Text.replace(Where, Old.size(), New);
}

bool mentions(const LoadedSettings &Loaded, const std::string &Part) {
  if (Loaded.has_value())
    return false;
  return std::any_of(Loaded.error().begin(), Loaded.error().end(),
                     [&](const SettingsProblem &P) {
                       return formatProblem(P).find(Part) != std::string::npos;
                     });
}

} // namespace

BOOST_AUTO_TEST_SUITE(DaemonSettingsTests)

BOOST_AUTO_TEST_CASE(theExampleFileIsValid) {
  SettingsFolder Folder;
  LoadedSettings Loaded = Folder.parse(exampleText());
  for (const SettingsProblem &P :
       Loaded ? std::vector<SettingsProblem>() : Loaded.error())
    BOOST_TEST_MESSAGE(formatProblem(P));
  BOOST_REQUIRE(Loaded.has_value());
  BOOST_TEST(Loaded->Host.Zone == ZoneId("kigali-a"));
  BOOST_TEST(Loaded->Callers.MaxBody.Bytes == 8U << 20U);
  BOOST_TEST(Loaded->Peers.CurveSecretKeyFile == Folder.path("peer.key"));
}

BOOST_AUTO_TEST_CASE(defaultsInTheExampleMatchTheCode) {
  SettingsFolder Folder;
  std::string Text;
  std::istringstream In(exampleText());
  for (std::string Line; std::getline(In, Line); Text += Line + "\n")
    if ((Line.starts_with("# ") && Line.find(" = ") != std::string::npos &&
         Line.find(".crt") == std::string::npos &&
         Line.find(".key\"") == std::string::npos &&
         Line.find("platform.token") == std::string::npos) ||
        Line.starts_with("# ["))
      Line.erase(0, 2);
  LoadedSettings Shown = Folder.parse(Text);
  BOOST_REQUIRE(Shown.has_value());
  DaemonSettings Default;
  BOOST_TEST((Shown->Callers.MaxHeaders == Default.Callers.MaxHeaders));
  BOOST_TEST(Shown->Callers.MaxConnections == Default.Callers.MaxConnections);
  BOOST_TEST((Shown->Callers.BodyTimeout == Default.Callers.BodyTimeout));
  BOOST_TEST((Shown->Callers.Buffer == Default.Callers.Buffer));
  BOOST_TEST((Shown->Platform.Timeout == Default.Platform.Timeout));
  BOOST_TEST((Shown->Shutdown.Grace == Default.Shutdown.Grace));
  BOOST_TEST(Shown->Log.Rate == Default.Log.Rate);
  BOOST_TEST(Shown->Threads.Workers == Default.Threads.Workers);
}

BOOST_AUTO_TEST_CASE(anEmptyFileReportsEveryMissingValue) {
  SettingsFolder Folder;
  LoadedSettings Loaded = Folder.parse("");
  for (const char *Part :
       {"[host]: `id` is missing", "[host]: `region`", "[host]: `zone`",
        "[callers]: `listen`", "[operators]: `token_file`",
        "[peers]: `curve_secret_key_file`", "[peers]: `permitted_keys`",
        "[platform]: `addresses`", "[customers]: `key_secret_files`"})
    BOOST_TEST(mentions(Loaded, Part), Part);
}

BOOST_AUTO_TEST_CASE(badValuesAreReportedWithLineAndRemedy) {
  SettingsFolder Folder;
  struct Case {
    const char *Old;
    const char *New;
    const char *Part;
  };
  for (const Case &C :
       {Case{"# max_body = \"8MiB\"", "max_body = 8", "a size with its unit"},
        Case{"# max_body = \"8MiB\"", "max_bodi = \"8MiB\"",
             "did you mean `max_body`?"},
        Case{"# timeout = \"2s\"", "timeout = \"2\"",
             "a duration with its unit"},
        Case{"# timeout = \"2s\"", "timeout = \"1us\"", "from 10ms to 10m"},
        Case{"127.0.0.1:8080", "localhost:8080", "an IP number and a port"},
        Case{"127.0.0.1:8080", "0.0.0.0:8080", "add `advertise`"},
        Case{"# tls_key = \"callers.key\"", "tls_key = \"peer.key\"",
             "TLS needs both"},
        Case{"[customers]", "[customer]", "unknown key `customer`"},
        Case{"id = \"k1\"", "id = 1", "celerybeamd.toml:10: [host]"},
        Case{"Yne@", "Yne", "not a CURVE public key"},
        Case{"\"customer.secret\"", "\"absent\"", "does not exist"}})
    BOOST_TEST(
        mentions(Folder.parse(replaced(exampleText(), C.Old, C.New)), C.Part),
        C.Part);
}

BOOST_AUTO_TEST_CASE(aSecretThatEveryUserCanReadIsRefused) {
  SettingsFolder Folder;
  fs::permissions(Folder.path("peer.key"), fs::perms(0644));
  BOOST_TEST(mentions(Folder.parse(exampleText()), "chmod 600"));
}

BOOST_AUTO_TEST_CASE(aSecretFileIsNeverOverwritten) {
  SettingsFolder Folder;
  std::string Path = Folder.path("new.key");
  BOOST_TEST(writeSecretFile(Path, "one\n").has_value());
  BOOST_TEST(!writeSecretFile(Path, "two\n").has_value());
  BOOST_TEST(readSecretFile(Path).value_or("") == "one");
}

BOOST_AUTO_TEST_CASE(addressesAreIpNumbersWithPorts) {
  BOOST_TEST(parseAddress("[::1]:80").has_value());
  BOOST_TEST(parseAddress("10.0.0.1:0")->Port == 0);
  for (const char *Text : {"", ":80", "10.0.0.1", "10.0.0.1:", "::1:80",
                           "10.0.0.1:70000", "10.0.0.1:8x", "a.b:1"})
    BOOST_TEST(!parseAddress(Text).has_value(), Text);
}

BOOST_AUTO_TEST_SUITE_END()
