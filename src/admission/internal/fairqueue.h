#ifndef CELERYBEAM_ADMISSION_INTERNAL_FAIRQUEUE_H
#define CELERYBEAM_ADMISSION_INTERNAL_FAIRQUEUE_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// A queued request with what the queue orders it by.
struct WaitingRequest {
  RequestId Request;
  CustomerId Customer;
  TimePoint Deadline{};
  TimePoint EnqueuedAt{};
  /// Service that the request takes from the pool, relative to other requests.
  double Cost = 1;
};

/// Queue of the requests of one class, fair between customers. The customer
/// with the least service received (virtual time) is served next, and of its
/// requests the one with the earliest deadline.
///
/// Holds state only for customers with queued requests. Not thread-safe.
class FairQueue {
public:
  void push(WaitingRequest Request);
  std::optional<WaitingRequest> pop();
  std::optional<WaitingRequest> remove(const RequestId &Request);

  /// Removes the newest request of the customer with the most queued.
  std::optional<WaitingRequest> shed();

  /// Removes all requests with a deadline before Time.
  std::vector<WaitingRequest> removeDueBefore(TimePoint Time);

  std::size_t size() const { return Index_.size(); }
  bool empty() const { return Index_.empty(); }
  /// Upper bound of the requests served before a new one of the customer.
  std::size_t ahead(const CustomerId &Customer) const;
  /// Arrival time of the longest queued request; empty without requests.
  std::optional<TimePoint> oldestArrival() const;

private:
  using Order = std::pair<TimePoint, std::uint64_t>;
  struct CustomerQueue {
    double VirtualTime = 0;
    std::map<Order, WaitingRequest> Waiting;
  };
  struct Position {
    CustomerId Customer;
    Order Key;
  };
  /// Ordered by virtual time, then by earliest deadline, then by arrival.
  using Turn = std::tuple<double, Order, CustomerId>;

  void addTurn(const CustomerId &Customer);
  void removeTurn(const CustomerId &Customer);
  WaitingRequest removeAt(const CustomerId &Customer, const Order &Key);

  std::map<CustomerId, CustomerQueue> Customers_;
  /// Customers with queued requests, the next to be served first.
  std::set<Turn> Turns_;
  std::unordered_map<RequestId, Position> Index_;
  std::map<std::uint64_t, TimePoint> Arrivals_;
  double VirtualTime_ = 0;
  std::uint64_t NextSerial_ = 0;
};

} // namespace celerybeam::detail

#endif
