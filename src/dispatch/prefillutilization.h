#ifndef CELERYBEAM_DISPATCH_PREFILLUTILIZATION_H
#define CELERYBEAM_DISPATCH_PREFILLUTILIZATION_H

#include "framework/runtime.h"

namespace celerybeam {

/// Tracks the share of the last seconds that an engine spent on prefill.
///
/// Handles this load pattern: "an engine with prefill all the time makes one
/// token of each stream per full step". Streams then take many times longer and
/// miss their deadlines, however few prompts wait. Not thread-safe.
class PrefillUtilization {
public:
  /// Sets whether the engine has a prefill from now on.
  void set(bool Prefilling, TimePoint Now);
  /// In [0, 1].
  double share(TimePoint Now) const;

  /// Time constant of the mean: a few prompts long, much shorter than a stream.
  static constexpr Duration Memory = std::chrono::milliseconds(1500);

private:
  double Share_ = 0;
  bool Prefilling_ = false;
  TimePoint At_{};
};

} // namespace celerybeam

#endif
