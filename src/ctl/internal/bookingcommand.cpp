#include "ctl/commands.h"
#include "ctl/internal/hostcommands.h"
#include "ctl/servers.h"
#include "framework/uuid7.h"

namespace celerybeam::ctl {

namespace {

ExitCode run(const Invocation &I) {
  std::string Key = I.text("key");
  if (Key.empty() || I.text("customer").empty())
    return I.usage("booking needs a key and a customer: booking KEY --customer "
                   "NAME");
  Result<Uuid7> Parsed = Uuid7::parse(Key);
  if (!Parsed)
    return I.usage(Parsed.error().Message);
  std::string Target = "/admin/bookings/" + Parsed->str() +
                       "?customer=" + encodeQueryValue(I.text("customer"));
  return detail::showResponse(I, "GET", Target, [&](const Json &Booking) {
    printFields(I.Out,
                {{"key", "key"},
                 {"customer", "customer"},
                 {"outcome", "outcome"},
                 {"status", "status"},
                 {"answer", "answer"}},
                Booking);
  });
}

} // namespace

Command bookingCommand() {
  return {"booking",
          "Shows the outcome of a booking",
          {"key"},
          [](po::options_description &Options) {
            Options.add_options()("key", po::value<std::string>(),
                                  "the booking's key (UUIDv7)")(
                "customer", po::value<std::string>(),
                "the customer that booked");
            addOperatorOptions(Options);
          },
          run};
}

} // namespace celerybeam::ctl
