#include <chrono>

#include "ctl/commands.h"
#include "ctl/output.h"
#include "framework/customerkey.h"
#include "settings/secretfile.h"

namespace celerybeam::ctl {

namespace {

std::chrono::seconds expiryOf(const Invocation &I) {
  auto Days = I.Options["days"].as<std::uint32_t>();
  if (Days == 0)
    return std::chrono::seconds(0);
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(
      Now + std::chrono::hours(24) * Days);
}

ExitCode run(const Invocation &I) {
  if (I.text("customer").empty() || I.text("secret-file").empty())
    return I.usage(
        "customer-key needs a customer and a secret: customer-key CUSTOMER "
        "--secret-file FILE");
  Result<std::string> Secret = readSecretFile(I.text("secret-file"));
  if (!Secret)
    return I.fail(Secret.error());
  std::chrono::seconds Expiry = expiryOf(I);
  Result<std::string> Key =
      CustomerKeys({*Secret}).mint(CustomerId(I.text("customer")), Expiry);
  if (!Key)
    return I.fail(Key.error());
  if (I.wantsJson())
    I.Out << Json{{"customer", I.text("customer")},
                  {"key", *Key},
                  {"expires_unix_s", Expiry.count()}}
                 .dump(2)
          << "\n";
  else
    I.Out << *Key << "\n";
  return ExitCode::Ok;
}

} // namespace

Command customerKeyCommand() {
  return {"customer-key",
          "Makes the key that a customer's callers send",
          {"customer"},
          [](po::options_description &Options) {
            Options.add_options()("customer", po::value<std::string>(),
                                  "the customer's name")(
                "secret-file", po::value<std::string>(),
                "file with the secret (the first of `key_secret_files`)")(
                "days", po::value<std::uint32_t>()->default_value(0),
                "days until the key expires; 0: never");
          },
          run};
}

} // namespace celerybeam::ctl
