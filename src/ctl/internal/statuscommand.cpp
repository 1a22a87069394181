#include "ctl/commands.h"
#include "ctl/internal/hostcommands.h"
#include "ctl/servers.h"

namespace celerybeam::ctl {

namespace {

/// Copies the nested fields of the status to the top level.
Json flattened(const Json &Status) {
  Json Flat = Status;
  const Json Empty = Json::object();
  const Json Store = Status.value("store", Empty);
  const Json Requests = Status.value("requests", Empty);
  Flat["store"] = Store.value("reachable", false)
                      ? "reachable"
                      : "no answer for " +
                            Store.value("last_answer_age_ms", Json(0)).dump() +
                            " ms";
  Flat["in_flight"] = Requests.value("in_flight", Json(0));
  Flat["served"] = Requests.value("served", Json(0));
  Flat["refused"] = Requests.value("refused", Json(0));
  bool IsReady = Status.value("ready", false);
  Flat["ready"] =
      IsReady ? "yes" : "no: " + Status.value("not_ready_reason", "");
  return Flat;
}

ExitCode run(const Invocation &I) {
  auto Print = [&](const Json &Status) {
    printFields(I.Out,
                {{"host", "host"},
                 {"region", "region"},
                 {"zone", "zone"},
                 {"version", "version"},
                 {"ready", "ready"},
                 {"leaving", "leaving"},
                 {"revision", "revision"},
                 {"store", "store"},
                 {"in flight", "in_flight"},
                 {"served", "served"},
                 {"refused", "refused"}},
                flattened(Status));
    I.Out << "\n";
    printTable(I.Out,
               {{"REGION", "region"},
                {"HOSTS", "hosts"},
                {"ALIVE", "hosts_alive"},
                {"LOWEST", "revision_lowest"},
                {"HIGHEST", "revision_highest"},
                {"AT HIGHEST", "hosts_at_highest"}},
               Status.value("regions", Json::array()));
  };
  return detail::showResponse(I, "GET", "/admin/status", Print);
}

} // namespace

Command statusCommand() {
  return {"status",
          "Shows an entry host and the revision in force in each region",
          {},
          addOperatorOptions,
          run};
}

} // namespace celerybeam::ctl
