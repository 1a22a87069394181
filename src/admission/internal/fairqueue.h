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

/// A request that waits for its turn.
struct WaitingRequest {
  RequestId Request;
  CustomerId Customer;
  TimePoint Deadline{};
  TimePoint EnqueuedAt{};
  /// Share of the pool that the request takes, relative to others.
  double Cost = 1;
};

/// Requests of one class: customers take turns in proportion to what they were
/// served (virtual time), and each customer's earliest deadline goes first.
///
/// Holds state only for customers that wait. Not thread-safe.
class FairQueue {
public:
  void push(WaitingRequest Request);
  std::optional<WaitingRequest> pop();
  std::optional<WaitingRequest> remove(const RequestId &Request);

  /// Takes out the newest request of the customer with the most waiting.
  std::optional<WaitingRequest> shed();

  /// Takes out all whose deadline lies before the time.
  std::vector<WaitingRequest> removeDueBefore(TimePoint Time);

  std::size_t size() const { return Index_.size(); }
  bool empty() const { return Index_.empty(); }
  /// How many are served before a new request of the customer, at most.
  std::size_t ahead(const CustomerId &Customer) const;
  /// When the request that waits longest came; empty without requests.
  std::optional<TimePoint> oldest() const;

private:
  using Order = std::pair<TimePoint, std::uint64_t>;
  struct CustomerQueue {
    double VirtualTime = 0;
    std::map<Order, WaitingRequest> Waiting;
  };
  struct Place {
    CustomerId Customer;
    Order At;
  };
  /// Virtual time first; among equals the earliest deadline, then arrival.
  using Turn = std::tuple<double, Order, CustomerId>;

  void addTurn(const CustomerId &Customer);
  void removeTurn(const CustomerId &Customer);
  WaitingRequest takeOut(const CustomerId &Customer, const Order &At);

  std::map<CustomerId, CustomerQueue> Customers_;
  /// Customers that wait, the one to be served next first.
  std::set<Turn> Turns_;
  std::unordered_map<RequestId, Place> Index_;
  std::map<std::uint64_t, TimePoint> Arrivals_;
  double VirtualTime_ = 0;
  std::uint64_t NextSerial_ = 0;
};

} // namespace celerybeam::detail

#endif
