#ifndef CELERYBEAM_FRAMEWORK_UUID7_H
#define CELERYBEAM_FRAMEWORK_UUID7_H

#include <compare>
#include <functional>
#include <string>
#include <string_view>

#include "framework/error.h"
#include "framework/runtime.h"

namespace celerybeam {

/// A UUID of version 7 (RFC 9562), which carries its creation time.
class Uuid7 {
public:
  /// Reads the 36-character form. Fails with InvalidKey.
  static Result<Uuid7> parse(std::string_view Text);

  /// Creates one from the runtime's wall time and random numbers.
  static Uuid7 generate(const Runtime &R);

  /// The creation time that the UUID carries.
  UnixMillis createdAt() const;

  /// The canonical lower-case form.
  const std::string &str() const { return Text_; }

  auto operator<=>(const Uuid7 &) const = default;

private:
  explicit Uuid7(std::string Text);

  std::string Text_;
};

} // namespace celerybeam

template <> struct std::hash<celerybeam::Uuid7> {
  size_t operator()(const celerybeam::Uuid7 &Key) const noexcept {
    return std::hash<std::string>()(Key.str());
  }
};

#endif
