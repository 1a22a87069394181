#ifndef CELERYBEAM_ADMISSION_INTERNAL_POOLQUEUE_H
#define CELERYBEAM_ADMISSION_INTERNAL_POOLQUEUE_H

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/admissioncontroller.h"
#include "admission/internal/fairqueue.h"

namespace celerybeam::detail {

/// How many requests this host may have admitted to a pool at a time.
struct PoolWindow {
  /// This host's part of the pool's slots; always available to it.
  std::uint32_t Base = 1;
  /// Free slots beyond Base that this host may fill.
  std::uint32_t Extra = 0;
  /// Share of the window that long requests may take, in [0, 1].
  double LongShare = 1;
};

/// Requests that a call of PoolQueue admitted or refused.
struct QueueDecisions {
  std::vector<RequestId> Admitted;
  struct Refusal {
    RequestId Request;
    Error Reason;
  };
  std::vector<Refusal> Refused;
};

/// Holds the admitted and queued requests of one pool on this host, and
/// decides which is admitted next.
///
/// Short requests go first, except for a minimum share that long requests
/// keep; within a class the queue is fair between customers. A request that
/// cannot be served by its deadline is refused at once; a full queue sheds long
/// requests first and the newest first. Thread-safe; runs no hooks.
class PoolQueue {
public:
  explicit PoolQueue(PoolName Pool);

  /// Queues or admits a request; the result may include other requests.
  QueueDecisions submit(const AdmissionRequest &Request, TimePoint Now);

  /// Frees the slot of an admitted request that ended.
  QueueDecisions finished(const RequestId &Request, TimePoint Now);

  /// Removes a request, whether queued or admitted.
  QueueDecisions cancel(const RequestId &Request, TimePoint Now);

  /// Sets the window and refuses requests that cannot be served in time.
  QueueDecisions tick(const PoolWindow &Window, TimePoint Now);

  std::uint32_t admitted() const;
  /// Whether requests are queued because the window is used up.
  bool isFull() const;
  /// How long a new request would be queued.
  Duration expectedWait(RequestClass Class, const CustomerId &Customer) const;
  AdmissionController::PoolStats poolStats(TimePoint Now) const;
  /// Recent mean time from admission to end of requests of the class.
  Duration meanServiceTime(RequestClass Class) const;

private:
  struct AdmittedRequest {
    RequestClass Class = RequestClass::Short;
    TimePoint AdmittedAt{};
  };
  struct ClassState {
    FairQueue Waiting;
    std::uint32_t Admitted = 0;
    /// Moving averages of the time from admission to end, and of the absolute
    /// deviation from it, in seconds.
    double ServiceSeconds;
    double ServiceDeviation = 0;
    /// Number of service times in the averages.
    std::uint32_t Served = 0;

    void observeServiceTime(double Seconds);
  };

  ClassState &state(RequestClass Class) {
    return Class == RequestClass::Short ? Short_ : Long_;
  }
  const ClassState &state(RequestClass Class) const {
    return Class == RequestClass::Short ? Short_ : Long_;
  }
  std::uint32_t limit() const;
  double longLimit() const;
  void observeShortArrival(TimePoint Now);
  double releasesPerSecond(RequestClass Class) const;
  Duration predictedWait(RequestClass Class, const CustomerId &Customer) const;
  Duration minServiceTime(RequestClass Class);
  Duration minLongInterval() const;
  std::optional<RequestClass> nextClass(TimePoint Now) const;
  void admitWhileFree(TimePoint Now, QueueDecisions &Decisions);
  void admit(const RequestId &Request, RequestClass Class, TimePoint Now,
             QueueDecisions &Decisions);
  void shedOverflow(QueueDecisions &Decisions);
  void refuseUnservable(RequestClass Class, TimePoint Now,
                        QueueDecisions &Decisions);
  void release(const RequestId &Request, TimePoint Now, bool Served);
  /// \param Wait  time until a request like this one would be served.
  Error noCapacityError(Duration Wait) const;
  Error overloadedError(RequestClass Class);

  PoolName Pool_;
  mutable std::mutex Mutex_;
  PoolWindow Window_;
  ClassState Short_;
  ClassState Long_;
  /// Moving average of the arrival rate of short requests, per second.
  double ShortRate_ = 0;
  TimePoint LastShortAt_{};
  TimePoint LongAdmittedAt_{};
  std::unordered_map<RequestId, AdmittedRequest> Admitted_;
};

} // namespace celerybeam::detail

#endif
