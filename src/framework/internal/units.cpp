#include "framework/units.h"

#include <array>
#include <charconv>
#include <cmath>

namespace celerybeam {

namespace {

struct Unit {
  std::string_view Suffix;
  std::uint64_t Factor;
};

// Largest first: the formatters use the first unit that divides the value.
constexpr std::array DurationUnits = {
    Unit{"h", 3'600'000'000}, Unit{"m", 60'000'000}, Unit{"s", 1'000'000},
    Unit{"ms", 1'000}, Unit{"us", 1}};
constexpr std::array SizeUnits = {Unit{"GiB", 1U << 30U},
                                  Unit{"MiB", 1U << 20U},
                                  Unit{"KiB", 1U << 10U}, Unit{"B", 1}};
// Just below 2^53, above which a double cannot represent every whole number.
constexpr double MaxQuantity = 9.0e15;

template <std::size_t Count>
std::optional<std::uint64_t>
parseQuantity(std::string_view Text, const std::array<Unit, Count> &Units) {
  double Value = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Code != std::errc() || !std::isfinite(Value) || Value < 0)
    return std::nullopt;
  std::string_view Suffix = Text.substr(End - Text.data());
  for (const Unit &U : Units) {
    if (U.Suffix != Suffix)
      continue;
    double Quantity = std::round(Value * static_cast<double>(U.Factor));
    if (Quantity > MaxQuantity)
      return std::nullopt;
    return static_cast<std::uint64_t>(Quantity);
  }
  return std::nullopt;
}

template <std::size_t Count>
std::string formatQuantity(std::uint64_t Value,
                           const std::array<Unit, Count> &Units) {
  for (const Unit &U : Units)
    if (Value != 0 && Value % U.Factor == 0)
      return std::to_string(Value / U.Factor) + std::string(U.Suffix);
  return "0" + std::string(Units[2].Suffix);
}

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  std::optional<std::uint64_t> Micros = parseQuantity(Text, DurationUnits);
  if (!Micros)
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(*Micros));
}

std::string formatDuration(Duration D) {
  return formatQuantity(static_cast<std::uint64_t>(D.count()), DurationUnits);
}

std::optional<ByteSize> parseByteSize(std::string_view Text) {
  std::optional<std::uint64_t> Bytes = parseQuantity(Text, SizeUnits);
  if (!Bytes)
    return std::nullopt;
  return ByteSize{*Bytes};
}

std::string formatByteSize(ByteSize Size) {
  return formatQuantity(Size.Bytes, SizeUnits);
}

std::string formatNumber(double Value) {
  std::array<char, 64> Buffer{};
  auto [End, Code] =
      std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Value);
  std::string Text(Buffer.data(), End);
  if (Text.find_first_of(".en") == std::string::npos)
    Text += ".0";
  return Text;
}

} // namespace celerybeam
