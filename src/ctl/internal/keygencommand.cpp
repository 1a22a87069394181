#include <array>

#include <gnutls/crypto.h>
#include <zmq.h>

#include "ctl/commands.h"
#include "ctl/output.h"
#include "settings/secretfile.h"

namespace celerybeam::ctl {

namespace {

// Size of a CURVE key in Z85 with the terminating zero.
constexpr std::size_t CurveTextBytes = 41;
constexpr std::size_t SecretBytes = 32;

using CurveText = std::array<char, CurveTextBytes>;

Result<std::string> randomSecret() {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, SecretBytes> Bytes{};
  if (gnutls_rnd(GNUTLS_RND_KEY, Bytes.data(), Bytes.size()) < 0)
    return makeError(ErrorKind::Internal,
                     "The machine gives no random numbers; try again.");
  std::string Text;
  for (unsigned char Byte : Bytes) {
    Text.push_back(Digits[Byte >> 4U]);
    Text.push_back(Digits[Byte & 0xFU]);
  }
  return Text;
}

ExitCode makeCurveKey(const Invocation &I, const std::string &Path) {
  CurveText Public{};
  CurveText Secret{};
  if (zmq_curve_keypair(Public.data(), Secret.data()) != 0)
    return I.fail({ErrorKind::Internal, "This ZeroMQ is built without CURVE; "
                                        "install one with libsodium."});
  Result<void> Written =
      writeSecretFile(Path, std::string(Secret.data()) + "\n");
  if (!Written)
    return I.fail(Written.error());
  if (I.wantsJson())
    I.Out << Json{{"secret_key_file", Path}, {"public_key", Public.data()}}
                 .dump(2)
          << "\n";
  else
    I.Out << Public.data() << "\n";
  I.Err << "wrote the secret key to " << Path
        << "; add the public key to `permitted_keys` on every host\n";
  return ExitCode::Ok;
}

ExitCode makeSecret(const Invocation &I, const std::string &Path) {
  Result<std::string> Secret = randomSecret();
  if (!Secret)
    return I.fail(Secret.error());
  Result<void> Written = writeSecretFile(Path, *Secret + "\n");
  if (!Written)
    return I.fail(Written.error());
  if (I.wantsJson())
    I.Out << Json{{"secret_file", Path}}.dump(2) << "\n";
  I.Err << "wrote the secret to " << Path << "\n";
  return ExitCode::Ok;
}

ExitCode run(const Invocation &I) {
  auto Given = I.Options.count("curve") + I.Options.count("customer") +
               I.Options.count("token");
  if (Given != 1)
    return I.usage("keygen needs one of --curve FILE, --customer FILE, --token "
                   "FILE");
  if (I.Options.count("curve") != 0)
    return makeCurveKey(I, I.text("curve"));
  std::string Customer = I.text("customer");
  return makeSecret(I, Customer.empty() ? I.text("token") : Customer);
}

} // namespace

Command keygenCommand() {
  return {"keygen",
          "Makes a key or secret for the settings of entry hosts",
          {},
          [](po::options_description &Options) {
            Options.add_options()(
                "curve", po::value<std::string>(),
                "write a host's CURVE secret key to this new file and print "
                "the public key")("customer", po::value<std::string>(),
                                  "write a secret for customer keys to this "
                                  "new file")(
                "token", po::value<std::string>(),
                "write an operators' token to this new file");
          },
          run};
}

} // namespace celerybeam::ctl
