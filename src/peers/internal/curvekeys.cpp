#include <array>

#include <zmq.h>

#include "peers/peertransport.h"

namespace celerybeam {

namespace {

/// Size of a key in Z85 with the terminating zero.
constexpr std::size_t KeyTextSize = 41;
using KeyBuffer = std::array<char, KeyTextSize>;

} // namespace

Result<CurveKeyPair> generateKeyPair() {
  KeyBuffer Public{};
  KeyBuffer Secret{};
  if (zmq_curve_keypair(Public.data(), Secret.data()) != 0)
    return makeError(ErrorKind::Internal,
                     "This build of ZeroMQ has no CURVE; install libzmq with "
                     "libsodium.");
  return CurveKeyPair{Public.data(), Secret.data()};
}

Result<std::string> publicKeyOf(const std::string &SecretKey) {
  KeyBuffer Public{};
  if (SecretKey.size() != KeyTextSize - 1 ||
      zmq_curve_public(Public.data(), SecretKey.c_str()) != 0)
    return makeError(ErrorKind::InvalidSettings,
                     "The secret peer key is not 40 characters of Z85; make "
                     "a key pair with celerybeamctl keygen.");
  return std::string(Public.data());
}

} // namespace celerybeam
