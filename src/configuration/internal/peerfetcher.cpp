#include "configuration/internal/peerfetcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "configuration/internal/storeretry.h"

namespace celerybeam::detail {

namespace {

constexpr Duration ReplyTimeout = std::chrono::seconds(1);
constexpr Duration FirstRetry = std::chrono::milliseconds(100);
constexpr Duration MaxRetry = std::chrono::seconds(2);
// Wait before the next request after a reply from a peer without a revision.
constexpr Duration NoRevisionWait = std::chrono::seconds(1);
constexpr int FailuresUntilFailing = 3;

int distanceBetween(const HostIdentity &Self, const PeerRecord &Peer) {
  if (Peer.Zone == Self.Zone)
    return 0;
  return Peer.Region == Self.Region ? 1 : 2;
}

} // namespace

PeerFetcher::PeerFetcher(Blackboard &Board, Runtime R, PeerHooks Peers,
                         RecentRevisions &Recent)
    : Board_(Board), Runtime_(std::move(R)), Peers_(std::move(Peers)),
      RecentRevisions_(Recent) {}

void PeerFetcher::recordRevision(const HostId &Host, Revision Number) {
  if (Host == Board_.self().Id)
    return;
  std::lock_guard Lock(Mutex_);
  Revision &Known = KnownRevisions_[Host];
  Known = std::max(Known, Number);
}

void PeerFetcher::tick() {
  std::optional<HostId> Target;
  messages::Envelope Message;
  {
    std::lock_guard Lock(Mutex_);
    // Hosts that membership has removed are removed here as well.
    std::erase_if(KnownRevisions_, [&](const auto &Entry) {
      return !Board_.peers().find(Entry.first);
    });
    TimePoint Now = Runtime_.Now();
    if (!isDueLocked(Now))
      return;
    Revision InForce = Board_.tables()->Number;
    Target = chooseLocked(InForce);
    if (!Target)
      return;
    RequestedFrom_ = Target;
    RequestedAt_ = Now;
    Message.mutable_revision_request()->set_have_revision(
        NeedsFullTables_ ? 0 : InForce);
  }
  Peers_.Send(*Target, std::move(Message));
}

bool PeerFetcher::isDueLocked(TimePoint Now) {
  if (RequestedFrom_ && Now - RequestedAt_ < ReplyTimeout)
    return false;
  if (RequestedFrom_)
    failLocked();
  return Now >= NextAt_;
}

/// Chooses the nearest live peer with a higher revision that has not failed
/// yet. A host without any revision also considers peers whose revision it does
/// not know.
std::optional<HostId> PeerFetcher::chooseLocked(Revision InForce) {
  std::vector<Candidate> Usable = livePeersLocked();
  std::erase_if(Usable, [&](const Candidate &C) {
    return InForce != 0 && C.Number <= InForce;
  });
  if (Usable.empty()) {
    Failures_ = 0;
    FailedHosts_.clear();
    return std::nullopt;
  }
  auto Untried = [&](const Candidate &C) {
    return !FailedHosts_.contains(C.Host);
  };
  if (std::none_of(Usable.begin(), Usable.end(), Untried))
    FailedHosts_.clear();
  std::optional<HostId> Best;
  std::tuple<bool, bool, int, std::uint64_t> BestRank;
  for (const Candidate &C : Usable) {
    std::tuple Rank(!Untried(C), C.Number <= InForce, C.Distance,
                    Runtime_.Random());
    if (Best && Rank >= BestRank)
      continue;
    Best = C.Host;
    BestRank = Rank;
  }
  return Best;
}

std::vector<PeerFetcher::Candidate> PeerFetcher::livePeersLocked() const {
  std::vector<Candidate> Live;
  Board_.peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
    if (Peer.State == PeerState::Dead || Id == Board_.self().Id)
      return;
    auto It = KnownRevisions_.find(Id);
    Revision Reported = It == KnownRevisions_.end() ? 0 : It->second;
    Live.push_back({Id, std::max(Peer.InForce, Reported),
                    distanceBetween(Board_.self(), Peer)});
  });
  return Live;
}

Result<bool> PeerFetcher::take(const HostId &From,
                               const messages::RevisionReply &Reply) {
  Result<bool> Adopted = false;
  if (Reply.revision() > Board_.tables()->Number) {
    Result<TablesRevision> Read = RecentRevisions_.revisionIn(Reply);
    Adopted = Read ? RecentRevisions_.adopt(std::move(*Read))
                   : tl::make_unexpected(Read.error());
  }
  std::lock_guard Lock(Mutex_);
  bool WasRequested = RequestedFrom_ == From;
  if (Adopted && *Adopted) {
    FailedHosts_.clear();
    Failures_ = 0;
    NeedsFullTables_ = false;
    RequestedFrom_.reset();
    NextAt_ = Runtime_.Now();
    return Adopted;
  }
  if (!WasRequested)
    return Adopted;
  if (!Adopted && Reply.base_revision() != 0) {
    NeedsFullTables_ = true;
    RequestedFrom_.reset();
    NextAt_ = Runtime_.Now();
    return Adopted;
  }
  failLocked();
  if (Reply.revision() == 0)
    NextAt_ = std::max(NextAt_, Runtime_.Now() + NoRevisionWait);
  return Adopted;
}

void PeerFetcher::failLocked() {
  FailedHosts_.insert(*RequestedFrom_);
  RequestedFrom_.reset();
  NextAt_ =
      Runtime_.Now() + backOff(Runtime_, Failures_++, FirstRetry, MaxRetry);
}

bool PeerFetcher::noPeerHasTables() const {
  std::lock_guard Lock(Mutex_);
  std::vector<Candidate> Live = livePeersLocked();
  bool AnyHasTables =
      std::any_of(Live.begin(), Live.end(),
                  [](const Candidate &C) { return C.Number != 0; });
  bool AnyReported =
      std::any_of(Live.begin(), Live.end(), [&](const Candidate &C) {
        return KnownRevisions_.contains(C.Host);
      });
  return !AnyHasTables && (AnyReported || Live.empty());
}

bool PeerFetcher::isFailing() const {
  std::lock_guard Lock(Mutex_);
  return Failures_ >= FailuresUntilFailing;
}

} // namespace celerybeam::detail
