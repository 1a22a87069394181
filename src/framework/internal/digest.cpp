#include "framework/digest.h"

#include <array>
#include <cstddef>

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

namespace celerybeam {

namespace {

constexpr std::size_t Sha256Bytes = 32;

std::string toHex(const std::array<unsigned char, Sha256Bytes> &Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Bytes.size());
  for (unsigned char Byte : Bytes) {
    Text.push_back(Digits[Byte >> 4U]);
    Text.push_back(Digits[Byte & 0xFU]);
  }
  return Text;
}

} // namespace

std::array<std::uint8_t, Sha256Bytes> sha256(std::string_view Data) {
  std::array<std::uint8_t, Sha256Bytes> Bytes{};
  gnutls_hash_fast(GNUTLS_DIG_SHA256, Data.data(), Data.size(), Bytes.data());
  return Bytes;
}

std::string sha256Hex(std::string_view Data) { return toHex(sha256(Data)); }

std::string hmacSha256Hex(std::string_view Secret, std::string_view Data) {
  std::array<unsigned char, Sha256Bytes> Bytes{};
  gnutls_hmac_fast(GNUTLS_MAC_SHA256, Secret.data(), Secret.size(), Data.data(),
                   Data.size(), Bytes.data());
  return toHex(Bytes);
}

bool equalConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  return gnutls_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace celerybeam
