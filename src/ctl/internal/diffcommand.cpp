#include "ctl/commands.h"
#include "ctl/rowdiff.h"
#include "ctl/servers.h"
#include "ctl/tablefiles.h"

namespace celerybeam::ctl {

namespace {

Result<TableRows> rowsOfRevision(const Invocation &I, const char *Option,
                                 PlatformTables &Platform) {
  Result<StoredTables> Stored =
      I.Options.count(Option) == 0
          ? Platform.read()
          : Platform.readRevision(I.Options[Option].as<Revision>());
  if (!Stored)
    return tl::make_unexpected(Stored.error());
  return Stored->Content.Rows;
}

ExitCode run(const Invocation &I) {
  bool HasFiles = !I.text("routes").empty();
  if (HasFiles == I.text("pools").empty())
    return I.usage("diff needs both files or none: diff ROUTES POOLS");
  if (!HasFiles && I.Options.count("from") == 0)
    return I.usage("diff needs two files or --from REVISION");
  auto Platform = PlatformTables::fromOptions(I);
  if (!Platform)
    return I.fail(Platform.error());
  Result<TableRows> Before = rowsOfRevision(I, "from", **Platform);
  if (!Before)
    return I.fail(Before.error());
  Result<TableRows> After = TableRows();
  if (HasFiles) {
    Result<TableFiles> Files =
        readTableFiles(I.text("routes"), I.text("pools"));
    if (!Files)
      return I.fail(Files.error());
    std::optional<TableRows> Rows = checkTableFiles(*Files, I);
    if (!Rows)
      return ExitCode::Failed;
    After = *Rows;
  } else {
    After = rowsOfRevision(I, "to", **Platform);
  }
  if (!After)
    return I.fail(After.error());
  std::vector<RowChange> Changes = changesBetween(*Before, *After);
  if (I.wantsJson())
    I.Out << Json{{"changes", changesToJson(Changes)}}.dump(2) << "\n";
  else if (Changes.empty())
    I.Out << "no difference\n";
  else
    printChanges(I.Out, Changes);
  return ExitCode::Ok;
}

} // namespace

Command diffCommand() {
  return {"diff",
          "Shows what files, or a revision, change against the tables in force",
          {"routes", "pools"},
          [](po::options_description &Options) {
            Options.add_options()("routes", po::value<std::string>(),
                                  "file with the routes")(
                "pools", po::value<std::string>(), "file with the pools")(
                "from", po::value<Revision>(),
                "revision to compare with (the one in force)")(
                "to", po::value<Revision>(),
                "revision to compare instead of files (the one in force)");
            addPlatformOptions(Options);
          },
          run};
}

} // namespace celerybeam::ctl
