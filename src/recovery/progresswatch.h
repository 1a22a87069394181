#ifndef CELERYBEAM_RECOVERY_PROGRESSWATCH_H
#define CELERYBEAM_RECOVERY_PROGRESSWATCH_H

#include <cstdint>
#include <memory>
#include <optional>

#include "blackboard/idtypes.h"
#include "blackboard/tabletypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Bounds of a time without progress.
struct ProgressLimits {
  Duration Floor{};
  Duration Ceiling{};
};

/// The time without progress after which an attempt is given up: a multiple
/// of a high quantile, within the limits; the ceiling without a quantile.
Duration progressTimeout(std::optional<Duration> Quantile,
                         const ProgressLimits &Limits);

/// Tells how long an attempt may go without progress, from what the pool's
/// attempts showed of late.
///
/// An attempt that is given up is resumed at another endpoint, so that a
/// connection that went silent costs a bounded time. Thread-safe.
class ProgressWatch {
public:
  ProgressWatch();
  ~ProgressWatch();

  /// Time from dispatch to first token of an attempt.
  void observeFirstToken(const PoolName &Pool, RequestClass Class, Duration D);
  /// Time between two tokens of a stream.
  void observeGap(const PoolName &Pool, Duration D);

  /// Longest wait for a first token.
  Duration firstTokenTimeout(const PoolName &Pool, RequestClass Class) const;
  /// Longest wait for the next token.
  Duration gapTimeout(const PoolName &Pool) const;

  /// Whether a stream is so much slower than the pool's streams of late that
  /// its rest comes sooner from another endpoint, although it moves on.
  /// \param Tokens  received so far from the attempt.
  bool isSlow(const PoolName &Pool, std::uint32_t Tokens,
              Duration SinceFirstToken) const;

  static constexpr ProgressLimits FirstTokenLimits = {std::chrono::seconds(2),
                                                      std::chrono::seconds(20)};
  static constexpr ProgressLimits GapLimits = {std::chrono::seconds(1),
                                               std::chrono::seconds(10)};

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
