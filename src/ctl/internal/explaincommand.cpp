#include <array>

#include "ctl/commands.h"
#include "ctl/internal/hostcommands.h"
#include "ctl/servers.h"

namespace celerybeam::ctl {

namespace {

constexpr std::array QueryParameters = {"route", "model",  "customer",
                                        "class", "prompt", "region"};

void print(const Invocation &I, const Json &Response) {
  printFields(I.Out,
              {{"route", "route"},
               {"pool", "pool"},
               {"class", "class"},
               {"region", "region"},
               {"residence", "residence"},
               {"revision", "revision"},
               {"decision", "decision"},
               {"chosen", "chosen"},
               {"reason", "reason"}},
              Response);
  I.Out << "\n";
  printTable(I.Out,
             {{"ENDPOINT", "endpoint"},
              {"SCORE", "score"},
              {"WAIT MS", "predicted_wait_ms"},
              {"AFFINITY", "affinity"},
              {"EXCLUDED", "excluded"}},
             Response.value("candidates", Json::array()));
  I.Out << "\n";
  printTable(I.Out,
             {{"REGION", "region"},
              {"PREDICTED MS", "predicted_ms"},
              {"EXCLUDED", "excluded"}},
             Response.value("regions", Json::array()));
}

ExitCode run(const Invocation &I) {
  if (I.text("route").empty() == I.text("model").empty())
    return I.usage("explain needs --route or --model, one of them");
  std::string Query;
  for (const char *Name : QueryParameters)
    if (!I.text(Name).empty())
      Query += (Query.empty() ? "?" : "&") + std::string(Name) + "=" +
               encodeQueryValue(I.text(Name));
  return detail::showResponse(
      I, "GET", "/admin/explain" + Query,
      [&](const Json &Response) { print(I, Response); });
}

} // namespace

Command explainCommand() {
  return {"explain",
          "Shows where a request would go and why",
          {},
          [](po::options_description &Options) {
            Options.add_options()("route", po::value<std::string>(),
                                  "the route that the request names")(
                "model", po::value<std::string>(), "or the model")(
                "customer", po::value<std::string>(), "the caller's customer")(
                "class", po::value<std::string>(),
                "short or long (estimated)")("prompt", po::value<std::string>(),
                                             "the first part of the prompt")(
                "region", po::value<std::string>(),
                "the region that the caller names");
            addOperatorOptions(Options);
          },
          run};
}

} // namespace celerybeam::ctl
