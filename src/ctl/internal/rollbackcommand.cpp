#include "ctl/commands.h"
#include "ctl/inforce.h"
#include "ctl/output.h"
#include "ctl/servers.h"

namespace celerybeam::ctl {

namespace {

ExitCode run(const Invocation &I) {
  if (I.Options.count("revision") == 0)
    return I.usage("rollback needs a revision: rollback REVISION");
  auto Platform = PlatformTables::fromOptions(I);
  if (!Platform)
    return I.fail(Platform.error());
  Revision To = I.Options["revision"].as<Revision>();
  Result<ApplyOutcome> Outcome = (*Platform)->rollback(To, authorOf(I));
  if (!Outcome)
    return I.fail(Outcome.error());
  Revision Number = Outcome->Mark.Number;
  if (!I.wantsJson())
    I.Out << "the rows of revision " << To << " are accepted as revision "
          << Number << "\n";
  else if (I.Options.count("wait") == 0)
    I.Out << Json{{"revision", Number}, {"rows_of", To}}.dump(2) << "\n";
  return waitUntilInForce(I, Number);
}

} // namespace

Command rollbackCommand() {
  return {"rollback",
          "Puts the rows of an older revision in force as a new revision",
          {"revision"},
          [](po::options_description &Options) {
            Options.add_options()("revision", po::value<Revision>(),
                                  "the revision whose rows are wanted")(
                "author", po::value<std::string>(),
                "name in the history ($USER)");
            addPlatformOptions(Options);
            addWaitOptions(Options);
          },
          run};
}

} // namespace celerybeam::ctl
