#ifndef CELERYBEAM_DISPATCH_CRASHSUSPECTS_H
#define CELERYBEAM_DISPATCH_CRASHSUSPECTS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace celerybeam {

/// Something that may be the cause of crashes: a part of prompts, or one whole
/// request. The same on every host.
struct CrashSuspect {
  std::uint64_t Value = 0;
  auto operator<=>(const CrashSuspect &) const = default;
};

/// Identifies the requests among which a suspect is judged: those for the same
/// host name and model. Suspects of different scopes differ, so that requests
/// of one customer can't make those of another suspect.
struct CrashScope {
  std::uint64_t Value = 0;
  auto operator<=>(const CrashScope &) const = default;
};

/// The suspects of one request.
struct CrashSuspects {
  CrashScope Scope;
  /// The shared parts of the prompt in its order, at most MaxParts.
  std::vector<CrashSuspect> Parts;
  /// The request itself, the same when its caller repeats it; zero if unknown.
  CrashSuspect Whole;

  bool operator==(const CrashSuspects &) const = default;

  static constexpr std::size_t MaxParts = 32;
};

} // namespace celerybeam

template <> struct std::hash<celerybeam::CrashSuspect> {
  size_t operator()(const celerybeam::CrashSuspect &S) const noexcept {
    return S.Value;
  }
};

template <> struct std::hash<celerybeam::CrashScope> {
  size_t operator()(const celerybeam::CrashScope &S) const noexcept {
    return S.Value;
  }
};

#endif
