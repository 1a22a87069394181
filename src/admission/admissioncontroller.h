#ifndef CELERYBEAM_ADMISSION_ADMISSIONCONTROLLER_H
#define CELERYBEAM_ADMISSION_ADMISSIONCONTROLLER_H

#include <cstdint>
#include <map>
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
  CustomerId Customer;
  RequestClass Class = RequestClass::Short;
  /// Prompt and answer tokens at most; counted against token limits.
  std::uint32_t Tokens = 0;
  TimePoint Deadline{};
  /// Whether the request goes to another region: it passes the limits, which
  /// count where a request enters, but takes no place in this region's pool.
  bool GoesAway = false;
};

/// Admits, queues or sheds requests before they are routed.
///
/// Queues are ordered by deadline within a class and fair between customers.
/// Limits of customers and routes are held in shares that one keeper of each
/// limit, a host of the region, lends to the others on demand for a short
/// time; the shares never add up to more than the limit.
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
  /// DeadlineExpired.
  void submit(AdmissionRequest Request, Completion<void> Done);

  /// An admitted request has ended and used this many tokens.
  void finished(const RequestId &Request, std::uint32_t TokensUsed);

  /// Withdraws a request that still waits, or was admitted unnoticed; its
  /// completion is not run after this returns unless it is running already.
  void cancel(const RequestId &Request);

  /// Drops waiters whose deadline cannot be met and moves shares. Call every
  /// TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(20);

  /// Takes ShareTransfer; ignores other bodies.
  void handle(const messages::Envelope &Message);

  /// How long a new request would wait here before it is admitted.
  Duration predictedWait(const PoolName &Pool, RequestClass Class,
                         const CustomerId &Customer) const;

  /// Loads of the pools in this region as this host sees them, for gossip to
  /// other regions.
  std::map<PoolName, PoolLoad> poolLoads() const;

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
