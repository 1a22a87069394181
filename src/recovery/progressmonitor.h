#ifndef CELERYBEAM_RECOVERY_PROGRESSMONITOR_H
#define CELERYBEAM_RECOVERY_PROGRESSMONITOR_H

#include <cstdint>
#include <memory>
#include <optional>

#include "blackboard/idtypes.h"
#include "blackboard/tabletypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Lower and upper bound of a progress timeout.
struct ProgressLimits {
  Duration Floor{};
  Duration Ceiling{};
};

/// Time without progress after which an attempt is abandoned: a multiple of a
/// high quantile, clamped to the limits; the ceiling without a quantile.
Duration progressTimeout(std::optional<Duration> Quantile,
                         const ProgressLimits &Limits);

/// Computes how long an attempt may go without progress, from the latencies of
/// the pool's recent attempts.
///
/// An abandoned attempt is resumed at another endpoint, so that an unresponsive
/// connection costs a bounded time. Thread-safe.
class ProgressMonitor {
public:
  ProgressMonitor();
  ~ProgressMonitor();

  /// Records the time from dispatch to first token of an attempt.
  void observeFirstToken(const PoolName &Pool, RequestClass Class, Duration D);
  /// Records the time between two tokens of a stream.
  void observeGap(const PoolName &Pool, Duration D);

  /// Longest wait for a first token.
  Duration firstTokenTimeout(const PoolName &Pool, RequestClass Class) const;
  /// Longest wait for the next token.
  Duration gapTimeout(const PoolName &Pool) const;

  /// Whether a stream, although it makes progress, is so much slower than the
  /// pool's recent streams that another endpoint would finish it sooner.
  /// \param Tokens  number received so far from the attempt.
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
