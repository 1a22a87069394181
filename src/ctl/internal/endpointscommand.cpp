#include "ctl/commands.h"
#include "ctl/internal/hostcommands.h"

namespace celerybeam::ctl {

Command endpointsCommand() {
  return detail::listCommand("endpoints",
                             "Lists the endpoints with their load and state",
                             "/admin/endpoints", "endpoints",
                             {{"ENDPOINT", "endpoint"},
                              {"REGION", "region"},
                              {"KIND", "kind"},
                              {"LABEL", "label"},
                              {"STATE", "state"},
                              {"PROBATION", "probation"},
                              {"SLOTS", "slots"},
                              {"RUNNING", "running"},
                              {"WAITING", "waiting"},
                              {"IN FLIGHT", "in_flight"},
                              {"FIRST MS", "first_token_ms"},
                              {"LOADED", "loaded"}});
}

} // namespace celerybeam::ctl
