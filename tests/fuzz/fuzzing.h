#ifndef CELERYBEAM_TESTS_FUZZ_FUZZING_H
#define CELERYBEAM_TESTS_FUZZ_FUZZING_H

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

namespace celerybeam::fuzzing {

/// Ends the process when an oracle does not hold, so that libFuzzer keeps the
/// input.
inline void expect(bool Holds, const char *What) {
  if (Holds)
    return;
  std::fprintf(stderr, "ORACLE: %s\n", What);
  std::abort();
}

/// An input read from its front, so that seeds can be written by hand.
class Script {
public:
  Script(const std::uint8_t *Data, std::size_t Size)
      : Rest_(reinterpret_cast<const char *>(Data), Size) {}

  bool empty() const { return Rest_.empty(); }

  /// The next byte; 0 at the end.
  unsigned byte() {
    if (Rest_.empty())
      return 0;
    unsigned Byte = static_cast<unsigned char>(Rest_.front());
    Rest_.remove_prefix(1);
    return Byte;
  }

  /// Bytes of a length that the next byte gives.
  std::string text() { return take(byte()); }

  /// The same with a length of two bytes, the higher one first.
  std::string longText() {
    unsigned High = byte();
    return take(High << 8U | byte());
  }

  std::string rest() { return std::string(std::exchange(Rest_, {})); }

private:
  std::string take(unsigned Length) {
    std::string Text(Rest_.substr(0, Length));
    Rest_.remove_prefix(Text.size());
    return Text;
  }

  std::string_view Rest_;
};

} // namespace celerybeam::fuzzing

#endif
