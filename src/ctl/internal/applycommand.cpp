#include <utility>

#include "ctl/commands.h"
#include "ctl/inforce.h"
#include "ctl/rowdiff.h"
#include "ctl/servers.h"
#include "ctl/tablefiles.h"

namespace celerybeam::ctl {

namespace {

/// Returns the rows that the operator's edit is based on: those of --base or of
/// the revision in the files' first line. Files that name no revision may only
/// add rows, since a row that differs may be a newer one of another operator.
Result<TableRows> baseOf(const Invocation &I, PlatformTables &Platform,
                         const TableFiles &Files, const TableRows &Next) {
  if (I.Options.count("base") != 0) {
    Result<StoredTables> Base =
        Platform.readRevision(I.Options["base"].as<Revision>());
    if (!Base)
      return tl::make_unexpected(Base.error());
    return Base->Content.Rows;
  }
  if (Files.Origin) {
    Result<TablesRevision> Base = Platform.readRecord(Files.Origin->Record);
    if (!Base && Base.error().Kind == ErrorKind::NotFound)
      return makeError(ErrorKind::NotFound,
                       "The revision in the files' first lines is not in this "
                       "platform's store; check --platform, or remove these "
                       "lines if the files are meant for another one.");
    if (!Base)
      return tl::make_unexpected(Base.error());
    return Base->Rows;
  }
  Result<StoredTables> Newest = Platform.read();
  if (!Newest)
    return tl::make_unexpected(Newest.error());
  for (const RowChange &Change : changesBetween(Newest->Content.Rows, Next))
    if (!Change.Before.empty())
      return makeError(
          ErrorKind::InvalidTable,
          "The files do not say which revision they were edited from, and " +
              describeChange(Change) + " against revision " +
              std::to_string(Newest->Mark.Number) +
              " in force. Get the tables and repeat the edit, or name the "
              "revision with --base.");
  return Newest->Content.Rows;
}

/// Writes the new revision to the files' first lines, so that the files can be
/// edited and applied again. Files without the changes of other operators keep
/// their old line.
void stamp(const Invocation &I, const TableFiles &Files,
           const ApplyOutcome &Outcome) {
  if (I.Options.count("no-stamp") != 0)
    return;
  if (!Outcome.ChangedByOthers.empty()) {
    I.Err << "others changed rows that your files lack; celerybeamctl get "
             "brings them\n";
    return;
  }
  Result<void> Stamped =
      stampTableFiles(Files, {Outcome.Mark.Number, Outcome.Mark.Record});
  if (!Stamped)
    I.Err << "the files keep their old first line: " << Stamped.error().Message
          << "\n";
}

void print(const Invocation &I, const ApplyOutcome &Outcome) {
  if (I.wantsJson()) {
    // With --wait, the only JSON object printed is the one with the regions.
    if (I.Options.count("wait") == 0)
      I.Out << Json{{"revision", Outcome.Mark.Number},
                    {"digest", Outcome.Mark.Digest},
                    {"changed", Outcome.Changed},
                    {"changed_by_others",
                     changesToJson(Outcome.ChangedByOthers)}}
                   .dump(2)
            << "\n";
    return;
  }
  I.Out << (Outcome.Changed ? "accepted as revision "
                            : "nothing to change, in force since revision ")
        << Outcome.Mark.Number << "\n";
  for (const RowChange &Change : Outcome.ChangedByOthers)
    I.Out << "merged with others' edit: " << describeChange(Change) << "\n";
}

ExitCode dryRun(const Invocation &I, const TableRows &Base,
                const TableRows &Next) {
  std::vector<RowChange> Changes = changesBetween(Base, Next);
  if (I.wantsJson())
    I.Out << Json{{"changes", changesToJson(Changes)}}.dump(2) << "\n";
  else
    printChanges(I.Out, Changes);
  return ExitCode::Ok;
}

ExitCode run(const Invocation &I) {
  if (I.text("routes").empty() || I.text("pools").empty())
    return I.usage("apply needs --routes FILE and --pools FILE");
  Result<TableFiles> Files = readTableFiles(I.text("routes"), I.text("pools"));
  if (!Files)
    return I.fail(Files.error());
  std::optional<TableRows> Next = checkTableFiles(*Files, I);
  if (!Next)
    return ExitCode::Failed;
  auto Platform = PlatformTables::fromOptions(I);
  if (!Platform)
    return I.fail(Platform.error());
  Result<TableRows> Base = baseOf(I, **Platform, *Files, *Next);
  if (!Base)
    return I.fail(Base.error());
  if (I.Options.count("dry-run") != 0)
    return dryRun(I, *Base, *Next);
  ApplyRequest Request{std::move(*Base), std::move(*Next), authorOf(I)};
  if (I.Options.count("above") != 0)
    Request.Above = I.Options["above"].as<Revision>();
  Result<ApplyOutcome> Outcome = (*Platform)->apply(Request);
  if (!Outcome)
    return I.fail(Outcome.error());
  print(I, *Outcome);
  stamp(I, *Files, *Outcome);
  return waitUntilInForce(I, Outcome->Mark.Number);
}

} // namespace

Command applyCommand() {
  return {"apply",
          "Puts edited tables in force in every region",
          {},
          [](po::options_description &Options) {
            Options.add_options()("routes", po::value<std::string>(),
                                  "file with the routes")(
                "pools", po::value<std::string>(), "file with the pools")(
                "base", po::value<Revision>(),
                "revision that the files were edited from, instead of the one "
                "in their first lines")("author", po::value<std::string>(),
                                        "name in the history ($USER)")(
                "above", po::value<Revision>(),
                "give the revision a higher number than this, after the "
                "platform has lost revisions that are in force")(
                "dry-run", "only show what would change")(
                "no-stamp", "leave the first lines of the files alone");
            addPlatformOptions(Options);
            addWaitOptions(Options);
          },
          run};
}

} // namespace celerybeam::ctl
