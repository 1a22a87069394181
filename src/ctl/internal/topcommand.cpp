#include <chrono>
#include <thread>

#include <unistd.h>

#include "ctl/commands.h"
#include "ctl/output.h"
#include "ctl/servers.h"

namespace celerybeam::ctl {

namespace {

constexpr std::uint32_t DefaultIntervalSeconds = 2;
constexpr const char *ClearScreen = "\x1b[H\x1b[2J";

void show(const Invocation &I, const Json &Response) {
  if (I.wantsJson()) {
    I.Out << Response.dump() << std::endl;
    return;
  }
  if (isatty(STDOUT_FILENO) != 0)
    I.Out << ClearScreen;
  printTable(I.Out,
             {{"POOL", "pool"},
              {"REGION", "region"},
              {"ENDPOINTS", "endpoints"},
              {"EJECTED", "ejected"},
              {"SLOTS", "slots"},
              {"BUSY", "busy"},
              {"WAIT MS", "wait_ms"},
              {"REQUESTS/S", "requests_per_second"},
              {"SHARE AWAY", "share_away"}},
             Response.value("pools", Json::array()));
  I.Out.flush();
}

ExitCode run(const Invocation &I) {
  Result<OperatorClient> Client = OperatorClient::fromOptions(I);
  if (!Client)
    return I.fail(Client.error());
  std::chrono::seconds Interval(I.Options["interval"].as<std::uint32_t>());
  auto Count = I.Options["count"].as<std::uint32_t>();
  for (std::uint32_t Shown = 0; Count == 0 || Shown < Count; ++Shown) {
    if (Shown != 0)
      std::this_thread::sleep_for(Interval);
    Result<Json> Response = Client->call("GET", "/admin/pools");
    if (!Response)
      return I.fail(Response.error());
    show(I, *Response);
  }
  return ExitCode::Ok;
}

} // namespace

Command topCommand() {
  return {"top",
          "Shows the load of each pool periodically",
          {},
          [](po::options_description &Options) {
            Options.add_options()("interval",
                                  po::value<std::uint32_t>()->default_value(
                                      DefaultIntervalSeconds),
                                  "seconds between two views")(
                "count", po::value<std::uint32_t>()->default_value(0),
                "number of views; 0: until interrupted");
            addOperatorOptions(Options);
          },
          run};
}

} // namespace celerybeam::ctl
