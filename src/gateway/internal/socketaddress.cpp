#include "gateway/internal/socketaddress.h"

#include <array>
#include <charconv>
#include <string_view>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace celerybeam {

namespace {

tl::unexpected<Error> badAddress(const Address &Text) {
  return makeError(ErrorKind::InvalidSettings,
                   "\"" + Text.str() +
                       "\" is no address; write an IP number and a port, as "
                       "in 127.0.0.1:8443 or [::1]:8443.");
}

std::string_view withoutBrackets(std::string_view Host) {
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    return Host.substr(1, Host.size() - 2);
  return Host;
}

} // namespace

Result<SocketAddress> parseSocketAddress(const Address &Text) {
  std::string_view Whole = Text.str();
  auto Colon = Whole.rfind(':');
  if (Colon == std::string_view::npos)
    return badAddress(Text);
  SocketAddress Parsed;
  std::string_view Port = Whole.substr(Colon + 1);
  auto [End, Code] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Parsed.Port);
  if (Port.empty() || Code != std::errc() || End != Port.data() + Port.size())
    return badAddress(Text);
  std::string Host(withoutBrackets(Whole.substr(0, Colon)));
  auto *V4 = reinterpret_cast<sockaddr_in *>(&Parsed.Storage);
  auto *V6 = reinterpret_cast<sockaddr_in6 *>(&Parsed.Storage);
  if (inet_pton(AF_INET, Host.c_str(), &V4->sin_addr) == 1) {
    V4->sin_family = AF_INET;
    V4->sin_port = htons(Parsed.Port);
    Parsed.Size = sizeof(sockaddr_in);
  } else if (inet_pton(AF_INET6, Host.c_str(), &V6->sin6_addr) == 1) {
    V6->sin6_family = AF_INET6;
    V6->sin6_port = htons(Parsed.Port);
    Parsed.Size = sizeof(sockaddr_in6);
  } else {
    return badAddress(Text);
  }
  return Parsed;
}

std::uint16_t boundPort(int Socket) {
  SocketAddress Bound;
  Bound.Size = sizeof(Bound.Storage);
  auto *Where = reinterpret_cast<sockaddr *>(&Bound.Storage);
  if (::getsockname(Socket, Where, &Bound.Size) != 0)
    return 0;
  return ntohs(Bound.isV6() ? reinterpret_cast<sockaddr_in6 *>(Where)->sin6_port
                            : reinterpret_cast<sockaddr_in *>(Where)->sin_port);
}

std::string ipOf(const sockaddr *Where) {
  std::array<char, INET6_ADDRSTRLEN> Text{};
  if (Where == nullptr)
    return {};
  const void *Ip =
      Where->sa_family == AF_INET6
          ? static_cast<const void *>(
                &reinterpret_cast<const sockaddr_in6 *>(Where)->sin6_addr)
          : &reinterpret_cast<const sockaddr_in *>(Where)->sin_addr;
  inet_ntop(Where->sa_family, Ip, Text.data(), Text.size());
  return Text.data();
}

} // namespace celerybeam
