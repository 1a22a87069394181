#include "dispatch/holdqueue.h"

namespace celerybeam {

HoldId HoldQueue::add(HeldRequest Request) {
  HoldId Id{++LastSerial_};
  Position At{Request.Rank, Request.Arrived, Id.Value};
  Positions_[Id.Value] = At;
  PoolSums &Sums = Pools_[Request.Pool];
  ++Sums.ByRank[Request.Rank];
  Sums.Work.All += Request.Tokens;
  if (Request.Rank == 0)
    Sums.Work.Urgent += Request.Tokens;
  Requests_.emplace(At, std::move(Request));
  return Id;
}

void HoldQueue::remove(HoldId Id) {
  auto Found = Positions_.find(Id.Value);
  if (Found == Positions_.end())
    return;
  auto Held = Requests_.find(Found->second);
  const HeldRequest &Request = Held->second;
  PoolSums &Sums = Pools_[Request.Pool];
  auto Count = Sums.ByRank.find(Request.Rank);
  if (--Count->second == 0)
    Sums.ByRank.erase(Count);
  Sums.Work.All -= Request.Tokens;
  if (Request.Rank == 0)
    Sums.Work.Urgent -= Request.Tokens;
  Requests_.erase(Held);
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
  auto Found = Pools_.find(Pool);
  return Found != Pools_.end() && !Found->second.ByRank.empty() &&
         Found->second.ByRank.begin()->first <= Rank;
}

const QueuedWork &HoldQueue::queued(const PoolName &Pool) const {
  static const QueuedWork None;
  auto Found = Pools_.find(Pool);
  return Found == Pools_.end() ? None : Found->second.Work;
}

} // namespace celerybeam
