#ifndef CELERYBEAM_FRAMEWORK_UNITS_H
#define CELERYBEAM_FRAMEWORK_UNITS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "framework/runtime.h"

namespace celerybeam {

/// Reads a duration such as "250ms", "60s", "5m" or "2h"; decimals are
/// allowed. Empty when the text has no known unit or is negative.
std::optional<Duration> parseDuration(std::string_view Text);

/// Writes a duration in the largest unit that needs no decimals. Fractions of
/// a millisecond are written as "us".
std::string formatDuration(Duration D);

/// A number of bytes.
struct ByteSize {
  std::uint64_t Bytes = 0;

  auto operator<=>(const ByteSize &) const = default;
};

/// Reads a size such as "512B", "64KiB", "8MiB" or "1GiB". Empty when the
/// text has no known unit.
std::optional<ByteSize> parseByteSize(std::string_view Text);

/// Writes a size in the largest unit that needs no decimals.
std::string formatByteSize(ByteSize Size);

/// Writes a number so that parsing it gives the same value, always with a
/// decimal point or an exponent ("2.0").
std::string formatNumber(double Value);

} // namespace celerybeam

#endif
