#include "ctl/commands.h"
#include "ctl/output.h"
#include "ctl/tablefiles.h"

namespace celerybeam::ctl {

namespace {

ExitCode run(const Invocation &I) {
  if (I.text("routes").empty() || I.text("pools").empty())
    return I.usage("check needs both files: check ROUTES POOLS");
  Result<TableFiles> Files = readTableFiles(I.text("routes"), I.text("pools"));
  if (!Files)
    return I.fail(Files.error());
  std::optional<TableRows> Rows = checkTableFiles(*Files, I);
  if (!Rows)
    return ExitCode::Failed;
  if (I.wantsJson())
    I.Out << Json{{"problems", Json::array()},
                  {"routes", Rows->Routes.size()},
                  {"pools", Rows->Pools.size()}}
                 .dump(2)
          << "\n";
  else
    I.Out << "both tables are sound: " << Rows->Routes.size() << " routes, "
          << Rows->Pools.size() << " pools\n";
  return ExitCode::Ok;
}

} // namespace

Command checkCommand() {
  return {"check",
          "Checks both tables together and reports every problem",
          {"routes", "pools"},
          [](po::options_description &Options) {
            Options.add_options()("routes", po::value<std::string>(),
                                  "file with the routes")(
                "pools", po::value<std::string>(), "file with the pools");
          },
          run};
}

} // namespace celerybeam::ctl
