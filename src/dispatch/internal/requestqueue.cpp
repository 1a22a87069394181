#include "dispatch/requestqueue.h"

namespace celerybeam {

QueuedRequestId RequestQueue::add(QueuedRequest Request) {
  QueuedRequestId Id{++LastSerial_};
  Position At{Request.Rank, Request.Arrived, Id.Value};
  Positions_[Id.Value] = At;
  if (!Request.HasReservedEndpoint)
    ++Pools_[Request.Pool][Request.Rank];
  Requests_.emplace(At, std::move(Request));
  return Id;
}

void RequestQueue::remove(QueuedRequestId Id) {
  auto Found = Positions_.find(Id.Value);
  if (Found == Positions_.end())
    return;
  auto Queued = Requests_.find(Found->second);
  const QueuedRequest &Request = Queued->second;
  if (!Request.HasReservedEndpoint) {
    RankCounts &Counts = Pools_[Request.Pool];
    auto Count = Counts.find(Request.Rank);
    if (--Count->second == 0)
      Counts.erase(Count);
  }
  Requests_.erase(Queued);
  Positions_.erase(Found);
}

void RequestQueue::update(QueuedRequestId Id, TimePoint OnTimeUntil,
                          TimePoint ReevaluateAt) {
  auto Found = Positions_.find(Id.Value);
  if (Found == Positions_.end())
    return;
  QueuedRequest &Queued = Requests_.at(Found->second);
  Queued.OnTimeUntil = OnTimeUntil;
  Queued.ReevaluateAt = ReevaluateAt;
}

void RequestQueue::offer(TimePoint Now) {
  // Offers change the queue, so the order is copied first.
  std::map<std::pair<PoolName, bool>, std::size_t> RejectedOffers;
  std::vector<Position> Order;
  std::vector<Position> Late;
  for (const auto &[At, Request] : Requests_)
    (Request.OnTimeUntil >= Now ? Order : Late).push_back(At);
  Order.insert(Order.end(), Late.begin(), Late.end());
  for (const Position &At : Order) {
    auto Found = Requests_.find(At);
    if (Found == Requests_.end())
      continue;
    bool Due = Found->second.ReevaluateAt < Now;
    std::size_t &Rejected =
        RejectedOffers[{Found->second.Pool, Found->second.HasReservedEndpoint}];
    if (!Due && Rejected >= OffersPerPool)
      continue;
    auto Offer = Found->second.Offer;
    if (!Offer())
      ++Rejected;
  }
}

bool RequestQueue::hasRequestAhead(const PoolName &Pool, unsigned Rank) const {
  auto Found = Pools_.find(Pool);
  return Found != Pools_.end() && !Found->second.empty() &&
         Found->second.begin()->first <= Rank;
}

bool RequestQueue::hasAny(const PoolName &Pool) const {
  return std::any_of(
      Requests_.begin(), Requests_.end(),
      [&](const auto &Entry) { return Entry.second.Pool == Pool; });
}

QueuedServiceTime RequestQueue::serviceTimeAhead(const PoolName &Pool,
                                                 unsigned Rank,
                                                 TimePoint Arrived,
                                                 TimePoint Now) const {
  QueuedServiceTime Sum;
  for (const auto &[At, Queued] : Requests_) {
    if (At.Rank > Rank)
      break;
    if (Queued.Pool != Pool)
      continue;
    if (Queued.OnTimeUntil >= Now)
      Sum.OnTime += Queued.Occupancy;
    else if (At.Arrived <= Arrived)
      Sum.Late += Queued.Occupancy;
  }
  return Sum;
}

} // namespace celerybeam
