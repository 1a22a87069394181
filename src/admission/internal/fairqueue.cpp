#include "admission/internal/fairqueue.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

void FairQueue::addTurn(const TenantId &Tenant) {
  const TenantQueue &Queue = Tenants_.at(Tenant);
  Turns_.emplace(Queue.VirtualTime, Queue.Waiting.begin()->first, Tenant);
}

void FairQueue::removeTurn(const TenantId &Tenant) {
  const TenantQueue &Queue = Tenants_.at(Tenant);
  Turns_.erase({Queue.VirtualTime, Queue.Waiting.begin()->first, Tenant});
}

void FairQueue::push(WaitingRequest Request) {
  TenantId Tenant = Request.Tenant;
  TenantQueue &Queue = Tenants_[Tenant];
  if (Queue.Waiting.empty())
    // An idle tenant saves up no turns.
    Queue.VirtualTime = VirtualTime_;
  else
    removeTurn(Tenant);
  Order At(Request.Deadline, NextSerial_++);
  Index_.insert_or_assign(Request.Request, Place{Tenant, At});
  Arrivals_.emplace(At.second, Request.EnqueuedAt);
  Queue.Waiting.emplace(At, std::move(Request));
  addTurn(Tenant);
}

std::optional<WaitingRequest> FairQueue::pop() {
  if (Turns_.empty())
    return std::nullopt;
  auto [Time, At, Tenant] = *Turns_.begin();
  removeTurn(Tenant);
  TenantQueue &Queue = Tenants_.at(Tenant);
  double Cost = Queue.Waiting.at(At).Cost;
  // Moves on with the service that each waiting tenant was due; otherwise
  // newcomers would overtake a tenant's second request without end.
  VirtualTime_ = std::max(VirtualTime_, Time) +
                 Cost / static_cast<double>(Tenants_.size());
  Queue.VirtualTime += Cost;
  addTurn(Tenant);
  return takeOut(Tenant, At);
}

std::optional<WaitingRequest> FairQueue::remove(const RequestId &Request) {
  auto It = Index_.find(Request);
  if (It == Index_.end())
    return std::nullopt;
  Place P = It->second;
  return takeOut(P.Tenant, P.At);
}

WaitingRequest FairQueue::takeOut(const TenantId &Tenant, const Order &At) {
  removeTurn(Tenant);
  auto It = Tenants_.find(Tenant);
  auto Node = It->second.Waiting.extract(At);
  WaitingRequest Request = std::move(Node.mapped());
  Index_.erase(Request.Request);
  Arrivals_.erase(At.second);
  if (It->second.Waiting.empty())
    Tenants_.erase(It);
  else
    addTurn(Tenant);
  return Request;
}

std::optional<WaitingRequest> FairQueue::shed() {
  auto Largest = std::max_element(
      Tenants_.begin(), Tenants_.end(), [](const auto &L, const auto &R) {
        return L.second.Waiting.size() < R.second.Waiting.size();
      });
  if (Largest == Tenants_.end())
    return std::nullopt;
  const auto &Waiting = Largest->second.Waiting;
  auto Newest = std::max_element(Waiting.begin(), Waiting.end(),
                                 [](const auto &L, const auto &R) {
                                   return L.first.second < R.first.second;
                                 });
  return takeOut(TenantId(Largest->first), Order(Newest->first));
}

std::vector<WaitingRequest> FairQueue::removeDueBefore(TimePoint Time) {
  std::vector<Place> Due;
  for (const auto &[Tenant, Queue] : Tenants_)
    for (const auto &[At, Request] : Queue.Waiting) {
      if (At.first >= Time)
        break;
      Due.push_back({Tenant, At});
    }
  std::vector<WaitingRequest> Removed;
  Removed.reserve(Due.size());
  for (const Place &P : Due)
    Removed.push_back(takeOut(P.Tenant, P.At));
  return Removed;
}

std::size_t FairQueue::ahead(const TenantId &Tenant) const {
  auto It = Tenants_.find(Tenant);
  std::size_t Own = It == Tenants_.end() ? 0 : It->second.Waiting.size();
  std::size_t Turns = (Own + 1) * (Turns_.size() + (Own == 0 ? 1 : 0));
  return std::min(size(), Turns - 1);
}

std::optional<TimePoint> FairQueue::oldest() const {
  if (Arrivals_.empty())
    return std::nullopt;
  return Arrivals_.begin()->second;
}

} // namespace celerybeam::detail
