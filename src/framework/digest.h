#ifndef CELERYBEAM_FRAMEWORK_DIGEST_H
#define CELERYBEAM_FRAMEWORK_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace celerybeam {

/// SHA-256 of the data in lower-case hexadecimal, 64 characters.
std::string sha256Hex(std::string_view Data);

/// HMAC-SHA-256 of the data in lower-case hexadecimal, 64 characters.
std::string hmacSha256Hex(std::string_view Secret, std::string_view Data);

/// Compares without a time that depends on where the strings differ.
bool equalConstantTime(std::string_view Left, std::string_view Right);

/// A fast 64-bit hash that is the same on every host (not for security).
std::uint64_t stableHash(std::string_view Data, std::uint64_t Seed = 0);

} // namespace celerybeam

#endif
