#include "admission/internal/fairqueue.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

void FairQueue::addTurn(const CustomerId &Customer) {
  const CustomerQueue &Queue = Customers_.at(Customer);
  Turns_.emplace(Queue.VirtualTime, Queue.Waiting.begin()->first, Customer);
}

void FairQueue::removeTurn(const CustomerId &Customer) {
  const CustomerQueue &Queue = Customers_.at(Customer);
  Turns_.erase({Queue.VirtualTime, Queue.Waiting.begin()->first, Customer});
}

void FairQueue::push(WaitingRequest Request) {
  CustomerId Customer = Request.Customer;
  CustomerQueue &Queue = Customers_[Customer];
  if (Queue.Waiting.empty())
    // An idle customer accumulates no claim to service.
    Queue.VirtualTime = VirtualTime_;
  else
    removeTurn(Customer);
  Order Key(Request.Deadline, NextSerial_++);
  Index_.insert_or_assign(Request.Request, Position{Customer, Key});
  Arrivals_.emplace(Key.second, Request.EnqueuedAt);
  Queue.Waiting.emplace(Key, std::move(Request));
  addTurn(Customer);
}

std::optional<WaitingRequest> FairQueue::pop() {
  if (Turns_.empty())
    return std::nullopt;
  auto [Time, Key, Customer] = *Turns_.begin();
  removeTurn(Customer);
  CustomerQueue &Queue = Customers_.at(Customer);
  double Cost = Queue.Waiting.at(Key).Cost;
  // Advances by the service that each queued customer was due. Otherwise new
  // customers could overtake a customer's second request indefinitely.
  VirtualTime_ = std::max(VirtualTime_, Time) +
                 Cost / static_cast<double>(Customers_.size());
  Queue.VirtualTime += Cost;
  addTurn(Customer);
  return removeAt(Customer, Key);
}

std::optional<WaitingRequest> FairQueue::remove(const RequestId &Request) {
  auto It = Index_.find(Request);
  if (It == Index_.end())
    return std::nullopt;
  Position P = It->second;
  return removeAt(P.Customer, P.Key);
}

WaitingRequest FairQueue::removeAt(const CustomerId &Customer,
                                   const Order &Key) {
  removeTurn(Customer);
  auto It = Customers_.find(Customer);
  auto Node = It->second.Waiting.extract(Key);
  WaitingRequest Request = std::move(Node.mapped());
  Index_.erase(Request.Request);
  Arrivals_.erase(Key.second);
  if (It->second.Waiting.empty())
    Customers_.erase(It);
  else
    addTurn(Customer);
  return Request;
}

std::optional<WaitingRequest> FairQueue::shed() {
  auto Largest = std::max_element(
      Customers_.begin(), Customers_.end(), [](const auto &L, const auto &R) {
        return L.second.Waiting.size() < R.second.Waiting.size();
      });
  if (Largest == Customers_.end())
    return std::nullopt;
  const auto &Waiting = Largest->second.Waiting;
  auto Newest = std::max_element(Waiting.begin(), Waiting.end(),
                                 [](const auto &L, const auto &R) {
                                   return L.first.second < R.first.second;
                                 });
  return removeAt(CustomerId(Largest->first), Order(Newest->first));
}

std::vector<WaitingRequest> FairQueue::removeDueBefore(TimePoint Time) {
  std::vector<Position> Due;
  for (const auto &[Customer, Queue] : Customers_)
    for (const auto &[Key, Request] : Queue.Waiting) {
      if (Key.first >= Time)
        break;
      Due.push_back({Customer, Key});
    }
  std::vector<WaitingRequest> Removed;
  Removed.reserve(Due.size());
  for (const Position &P : Due)
    Removed.push_back(removeAt(P.Customer, P.Key));
  return Removed;
}

std::size_t FairQueue::ahead(const CustomerId &Customer) const {
  auto It = Customers_.find(Customer);
  std::size_t Own = It == Customers_.end() ? 0 : It->second.Waiting.size();
  std::size_t Turns = (Own + 1) * (Turns_.size() + (Own == 0 ? 1 : 0));
  return std::min(size(), Turns - 1);
}

std::optional<TimePoint> FairQueue::oldestArrival() const {
  if (Arrivals_.empty())
    return std::nullopt;
  return Arrivals_.begin()->second;
}

} // namespace celerybeam::detail
