#include "dispatch/holdqueue.h"

namespace celerybeam {

HoldId HoldQueue::add(HeldRequest Request) {
  HoldId Id{++LastSerial_};
  Position At{Request.Rank, Request.Arrived, Id.Value};
  Positions_[Id.Value] = At;
  if (!Request.KeepsEndpoint)
    ++Pools_[Request.Pool][Request.Rank];
  Requests_.emplace(At, std::move(Request));
  return Id;
}

void HoldQueue::remove(HoldId Id) {
  auto Found = Positions_.find(Id.Value);
  if (Found == Positions_.end())
    return;
  auto Held = Requests_.find(Found->second);
  const HeldRequest &Request = Held->second;
  if (!Request.KeepsEndpoint) {
    RankCounts &Counts = Pools_[Request.Pool];
    auto Count = Counts.find(Request.Rank);
    if (--Count->second == 0)
      Counts.erase(Count);
  }
  Requests_.erase(Held);
  Positions_.erase(Found);
}

void HoldQueue::update(HoldId Id, TimePoint OnTimeUntil,
                       TimePoint DecideAgainAt) {
  auto Found = Positions_.find(Id.Value);
  if (Found == Positions_.end())
    return;
  HeldRequest &Held = Requests_.at(Found->second);
  Held.OnTimeUntil = OnTimeUntil;
  Held.DecideAgainAt = DecideAgainAt;
}

void HoldQueue::offer(TimePoint Now) {
  // Offers change the queue, so the order is taken first.
  std::map<std::pair<PoolName, bool>, std::size_t> Refused;
  std::vector<Position> Order;
  std::vector<Position> Late;
  for (const auto &[At, Request] : Requests_)
    (Request.OnTimeUntil >= Now ? Order : Late).push_back(At);
  Order.insert(Order.end(), Late.begin(), Late.end());
  for (const Position &At : Order) {
    auto Found = Requests_.find(At);
    if (Found == Requests_.end())
      continue;
    bool Due = Found->second.DecideAgainAt < Now;
    std::size_t &InVain =
        Refused[{Found->second.Pool, Found->second.KeepsEndpoint}];
    if (!Due && InVain >= OffersPerPool)
      continue;
    auto Offer = Found->second.Offer;
    if (!Offer())
      ++InVain;
  }
}

bool HoldQueue::hasAhead(const PoolName &Pool, unsigned Rank) const {
  auto Found = Pools_.find(Pool);
  return Found != Pools_.end() && !Found->second.empty() &&
         Found->second.begin()->first <= Rank;
}

WorkAhead HoldQueue::ahead(const PoolName &Pool, unsigned Rank,
                           TimePoint Arrived, TimePoint Now) const {
  WorkAhead Sum;
  for (const auto &[At, Held] : Requests_) {
    if (At.Rank > Rank)
      break;
    if (Held.Pool != Pool)
      continue;
    if (Held.OnTimeUntil >= Now)
      Sum.OnTime += Held.Work;
    else if (At.Arrived <= Arrived)
      Sum.Late += Held.Work;
  }
  return Sum;
}

} // namespace celerybeam
