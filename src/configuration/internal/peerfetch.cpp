#include "configuration/internal/peerfetch.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "configuration/internal/storeretry.h"

namespace celerybeam::detail {

namespace {

constexpr Duration ReplyTimeout = std::chrono::seconds(1);
constexpr Duration FirstRetry = std::chrono::milliseconds(100);
constexpr Duration GreatestRetry = std::chrono::seconds(2);
// Wait before peers that have no revision either are asked again.
constexpr Duration NothingKnownWait = std::chrono::seconds(1);
constexpr int FailuresUntilFailing = 3;

int distanceBetween(const HostIdentity &Self, const PeerRecord &Peer) {
  if (Peer.Zone == Self.Zone)
    return 0;
  return Peer.Region == Self.Region ? 1 : 2;
}

} // namespace

PeerFetch::PeerFetch(Blackboard &Board, Runtime R, PeerHooks Peers,
                     RevisionKeep &Keep)
    : Board_(Board), Runtime_(std::move(R)), Peers_(std::move(Peers)),
      Keep_(Keep) {}

void PeerFetch::hear(const HostId &Host, Revision Number) {
  if (Host == Board_.self().Id)
    return;
  std::lock_guard Lock(Mutex_);
  Revision &Known = Heard_[Host];
  Known = std::max(Known, Number);
}

void PeerFetch::tick() {
  std::optional<HostId> Target;
  messages::Envelope Message;
  {
    std::lock_guard Lock(Mutex_);
    // Hosts that membership has forgotten are forgotten here as well.
    std::erase_if(Heard_, [&](const auto &Entry) {
      return !Board_.peers().find(Entry.first);
    });
    TimePoint Now = Runtime_.Now();
    if (!isDueLocked(Now))
      return;
    Revision InForce = Board_.tables()->Number;
    Target = chooseLocked(InForce);
    if (!Target)
      return;
    Asked_ = Target;
    AskedAt_ = Now;
    Message.mutable_revision_request()->set_have_revision(
        WantsWhole_ ? 0 : InForce);
  }
  Peers_.Send(*Target, std::move(Message));
}

bool PeerFetch::isDueLocked(TimePoint Now) {
  if (Asked_ && Now - AskedAt_ < ReplyTimeout)
    return false;
  if (Asked_)
    failLocked();
  return Now >= NextAt_;
}

/// The nearest live peer with a higher revision that has not failed yet. A
/// host without any revision also asks peers of which it has heard nothing.
std::optional<HostId> PeerFetch::chooseLocked(Revision InForce) {
  std::vector<Candidate> Useful = livePeersLocked();
  std::erase_if(Useful, [&](const Candidate &C) {
    return InForce != 0 && C.Number <= InForce;
  });
  if (Useful.empty()) {
    Failures_ = 0;
    Tried_.clear();
    return std::nullopt;
  }
  auto Untried = [&](const Candidate &C) { return !Tried_.contains(C.Host); };
  if (std::none_of(Useful.begin(), Useful.end(), Untried))
    Tried_.clear();
  std::optional<HostId> Best;
  std::tuple<bool, bool, int, std::uint64_t> BestRank;
  for (const Candidate &C : Useful) {
    std::tuple Rank(!Untried(C), C.Number <= InForce, C.Distance,
                    Runtime_.Random());
    if (Best && Rank >= BestRank)
      continue;
    Best = C.Host;
    BestRank = Rank;
  }
  return Best;
}

std::vector<PeerFetch::Candidate> PeerFetch::livePeersLocked() const {
  std::vector<Candidate> Live;
  Board_.peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
    if (Peer.State == PeerState::Dead || Id == Board_.self().Id)
      return;
    auto It = Heard_.find(Id);
    Revision Heard = It == Heard_.end() ? 0 : It->second;
    Live.push_back({Id, std::max(Peer.InForce, Heard),
                    distanceBetween(Board_.self(), Peer)});
  });
  return Live;
}

Result<bool> PeerFetch::take(const HostId &From,
                             const messages::RevisionReply &Reply) {
  Result<bool> Adopted = false;
  if (Reply.revision() > Board_.tables()->Number) {
    Result<TablesRevision> Read = Keep_.revisionIn(Reply);
    Adopted = Read ? Keep_.adopt(std::move(*Read))
                   : tl::make_unexpected(Read.error());
  }
  std::lock_guard Lock(Mutex_);
  bool WasAsked = Asked_ == From;
  if (Adopted && *Adopted) {
    Tried_.clear();
    Failures_ = 0;
    WantsWhole_ = false;
    Asked_.reset();
    NextAt_ = Runtime_.Now();
    return Adopted;
  }
  if (!WasAsked)
    return Adopted;
  if (!Adopted && Reply.base_revision() != 0) {
    WantsWhole_ = true;
    Asked_.reset();
    NextAt_ = Runtime_.Now();
    return Adopted;
  }
  failLocked();
  if (Reply.revision() == 0)
    NextAt_ = std::max(NextAt_, Runtime_.Now() + NothingKnownWait);
  return Adopted;
}

void PeerFetch::failLocked() {
  Tried_.insert(*Asked_);
  Asked_.reset();
  NextAt_ = Runtime_.Now() +
            backOff(Runtime_, Failures_++, FirstRetry, GreatestRetry);
}

bool PeerFetch::noPeerHasTables() const {
  std::lock_guard Lock(Mutex_);
  std::vector<Candidate> Live = livePeersLocked();
  bool AnyHasTables =
      std::any_of(Live.begin(), Live.end(),
                  [](const Candidate &C) { return C.Number != 0; });
  bool AnyWasHeard =
      std::any_of(Live.begin(), Live.end(),
                  [&](const Candidate &C) { return Heard_.contains(C.Host); });
  return !AnyHasTables && (AnyWasHeard || Live.empty());
}

bool PeerFetch::isFailing() const {
  std::lock_guard Lock(Mutex_);
  return Failures_ >= FailuresUntilFailing;
}

} // namespace celerybeam::detail
