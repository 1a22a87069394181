#include "peers/internal/peeraddress.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <string>

#include <arpa/inet.h>

namespace celerybeam {

namespace {

constexpr std::string_view LoopbackV4 = "127.";
constexpr std::string_view LoopbackV6 = "::1";

bool isIpAddress(const std::string &Host) {
  std::array<unsigned char, sizeof(in6_addr)> Buffer{};
  return inet_pton(AF_INET, Host.c_str(), Buffer.data()) == 1 ||
         inet_pton(AF_INET6, Host.c_str(), Buffer.data()) == 1;
}

bool isPort(std::string_view Text) {
  std::uint16_t Port = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Port);
  return !Text.empty() && Code == std::errc() &&
         End == Text.data() + Text.size();
}

} // namespace

Result<void> checkPeerAddress(const Address &Where, bool Encrypted) {
  std::string_view Text = Where.str();
  auto Colon = Text.rfind(':');
  std::string Host(Text.substr(0, Colon));
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  if (Colon == std::string_view::npos || !isIpAddress(Host) ||
      !isPort(Text.substr(Colon + 1)))
    return makeError(ErrorKind::InvalidSettings,
                     "\"" + Where.str() +
                         "\" is no peer address; write an IP number and a "
                         "port, as in 127.0.0.1:7443.");
  bool Loopback = Host.starts_with(LoopbackV4) || Host == LoopbackV6;
  if (!Encrypted && !Loopback)
    return makeError(ErrorKind::InvalidSettings,
                     "Without peer keys only loopback addresses may be "
                     "used, not " +
                         Where.str() +
                         "; make keys with celerybeamctl keygen and set them.");
  return {};
}

} // namespace celerybeam
