#ifndef CELERYBEAM_FRAMEWORK_DIGEST_H
#define CELERYBEAM_FRAMEWORK_DIGEST_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace celerybeam {

/// SHA-256 of the data.
std::array<std::uint8_t, 32> sha256(std::string_view Data);

/// SHA-256 of the data in lower-case hexadecimal, 64 characters.
std::string sha256Hex(std::string_view Data);

/// HMAC-SHA-256 of the data in lower-case hexadecimal, 64 characters.
std::string hmacSha256Hex(std::string_view Secret, std::string_view Data);

/// Compares in a time that does not depend on where the strings differ.
bool equalConstantTime(std::string_view Left, std::string_view Right);

} // namespace celerybeam

#endif
