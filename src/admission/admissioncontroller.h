#ifndef CELERYBEAM_ADMISSION_ADMISSIONCONTROLLER_H
#define CELERYBEAM_ADMISSION_ADMISSIONCONTROLLER_H

#include <cstdint>
#include <memory>

#include "blackboard/blackboard.h"
#include "framework/error.h"
#include "framework/runtime.h"
#include "framework/storehooks.h"
#include "messages/peerhooks.h"

namespace celerybeam {

/// A request that asks to be admitted.
struct AdmissionRequest {
  RequestId Request;
  RouteName Route;
  PoolName Pool;
  TenantId Tenant;
  RequestClass Class = RequestClass::Short;
  /// Prompt and answer tokens at most; counted against token limits.
  std::uint32_t Tokens = 0;
  TimePoint Deadline{};
};

/// Admits, queues or sheds requests before they are routed.
///
/// Queues are ordered by deadline within a class and fair between tenants.
/// Limits of tenants and routes are held in shares that move between the
/// hosts of a region with demand; the shares never add up to more than the
/// limit.
///
/// Reads: tables, endpoints of own region, peers.
/// Writes: nothing on the blackboard; keeps queues and shares of its own.
/// Wakes: submit, finished, cancel, tick, messages. Thread-safe; completions
/// run without a lock held.
class AdmissionController {
public:
  AdmissionController(Blackboard &Board, Runtime R, PeerHooks Peers);
  ~AdmissionController();

  /// Completes, perhaps at once, when the request may be routed. Errors:
  /// RateLimited, Overloaded, NoCapacityInTime (all with RetryAfter),
  /// DeadlineExpired, ShuttingDown.
  void submit(AdmissionRequest Request, Completion<void> Done);

  /// An admitted request has ended and used this many tokens.
  void finished(const RequestId &Request, std::uint32_t TokensUsed);

  /// Withdraws a request that still waits; its completion never runs.
  void cancel(const RequestId &Request);

  /// Drops waiters whose deadline cannot be met and moves shares. Call every
  /// TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(20);

  /// Takes ShareTransfer and the demands in Gossip; ignores other bodies.
  void handle(const messages::Envelope &Message);

  /// Fills the demands of an outgoing gossip message.
  void addDemands(messages::Gossip &Gossip) const;

  /// Busy and waiting requests of a pool on this host.
  struct PoolView {
    std::uint32_t Admitted = 0;
    std::uint32_t Waiting = 0;
    Duration OldestWait{};
  };
  PoolView view(const PoolName &Pool) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
