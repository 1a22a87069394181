#include "ctl/commands.h"
#include "ctl/internal/hostcommands.h"
#include "ctl/servers.h"

namespace celerybeam::ctl {

namespace {

ExitCode run(const Invocation &I) {
  return detail::showResponse(
      I, "POST", "/admin/drain", [&](const Json &Response) {
        I.Out << "leaving; " << cellText(Response.value("in_flight", Json(0)))
              << " requests in flight are finished first\n";
      });
}

} // namespace

Command drainCommand() {
  return {"drain",
          "Shuts the entry host at --operator down gracefully",
          {},
          addOperatorOptions,
          run};
}

} // namespace celerybeam::ctl
