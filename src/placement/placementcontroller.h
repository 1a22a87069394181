#ifndef CELERYBEAM_PLACEMENT_PLACEMENTCONTROLLER_H
#define CELERYBEAM_PLACEMENT_PLACEMENTCONTROLLER_H

#include <cstdint>
#include <functional>
#include <memory>

#include "blackboard/blackboard.h"
#include "framework/runtime.h"
#include "framework/storehooks.h"

namespace celerybeam {

/// An order to a model engine to load or unload a model.
struct EngineOrder {
  enum class Action { Load, Unload };

  Action Kind = Action::Load;
  ModelName Model;
  /// Fencing number: increases with each holder of the region's placement
  /// lease. An engine that checks it refuses an order whose number is lower
  /// than the highest it has received.
  std::uint64_t Fencing = 0;
};

/// Sends an order; completes when the engine has accepted it. Errors: any;
/// after every error but ConnectFailed the order may have arrived.
using SendEngineOrder = std::function<void(const EndpointId &, const Address &,
                                           EngineOrder, Completion<void>)>;

/// Orders the engines of each pool to load the model that the pool's row
/// names.
///
/// Only one host of a region sends orders: the holder of a lease in the
/// platform's store. An order is written to the region's record before it
/// is sent, so that a later lease holder neither repeats it while it may be
/// under way nor exceeds the limit on concurrent loads. Engines of pools whose
/// row has `checks = "fencing"` receive orders at once; for all others a new
/// lease holder waits until its predecessor's lease has certainly expired.
///
/// Reads: tables, endpoints (Loaded), peers. Writes: nothing on the
/// blackboard. Runs on: tick, store completions. Thread-safe.
class PlacementController {
public:
  PlacementController(Blackboard &Board, Runtime R, StoreHooks Store,
                      SendEngineOrder SendOrder);
  ~PlacementController();

  /// Acquires or renews the lease, or sends orders while holding it. Call
  /// every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(250);

  /// Whether this host holds the region's placement lease.
  bool holdsLease() const;

  /// Maximum number of concurrent loads in a region. Limited because all loads
  /// share the weight store.
  static constexpr std::size_t MaxLoads = 2;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
