#include <array>
#include <ctime>

#include "ctl/commands.h"
#include "ctl/output.h"
#include "ctl/servers.h"

namespace celerybeam::ctl {

namespace {

constexpr std::size_t DefaultLimit = 20;
constexpr std::size_t ShownDigestLength = 12;

std::string timeText(std::chrono::seconds Time) {
  std::time_t Seconds = Time.count();
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return Text.data();
}

ExitCode run(const Invocation &I) {
  auto Platform = PlatformTables::fromOptions(I);
  if (!Platform)
    return I.fail(Platform.error());
  Result<std::vector<RevisionMark>> Marks =
      (*Platform)->history(I.Options["limit"].as<std::size_t>());
  if (!Marks)
    return I.fail(Marks.error());
  Json Rows = Json::array();
  for (const RevisionMark &Mark : *Marks)
    Rows.push_back({{"revision", Mark.Number},
                    {"time", timeText(Mark.WrittenAt)},
                    {"author", Mark.Author},
                    {"digest", Mark.Digest.substr(0, ShownDigestLength)}});
  if (I.wantsJson())
    I.Out << Json{{"revisions", Rows}}.dump(2) << "\n";
  else
    printTable(I.Out,
               {{"REVISION", "revision"},
                {"TIME", "time"},
                {"AUTHOR", "author"},
                {"DIGEST", "digest"}},
               Rows);
  return ExitCode::Ok;
}

} // namespace

Command historyCommand() {
  return {"history",
          "Lists the accepted revisions, newest first",
          {},
          [](po::options_description &Options) {
            Options.add_options()(
                "limit", po::value<std::size_t>()->default_value(DefaultLimit),
                "greatest number of revisions");
            addPlatformOptions(Options);
          },
          run};
}

} // namespace celerybeam::ctl
