#ifndef CELERYBEAM_HEDGING_PREDICTEDHEDGES_H
#define CELERYBEAM_HEDGING_PREDICTEDHEDGES_H

#include <map>
#include <optional>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"
#include "hedging/quantilewindow.h"

namespace celerybeam {

/// Decides from when on a request without output may be sent a second time
/// beside its first send, and limits these hedges to a share of the host's
/// requests to the pool.
///
/// The delay is a multiple of the request's own predicted time to first output,
/// so that a long prompt does not count as slow. The multiple is a quantile of
/// what the pool's requests took relative to their predictions, so that few
/// hedges are due when all endpoints are slow. Not thread-safe.
class PredictedHedges {
public:
  /// Share of a pool's requests that may be hedged, in [0, MaxShare]; 0 turns
  /// hedges off.
  void setShare(double Share);
  bool isOn() const { return Share_ > 0; }

  /// Counts a request of this host to the pool.
  void countRequest(const PoolName &Pool);

  /// Records the time from sending to first output. For a send that was
  /// cancelled because its hedge had output first, the time until then is to
  /// be recorded: without the slow sends the delay would shrink.
  void observe(const PoolName &Pool, Duration Took, Duration Predicted);

  /// Time after sending from which a request with this prediction may be
  /// hedged. Empty while hedges are off or the pool has too few samples.
  std::optional<Duration> delay(const PoolName &Pool, Duration Predicted) const;

  /// Whether the share allows a hedge now.
  bool canTake(const PoolName &Pool) const;
  /// Takes a hedge that is sent now from the share. \return whether the share
  /// allowed it.
  bool take(const PoolName &Pool);

  static constexpr double MaxShare = 0.03;
  static constexpr double Quantile = 0.95;
  static constexpr Duration MinDelay = std::chrono::milliseconds(20);
  /// Maximum of hedges that accumulate while none are sent, so that an endpoint
  /// that turns slow after a quiet hour does not cause a burst of them.
  static constexpr double MaxAccumulated = 5;

private:
  struct PoolState {
    QuantileWindow<double> Ratios;
    std::optional<double> Ratio;
    unsigned SinceRefresh = 0;
    double Available = 0;
  };

  double Share_ = 0;
  std::map<PoolName, PoolState> Pools_;
};

} // namespace celerybeam

#endif
