#include "dispatch/holdqueue.h"

namespace celerybeam {

HoldId HoldQueue::add(HeldRequest Request) {
  HoldId Id{++LastSerial_};
  Position At{Request.Rank, Request.Arrived, Id.Value};
  Positions_[Id.Value] = At;
  Requests_.emplace(At, std::move(Request));
  return Id;
}

void HoldQueue::remove(HoldId Id) {
  auto Found = Positions_.find(Id.Value);
  if (Found == Positions_.end())
    return;
  Requests_.erase(Found->second);
  Positions_.erase(Found);
}

void HoldQueue::offer(TimePoint Now) {
  // Offers change the queue, so the order is taken first.
  std::map<PoolName, std::size_t> Refused;
  std::vector<Position> Order;
  std::vector<Position> Late;
  for (const auto &[At, Request] : Requests_)
    (Request.BestBefore >= Now ? Order : Late).push_back(At);
  Order.insert(Order.end(), Late.begin(), Late.end());
  for (const Position &At : Order) {
    auto Found = Requests_.find(At);
    if (Found == Requests_.end())
      continue;
    bool Hopeless = Found->second.GiveUpAt < Now;
    if (!Hopeless && Refused[Found->second.Pool] >= OffersPerPool)
      continue;
    PoolName Pool = Found->second.Pool;
    auto Offer = Found->second.Offer;
    if (!Offer())
      ++Refused[Pool];
  }
}

bool HoldQueue::hasAhead(const PoolName &Pool, unsigned Rank) const {
  for (const auto &[At, Request] : Requests_) {
    if (At.Rank > Rank)
      return false;
    if (Request.Pool == Pool)
      return true;
  }
  return false;
}

QueuedWork HoldQueue::queued(const PoolName &Pool) const {
  auto All = allQueued();
  auto Found = All.find(Pool);
  return Found == All.end() ? QueuedWork() : Found->second;
}

std::map<PoolName, QueuedWork> HoldQueue::allQueued() const {
  std::map<PoolName, QueuedWork> Sums;
  for (const auto &[At, Request] : Requests_) {
    QueuedWork &Sum = Sums[Request.Pool];
    Sum.All += Request.Tokens;
    if (Request.Rank == 0)
      Sum.Urgent += Request.Tokens;
  }
  return Sums;
}

} // namespace celerybeam
