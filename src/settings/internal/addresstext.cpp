#include "settings/addresstext.h"

#include <array>
#include <charconv>

#include <arpa/inet.h>

namespace celerybeam {

bool AddressParts::isWildcard() const { return Ip == "0.0.0.0" || Ip == "::"; }

std::optional<AddressParts> parseAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  AddressParts Parts;
  std::string_view Ip = Text.substr(0, Colon);
  if (Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']') {
    Parts.IsV6 = true;
    Ip = Ip.substr(1, Ip.size() - 2);
  }
  Parts.Ip = std::string(Ip);
  std::array<unsigned char, sizeof(in6_addr)> Binary{};
  if (inet_pton(Parts.IsV6 ? AF_INET6 : AF_INET, Parts.Ip.c_str(),
                Binary.data()) != 1)
    return std::nullopt;
  std::string_view Port = Text.substr(Colon + 1);
  const char *End = Port.data() + Port.size();
  auto [Parsed, Code] = std::from_chars(Port.data(), End, Parts.Port);
  if (Code != std::errc() || Parsed != End)
    return std::nullopt;
  return Parts;
}

} // namespace celerybeam
