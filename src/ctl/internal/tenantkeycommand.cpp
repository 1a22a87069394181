#include <chrono>

#include "ctl/commands.h"
#include "ctl/output.h"
#include "framework/tenantkey.h"
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
  if (I.text("tenant").empty() || I.text("secret-file").empty())
    return I.usage("tenant-key needs a tenant and a secret: tenant-key TENANT "
                   "--secret-file FILE");
  Result<std::string> Secret = readSecretFile(I.text("secret-file"));
  if (!Secret)
    return I.fail(Secret.error());
  std::chrono::seconds Expiry = expiryOf(I);
  Result<std::string> Key =
      TenantKeys({*Secret}).mint(TenantId(I.text("tenant")), Expiry);
  if (!Key)
    return I.fail(Key.error());
  if (I.wantsJson())
    I.Out << Json{{"tenant", I.text("tenant")},
                  {"key", *Key},
                  {"expires_unix_s", Expiry.count()}}
                 .dump(2)
          << "\n";
  else
    I.Out << *Key << "\n";
  return ExitCode::Ok;
}

} // namespace

Command tenantKeyCommand() {
  return {"tenant-key",
          "Makes the key that a tenant's callers send",
          {"tenant"},
          [](po::options_description &Options) {
            Options.add_options()("tenant", po::value<std::string>(),
                                  "the tenant's name")(
                "secret-file", po::value<std::string>(),
                "file with the secret (the first of `key_secret_files`)")(
                "days", po::value<std::uint32_t>()->default_value(0),
                "days until the key expires; 0: never");
          },
          run};
}

} // namespace celerybeam::ctl
