#include "booking/internal/bookingcontext.h"

#include <algorithm>

#include "framework/stablehash.h"

namespace celerybeam::detail {

namespace {

/// The store counts as reachable when a call succeeded within this time and
/// none has failed since.
constexpr Duration ReachableWindow = std::chrono::seconds(6);
/// Reachability counts as uninterrupted when successive successes are no
/// further apart than this.
constexpr Duration MaxSuccessGap = std::chrono::seconds(12);

template <typename Predicate>
std::vector<HostId> regionHosts(const Blackboard &Board, Predicate Accepts) {
  std::vector<HostId> Hosts;
  Board.peers().forEach([&](const HostId &Id, const PeerRecord &R) {
    if (R.Region == Board.self().Region && Accepts(R.State))
      Hosts.push_back(Id);
  });
  std::sort(Hosts.begin(), Hosts.end());
  return Hosts;
}

} // namespace

void StoreReachability::recordSuccess(TimePoint Now) {
  if (LastFailureAt >= LastSuccessAt || Now - LastSuccessAt > MaxSuccessGap)
    UninterruptedSince = Now;
  LastSuccessAt = Now;
}

void StoreReachability::recordFailure(TimePoint Now) { LastFailureAt = Now; }

bool StoreReachability::isReachable(TimePoint Now) const {
  return LastSuccessAt != TimePoint() && LastSuccessAt > LastFailureAt &&
         Now - LastSuccessAt < ReachableWindow;
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
  std::size_t RegionSize = regionPeers(Board).size() + 1;
  return Hosts > RegionSize / 2;
}

std::vector<HostId> ownerRanking(const Blackboard &Board, std::uint32_t Shard,
                                 const HostId &Excluded) {
  std::vector<HostId> Hosts =
      regionHosts(Board, [](PeerState S) { return S == PeerState::Alive; });
  if (!Board.leaving())
    Hosts.push_back(Board.self().Id);
  std::erase(Hosts, Excluded);
  auto RankOf = [&](const HostId &Id) {
    return stableHash(Id.str(), Shard + 1);
  };
  std::sort(Hosts.begin(), Hosts.end(), [&](const auto &L, const auto &R) {
    return std::make_pair(RankOf(L), L) > std::make_pair(RankOf(R), R);
  });
  return Hosts;
}

} // namespace celerybeam::detail
