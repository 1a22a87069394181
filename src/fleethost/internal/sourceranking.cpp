#include "fleethost/internal/sourceranking.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace celerybeam::detail {

namespace {

StoreRevision revisionOf(const HostState &Host, MirrorPart Part) {
  return Part == MirrorPart::OperatorTables ? Host.OperatorRevision
                                            : Host.EndpointRevision;
}

} // namespace

/// The criteria of a host, the weightiest first; smaller ones are preferred.
struct SourceRanking::Candidate {
  /// Zero without a recent failure.
  TimePoint FailedAt{};
  bool LacksChanges = false;
  bool Leaving = false;
  bool OnlyFollows = false;
  bool IsNear = false;
  std::string Ip;

  auto key() const {
    return std::tuple(FailedAt, LacksChanges, Leaving, OnlyFollows);
  }
};

SourceRanking::SourceRanking(Runtime R, const HostRegistry &Hosts)
    : Runtime_(std::move(R)), Hosts_(Hosts) {}

SourceRanking::Candidate SourceRanking::candidate(const HostState &Host) const {
  Candidate C;
  auto Failed = Failures_.find(Host.Ip);
  if (Failed != Failures_.end() &&
      Runtime_.Now() - Failed->second.At < FailureMemory)
    C.FailedAt = Failed->second.At;
  C.Leaving = Host.Leaving;
  C.IsNear = Host.Region == Hosts_.self().Region;
  C.Ip = Host.Ip;
  return C;
}

RankedSources SourceRanking::rank(std::vector<Candidate> All) const {
  for (std::size_t I = All.size(); I > 1; --I)
    std::swap(All[I - 1], All[Runtime_.Random() % I]);
  std::stable_sort(
      All.begin(), All.end(),
      [](const Candidate &A, const Candidate &B) { return A.key() < B.key(); });
  RankedSources Ranked;
  for (Candidate &C : All)
    (C.IsNear ? Ranked.Near : Ranked.Far).push_back(std::move(C.Ip));
  return Ranked;
}

RankedSources SourceRanking::newerThan(MirrorPart Part, StoreRevision After,
                                       const std::set<std::string> &Except,
                                       bool AlsoLacking) const {
  std::vector<Candidate> All;
  for (const HostState &Host : Hosts_.alive()) {
    Candidate C = candidate(Host);
    C.LacksChanges = revisionOf(Host, Part) <= After;
    bool FailedJustNow =
        C.FailedAt > TimePoint() && Runtime_.Now() - C.FailedAt < RetryInterval;
    bool IsWanted = AlsoLacking || !C.LacksChanges;
    if (IsWanted && !FailedJustNow && !Except.contains(Host.Ip))
      All.push_back(std::move(C));
  }
  return rank(std::move(All));
}

RankedSources
SourceRanking::confirmers(const std::set<std::string> &Except) const {
  auto Alive = Hosts_.alive();
  std::vector<Candidate> All;
  for (const HostState &Host : Alive) {
    Candidate C = candidate(Host);
    C.OnlyFollows = !Host.Watches;
    if (!Except.contains(Host.Ip))
      All.push_back(std::move(C));
  }
  RankedSources Ranked = rank(std::move(All));
  if (!Alive.empty())
    return Ranked;
  Ranked.Far = Hosts_.silentContacts(MaxSilent);
  std::erase_if(Ranked.Far,
                [&](const std::string &Ip) { return Except.contains(Ip); });
  return Ranked;
}

bool SourceRanking::isReportedNear(MirrorPart Part, StoreRevision After) const {
  auto Near = Hosts_.aliveInRegion();
  return std::any_of(Near.begin(), Near.end(), [&](const HostState &Host) {
    return revisionOf(Host, Part) > After;
  });
}

bool SourceRanking::isOffered(MirrorPart Part, StoreRevision After) const {
  auto Alive = Hosts_.alive();
  return std::any_of(Alive.begin(), Alive.end(), [&](const HostState &Host) {
    auto Failed = Failures_.find(Host.Ip);
    bool OutOfReach = Failed != Failures_.end() && !Failed->second.Reached &&
                      Runtime_.Now() - Failed->second.At < FailureMemory;
    return revisionOf(Host, Part) > After && !OutOfReach;
  });
}

StoreRevision SourceRanking::reportedBy(const std::string &Ip,
                                        MirrorPart Part) const {
  auto Host = Hosts_.stateOf(Ip);
  return Host ? revisionOf(*Host, Part) : StoreRevision();
}

void SourceRanking::recordFailure(const std::string &Ip, bool Reached) {
  TimePoint Now = Runtime_.Now();
  std::erase_if(Failures_, [&](const auto &Entry) {
    return Now - Entry.second.At >= FailureMemory;
  });
  Failures_[Ip] = {Now, Reached};
}

} // namespace celerybeam::detail
