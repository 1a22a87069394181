#ifndef CELERYBEAM_SETTINGS_ADDRESSTEXT_H
#define CELERYBEAM_SETTINGS_ADDRESSTEXT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace celerybeam {

/// The two parts of an address such as "10.0.0.1:8080" or "[::1]:8080".
struct AddressParts {
  /// IP number without brackets.
  std::string Ip;
  std::uint16_t Port = 0;
  bool IsV6 = false;

  /// Whether the IP number means all addresses of the machine.
  bool isWildcard() const;
};

/// Empty unless the text is an IP number and a port; host names are refused.
std::optional<AddressParts> parseAddress(std::string_view Text);

} // namespace celerybeam

#endif
