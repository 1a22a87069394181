#ifndef CELERYBEAM_DISPATCH_TESTS_REFERENCEQUEUE_H
#define CELERYBEAM_DISPATCH_TESTS_REFERENCEQUEUE_H

#include <map>
#include <memory>
#include <vector>

#include "dispatch/requestqueue.h"

namespace celerybeam::testing {

/// Does what RequestQueue does in the plainest way: it orders and sums up all
/// requests in each call.
class ReferenceQueue {
public:
  QueuedRequestId add(QueuedRequest Request);
  void remove(QueuedRequestId Id);
  void update(QueuedRequestId Id, TimePoint OnTimeUntil,
              TimePoint ReevaluateAt);
  void offer(TimePoint Now);
  bool hasRequestAhead(const PoolName &Pool, unsigned Rank,
                       const CustomerId &Customer) const;
  bool hasAny(const PoolName &Pool) const;
  QueuedServiceTime serviceTimeAhead(const PoolName &Pool, unsigned Rank,
                                     TimePoint Arrived, TimePoint Now) const;
  QueuedServiceTime serviceTimeAhead(const PoolName &Pool, unsigned Rank,
                                     TimePoint Arrived, TimePoint Now,
                                     const CustomerId &Customer) const;
  unsigned leastUrgentRank(const PoolName &Pool) const;
  std::size_t size() const { return Requests_.size(); }
  bool isShared(const ShareScope &Scope) const {
    return Shares_.isActive(Scope);
  }
  void recordDispatch(const ShareScope &Scope, const CustomerId &Customer,
                      Duration Occupancy, TimePoint Now);

private:
  struct Entry {
    std::uint64_t Serial = 0;
    std::shared_ptr<QueuedRequest> Request;
    /// Position among the requests of its scope; zero where none share.
    Duration Share{};
    bool IsLate = false;
  };

  /// The requests by rank, arrival and serial number, with their shares.
  std::vector<Entry> entries(TimePoint Now) const;

  std::uint64_t LastSerial_ = 0;
  TimePoint LastLongRound_{};
  std::map<std::uint64_t, std::shared_ptr<QueuedRequest>> Requests_;
  FairShare Shares_;
};

} // namespace celerybeam::testing

#endif
