#include "framework/uuid7.h"

#include <cstdint>
#include <utility>

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace celerybeam {

namespace {

constexpr int TimeBytes = 6;
constexpr std::size_t CanonicalLength = 36;
constexpr unsigned VersionByte = 6;
constexpr unsigned VariantByte = 8;

tl::unexpected<Error> invalidKey(std::string_view Text) {
  return makeError(ErrorKind::InvalidKey,
                   "the key \"" + std::string(Text.substr(0, 64)) +
                       "\" is not a UUID of version 7; make a new one for "
                       "each booking (RFC 9562, section 5.7)");
}

} // namespace

Uuid7::Uuid7(std::string Text) : Text_(std::move(Text)) {}

Result<Uuid7> Uuid7::parse(std::string_view Text) {
  if (Text.size() != CanonicalLength)
    return invalidKey(Text);
  boost::uuids::uuid Value{};
  try {
    Value = boost::uuids::string_generator()(Text.begin(), Text.end());
  } catch (const std::runtime_error &) {
    return invalidKey(Text);
  }
  bool IsVersion7 = (Value.data[VersionByte] >> 4U) == 7;
  bool IsRfcVariant = (Value.data[VariantByte] & 0xC0U) == 0x80;
  if (!IsVersion7 || !IsRfcVariant)
    return invalidKey(Text);
  return Uuid7(boost::uuids::to_string(Value));
}

Uuid7 Uuid7::generate(const Runtime &R) {
  boost::uuids::uuid Value{};
  auto Millis = static_cast<std::uint64_t>(R.WallNow().count());
  for (int I = 0; I < TimeBytes; ++I)
    Value.data[I] =
        static_cast<std::uint8_t>(Millis >> (8U * (TimeBytes - 1 - I)));
  std::uint64_t High = R.Random();
  std::uint64_t Low = R.Random();
  Value.data[6] = static_cast<std::uint8_t>(0x70U | (High & 0x0FU));
  Value.data[7] = static_cast<std::uint8_t>(High >> 8U);
  for (unsigned I = 0; I < 8; ++I)
    Value.data[8 + I] = static_cast<std::uint8_t>(Low >> (8U * I));
  Value.data[8] = static_cast<std::uint8_t>(0x80U | (Value.data[8] & 0x3FU));
  return Uuid7(boost::uuids::to_string(Value));
}

UnixMillis Uuid7::createdAt() const {
  std::string Hex = Text_.substr(0, 8) + Text_.substr(9, 4);
  return UnixMillis(std::stoll(Hex, nullptr, 16));
}

} // namespace celerybeam
