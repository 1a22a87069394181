// Settings and configuration files. The first byte chooses the reader: T for
// the daemon's settings, R for its tables, all others for the platform's file.

#include "configuration/tableparser.h"
#include "fuzzing.h"
#include "platform/platformsettings.h"
#include "settings/daemonsettings.h"

using namespace celerybeam;
using fuzzing::expect;

namespace {

/// Divides the two tables of an input.
constexpr std::string_view Divider = "\n---\n";

void readTables(const std::string &Text) {
  std::size_t At = Text.find(Divider);
  TableTexts Texts;
  Texts.Routes = Text.substr(0, At);
  if (At != std::string::npos)
    Texts.Pools = Text.substr(At + Divider.size());
  auto Tables = parseTables(Texts);
  if (!Tables)
    return expect(!Tables.error().empty(), "a refusal names a problem");
  TableTexts Written = formatTables(*Tables);
  auto Again = parseTables(Written);
  expect(Again.has_value(), "what was written can be read");
  expect(formatTables(*Again) == Written, "and says the same");
}

} // namespace

// NOLINTNEXTLINE: name of libFuzzer
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  fuzzing::Script Input(Data, Size);
  unsigned Reader = Input.byte();
  const std::string Text = Input.rest();
  if (Reader == 'R') {
    readTables(Text);
  } else if (Reader == 'T') {
    auto Daemon = celerybeam::parseSettings("/nowhere/celerybeam.toml", Text);
    expect(Daemon || !Daemon.error().empty(), "a refusal names a problem");
  } else {
    auto Gateway = platform::parseSettings(Text);
    expect(Gateway || Gateway.error().Kind == ErrorKind::InvalidSettings,
           "a refusal is one of settings");
    expect(Gateway || !Gateway.error().Message.empty(), "and says why");
  }
  return 0;
}
