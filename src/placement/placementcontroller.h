#ifndef CELERYBEAM_PLACEMENT_PLACEMENTCONTROLLER_H
#define CELERYBEAM_PLACEMENT_PLACEMENTCONTROLLER_H

#include <cstdint>
#include <functional>
#include <memory>

#include "blackboard/blackboard.h"
#include "framework/runtime.h"
#include "framework/storehooks.h"

namespace celerybeam {

/// An order to a model engine.
struct EngineOrder {
  enum class What { Load, Unload };

  What Kind = What::Load;
  ModelName Model;
  /// Grows with each holder of the region's placement lease; an engine that
  /// verifies it refuses an order with a lower number than it has seen.
  std::uint64_t Fencing = 0;
};

/// Sends an order; completes when the engine has taken it. Errors: any; the
/// order may have arrived all the same unless it is ConnectFailed.
using SendEngineOrder = std::function<void(const EndpointId &, const Address &,
                                           EngineOrder, Completion<void>)>;

/// Has the engines of each pool load the model that the pool's row wants.
///
/// One host of a region does it: the holder of a lease in the platform's
/// store. An order is written to the region's record before it is sent, so
/// that a later holder neither repeats it while it may be under way nor
/// exceeds the share of the weight store. Engines of pools whose row says
/// `checks = "fencing"` are ordered at once; for others a new holder first
/// waits until the lease of its predecessor must have ended.
///
/// Reads: tables, endpoints (Loaded), peers. Writes: nothing on the
/// blackboard. Wakes: tick, store completions. Thread-safe.
class PlacementController {
public:
  PlacementController(Blackboard &Board, Runtime R, StoreHooks Store,
                      SendEngineOrder SendOrder);
  ~PlacementController();

  /// Takes, keeps or uses the lease. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(250);

  /// Whether this host holds the region's placement lease.
  bool holdsLease() const;

  /// Loads under way at a time in a region; they share the weight store.
  static constexpr std::size_t MaxLoads = 2;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
