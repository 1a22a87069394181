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

/// A request that is submitted for admission.
struct AdmissionRequest {
  RequestId Request;
  RouteName Route;
  PoolName Pool;
  CustomerId Customer;
  RequestClass Class = RequestClass::Short;
  /// Maximum of prompt and response tokens; counted against token limits.
  std::uint32_t Tokens = 0;
  TimePoint Deadline{};
  /// Whether the request is forwarded to another region. It is subject to the
  /// limits, which count where a request enters, but takes no slot of this
  /// region's pool.
  bool LeavesRegion = false;
};

/// Admits, queues or sheds requests before they are routed.
///
/// Queues are ordered by deadline within a class and fair between customers.
/// Limits of customers and routes apply to the whole region. One host of the
/// region, the allocator of a limit, grants shares of it to the others on
/// demand for a short time; the shares never add up to more than the limit.
///
/// Reads: tables, endpoints of own region, peers.
/// Writes: nothing on the blackboard; owns its queues and limit shares.
/// Wakes: submit, finished, cancel, tick, messages. Thread-safe; completions
/// run without a lock held.
class AdmissionController {
public:
  AdmissionController(Blackboard &Board, Runtime R, PeerHooks Peers);
  ~AdmissionController();

  /// Runs Done when the request may be routed, possibly at once. Errors:
  /// RateLimited, Overloaded, NoCapacityInTime (all with RetryAfter),
  /// DeadlineExpired.
  void submit(AdmissionRequest Request, Completion<void> Done);

  /// Reports that an admitted request ended, and the tokens it used.
  void finished(const RequestId &Request, std::uint32_t TokensUsed);

  /// Withdraws a request that is queued, or was admitted without the caller
  /// having learned of it. Its completion does not start after this returns,
  /// but may still be running.
  void cancel(const RequestId &Request);

  /// Refuses queued requests whose deadline cannot be met and renews limit
  /// shares. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(20);

  /// Processes a ShareTransfer; ignores messages with other bodies.
  void handle(const messages::Envelope &Message);

  /// How long a new request would wait on this host before it is admitted.
  Duration predictedWait(const PoolName &Pool, RequestClass Class,
                         const CustomerId &Customer) const;

  /// Loads of this region's pools as this host sees them; gossiped to other
  /// regions.
  std::map<PoolName, PoolLoad> poolLoads() const;

  /// Counts of a pool's admitted and queued requests on this host.
  struct PoolStats {
    std::uint32_t Admitted = 0;
    std::uint32_t Waiting = 0;
    Duration OldestWait{};
  };
  PoolStats poolStats(const PoolName &Pool) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
