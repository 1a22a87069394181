#include <filesystem>

#include "ctl/commands.h"
#include "ctl/output.h"
#include "ctl/servers.h"
#include "ctl/tablefiles.h"

namespace celerybeam::ctl {

namespace {

Result<StoredTables> readRequestedRevision(const Invocation &I,
                                           PlatformTables &Platform) {
  if (I.Options.count("revision") == 0)
    return Platform.read();
  return Platform.readRevision(I.Options["revision"].as<Revision>());
}

ExitCode writeFiles(const Invocation &I, const TableTexts &Texts) {
  std::filesystem::path Folder = I.text("directory");
  const std::pair<const char *, const std::string &> Files[] = {
      {"routes.toml", Texts.Routes}, {"pools.toml", Texts.Pools}};
  for (const auto &[Name, Text] : Files)
    if (I.Options.count("force") == 0 && std::filesystem::exists(Folder / Name))
      return I.fail(
          {ErrorKind::InvalidTable,
           (Folder / Name).string() + " exists; move it away or add --force."});
  for (const auto &[Name, Text] : Files) {
    Result<void> Written = writeWholeFile((Folder / Name).string(), Text);
    if (!Written)
      return I.fail(Written.error());
    I.Err << "wrote " << (Folder / Name).string() << "\n";
  }
  return ExitCode::Ok;
}

ExitCode run(const Invocation &I) {
  auto Platform = PlatformTables::fromOptions(I);
  if (!Platform)
    return I.fail(Platform.error());
  Result<StoredTables> Stored = readRequestedRevision(I, **Platform);
  if (!Stored)
    return I.fail(Stored.error());
  if (Stored->Mark.Number == 0)
    return I.fail({ErrorKind::NotFound, "The platform holds no tables yet; "
                                        "apply the first ones."});
  std::string Origin = originLine({Stored->Mark.Number, Stored->Mark.Record});
  TableTexts Texts = textsOf(Stored->Content.Rows);
  Texts.Routes.insert(0, Origin + "\n");
  Texts.Pools.insert(0, Origin + "\n");
  if (!I.text("directory").empty())
    return writeFiles(I, Texts);
  if (I.wantsJson())
    I.Out << Json{{"revision", Stored->Mark.Number},
                  {"digest", Stored->Mark.Digest},
                  {"record", Stored->Mark.Record.str()},
                  {"routes", Texts.Routes},
                  {"pools", Texts.Pools}}
                 .dump(2)
          << "\n";
  else
    I.Out << "# routes.toml\n"
          << Texts.Routes << "\n# pools.toml\n"
          << Texts.Pools;
  return ExitCode::Ok;
}

} // namespace

Command getCommand() {
  return {"get",
          "Gets the tables in force, or those of an older revision",
          {},
          [](po::options_description &Options) {
            Options.add_options()("directory", po::value<std::string>(),
                                  "write routes.toml and pools.toml there "
                                  "instead of printing them")(
                "force", "replace these files")(
                "revision", po::value<Revision>(),
                "an older revision (history lists them)");
            addPlatformOptions(Options);
          },
          run};
}

} // namespace celerybeam::ctl
