#include "booking/internal/bookingcontext.h"

#include <algorithm>

#include "framework/stablehash.h"

namespace celerybeam::detail {

namespace {

/// Success this recent means that the store is in reach.
constexpr Duration ReachedWithin = std::chrono::seconds(6);
/// Contact is continuous when no two successes are further apart.
constexpr Duration ContactGap = std::chrono::seconds(12);

template <typename Predicate>
std::vector<HostId> regionHosts(const Blackboard &Board, Predicate Wanted) {
  std::vector<HostId> Hosts;
  Board.peers().forEach([&](const HostId &Id, const PeerRecord &R) {
    if (R.Region == Board.self().Region && Wanted(R.State))
      Hosts.push_back(Id);
  });
  std::sort(Hosts.begin(), Hosts.end());
  return Hosts;
}

} // namespace

void StoreContact::succeeded(TimePoint Now) {
  if (LastFailure >= LastOk || Now - LastOk > ContactGap)
    ContinuousSince = Now;
  LastOk = Now;
}

void StoreContact::failed(TimePoint Now) { LastFailure = Now; }

bool StoreContact::reached(TimePoint Now) const {
  return LastOk != TimePoint() && LastOk > LastFailure &&
         Now - LastOk < ReachedWithin;
}

StoreKey ledgerKey(const Blackboard &Board, std::uint32_t Shard) {
  return StoreKey("ledger/" + Board.self().Region.str() + "/" +
                  std::to_string(Shard));
}

HostId hostOfOwner(const std::string &OwnerName) {
  return HostId(OwnerName.substr(0, OwnerName.rfind('#')));
}

std::vector<HostId> regionPeers(const Blackboard &Board) {
  return regionHosts(Board,
                     [](PeerState S) { return S != PeerState::Leaving; });
}

bool isMajority(const Blackboard &Board, std::size_t Hosts) {
  std::size_t Known = regionPeers(Board).size() + 1;
  return Hosts > Known / 2;
}

std::vector<HostId> ownerRanking(const Blackboard &Board, std::uint32_t Shard,
                                 const HostId &Without) {
  std::vector<HostId> Hosts =
      regionHosts(Board, [](PeerState S) { return S == PeerState::Alive; });
  if (!Board.leaving())
    Hosts.push_back(Board.self().Id);
  std::erase(Hosts, Without);
  auto RankOf = [&](const HostId &Id) {
    return stableHash(Id.str(), Shard + 1);
  };
  std::sort(Hosts.begin(), Hosts.end(), [&](const auto &L, const auto &R) {
    return std::make_pair(RankOf(L), L) > std::make_pair(RankOf(R), R);
  });
  return Hosts;
}

} // namespace celerybeam::detail
