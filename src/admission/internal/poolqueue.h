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

/// What this host may send to a pool at a time.
struct PoolWindow {
  /// This host's part of the pool's slots; always its own.
  std::uint32_t Base = 1;
  /// Free slots beyond it that this host may fill.
  std::uint32_t Extra = 0;
  /// Share of the window that long drafts may take.
  double LongShare = 1;
};

/// What became of requests that waited.
struct QueueVerdicts {
  std::vector<RequestId> Admitted;
  struct Refusal {
    RequestId Request;
    Error Why;
  };
  std::vector<Refusal> Refused;
};

/// The requests of one pool on this host: those admitted and those that wait.
///
/// Short questions go first, but for a floor that long drafts keep; within a
/// class customers take turns. A request that cannot be served by its deadline
/// is refused at once; a full queue sheds long drafts first and the newest
/// first. Thread-safe; runs no hooks.
class PoolQueue {
public:
  explicit PoolQueue(PoolName Pool);

  /// Takes a request in; the verdicts may concern others as well.
  QueueVerdicts submit(const AdmissionRequest &Request, TimePoint Now);

  /// An admitted request has ended.
  QueueVerdicts finished(const RequestId &Request, TimePoint Now);

  /// Forgets a request in whatever state.
  QueueVerdicts cancel(const RequestId &Request, TimePoint Now);

  /// Renews the window and refuses those who cannot be served in time.
  QueueVerdicts tick(const PoolWindow &Window, TimePoint Now);

  std::uint32_t admitted() const;
  /// Whether requests wait because the window is used up.
  bool isFull() const;
  /// How long a new request would wait.
  Duration waitOf(RequestClass Class, const CustomerId &Customer) const;
  AdmissionController::PoolView view(TimePoint Now) const;
  /// Mean time from admission to end of the class of late.
  Duration meanService(RequestClass Class) const;

private:
  struct AdmittedRequest {
    RequestClass Class = RequestClass::Short;
    TimePoint At{};
  };
  struct ClassState {
    FairQueue Waiting;
    std::uint32_t Admitted = 0;
    /// Moving average of the time from admission to end, in seconds, and of
    /// how far single times are from it.
    double ServiceSeconds;
    double ServiceDeviation = 0;
    /// Times that were averaged.
    std::uint32_t Served = 0;

    void observeService(double Seconds);
  };

  ClassState &state(RequestClass Class) {
    return Class == RequestClass::Short ? Short_ : Long_;
  }
  const ClassState &state(RequestClass Class) const {
    return Class == RequestClass::Short ? Short_ : Long_;
  }
  std::uint32_t limit() const;
  double longLimit() const;
  void observeShort(TimePoint Now);
  double releasesPerSecond(RequestClass Class) const;
  Duration predictedWait(RequestClass Class, const CustomerId &Customer) const;
  Duration minService(RequestClass Class);
  Duration floorInterval() const;
  std::optional<RequestClass> nextClass(TimePoint Now) const;
  void admitWhileFree(TimePoint Now, QueueVerdicts &Verdicts);
  void admit(const RequestId &Request, RequestClass Class, TimePoint Now,
             QueueVerdicts &Verdicts);
  void shedOverflow(QueueVerdicts &Verdicts);
  void refuseLate(RequestClass Class, TimePoint Now, QueueVerdicts &Verdicts);
  void release(const RequestId &Request, TimePoint Now, bool Served);
  /// \param Wait  until a request like this one would be served.
  Error lateError(Duration Wait) const;
  Error shedError(RequestClass Class);

  PoolName Pool_;
  mutable std::mutex Mutex_;
  PoolWindow Window_;
  ClassState Short_;
  ClassState Long_;
  /// Moving average of the rate of short questions, a second.
  double ShortRate_ = 0;
  TimePoint ShortSeenAt_{};
  TimePoint LongAdmittedAt_{};
  std::unordered_map<RequestId, AdmittedRequest> Admitted_;
};

} // namespace celerybeam::detail

#endif
