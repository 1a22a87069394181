#ifndef CELERYBEAM_DISPATCH_READINGDUTY_H
#define CELERYBEAM_DISPATCH_READINGDUTY_H

#include "framework/runtime.h"

namespace celerybeam {

/// The share of the last seconds that an engine spent reading prompts.
///
/// Answers to "an engine that reads all the time makes one token of each
/// stream per full step": streams then take many times longer and miss their
/// deadlines, however few prompts wait. Not thread-safe.
class ReadingDuty {
public:
  /// Whether the engine reads from now on.
  void set(bool Reading, TimePoint Now);
  /// In [0, 1].
  double share(TimePoint Now) const;

  /// Time constant of the mean: a few prompts long, much shorter than a
  /// stream.
  static constexpr Duration Memory = std::chrono::milliseconds(1500);

private:
  double Share_ = 0;
  bool Reading_ = false;
  TimePoint At_{};
};

} // namespace celerybeam

#endif
