#include "fleet/storemirror.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace celerybeam {

namespace {

/// Range of the back-off between failed calls to the store.
constexpr Duration FirstBackoff = std::chrono::milliseconds(100);
constexpr Duration LongestBackoff = std::chrono::milliseconds(800);
/// No entry lapses during a shorter failure of the store.
constexpr Duration ShortestOutage = std::chrono::milliseconds(700);
/// A healthy store responds to a watch within its wait plus this time.
constexpr Duration ResponseSlack = std::chrono::milliseconds(1500);

} // namespace

class StoreMirror::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(Runtime R, StoreMirrorHooks Hooks)
      : Runtime_(std::move(R)), Hooks_(std::move(Hooks)) {}

  /// The first read may miss recent changes; they come from the watch after it
  /// or from the hosts that are followed.
  void start() {
    if (!Hooks_.ListStale)
      return list();
    Hooks_.ListStale(guarded([this](Result<StoreSnapshot> Got) {
      if (!Got)
        return failed(Got.error(), &Impl::list);
      succeeded();
      applyList(*Got);
      Runtime_.After(FirstWatchDelay, [Weak = weak_from_this()] {
        if (auto Self = Weak.lock())
          Self->watch();
      });
    }));
  }

  void list() {
    Hooks_.List(guarded([this](Result<StoreSnapshot> Got) {
      if (!Got)
        return failed(Got.error(), &Impl::list);
      succeeded();
      Confirmed_ = true;
      applyList(*Got);
      watch();
    }));
  }

  void watch() {
    if (Following_) {
      Idle_ = true;
      return;
    }
    Hooks_.Watch(AsOf_, WatchWait,
                 guarded([this, After = AsOf_](Result<StoreSnapshot> Got) {
                   if (!Got && Got.error().Kind == ErrorKind::StoreConflict) {
                     succeeded();
                     return list();
                   }
                   if (!Got)
                     return failed(Got.error(), &Impl::watch);
                   succeeded();
                   // The changes count from a revision of another era, so they
                   // do not apply to the keys known here.
                   if (Got->AsOf.Era != After.Era)
                     return list();
                   Confirmed_ = true;
                   apply(*Got);
                   watch();
                 }));
  }

  void fetchFromPeer() {
    if (FetchingFromPeer_)
      return;
    FetchingFromPeer_ = true;
    Hooks_.FetchFromPeer(AsOf_, guarded([this](Result<StoreSnapshot> Got) {
                           FetchingFromPeer_ = false;
                           if (!Got || Got->AsOf <= AsOf_)
                             return;
                           if (Got->AsOf.Era > AsOf_.Era && isLoaded())
                             beginSettling(Got->AsOf);
                           if (Got->ChangesOnly)
                             apply(*Got);
                           else
                             replaceAll(*Got);
                         }));
  }

  void setFollowing(bool Following) {
    Following_ = Following;
    if (!Following && std::exchange(Idle_, false))
      watch();
  }

  void peerReported(StoreRevision Applied, bool Watches) {
    if (Applied <= AsOf_) {
      if (Watches)
        LastWatcherReport_ = Runtime_.Now();
      return;
    }
    if (PeerFetchScheduled_)
      return;
    PeerFetchScheduled_ = true;
    auto Weak = weak_from_this();
    Duration Lead = PeerFetchDelay;
    // Followers get no changes from the store, so they ask without that delay,
    // but spread over a short time so that not all ask at the same moment.
    if (Following_)
      Lead = Duration(static_cast<Duration::rep>(
          Runtime_.Random() %
          static_cast<std::uint64_t>(PeerFetchDelay.count() / 4)));
    Runtime_.After(Lead, [Weak, Applied] {
      auto Self = Weak.lock();
      if (!Self)
        return;
      Self->PeerFetchScheduled_ = false;
      if (Applied > Self->AsOf_)
        Self->fetchFromPeer();
    });
  }

  void listBesideWatch() {
    Hooks_.List(guarded([this](Result<StoreSnapshot> Got) {
      if (Got)
        return applyList(*Got);
      Runtime_.After(LongestBackoff, [Weak = weak_from_this()] {
        auto Self = Weak.lock();
        if (Self && Self->isSettlingOver())
          Self->listBesideWatch();
      });
    }));
  }

  StoreSnapshot changesSince(StoreRevision Since) const {
    StoreSnapshot Copy;
    Copy.AsOf = AsOf_;
    Copy.ChangesOnly = Since > StoreRevision() && Since >= RemovalsFrom_;
    for (const auto &[Key, Item] : Items_)
      if (!Copy.ChangesOnly || Item.At > Since)
        Copy.Items.push_back(Item);
    if (Copy.ChangesOnly)
      for (const StoreChange &Removal : Removals_)
        if (Removal.At > Since)
          Copy.Items.push_back(Removal);
    return Copy;
  }

  bool isLoaded() const { return AsOf_ > StoreRevision(); }

  bool isCurrent() const {
    if (Following_)
      return Runtime_.Now() - LastWatcherReport_ <= MaxWatcherSilence;
    return Reachable_ && Confirmed_ &&
           Runtime_.Now() - LastResponse_ <= WatchWait + ResponseSlack;
  }

  StoreRevision AsOf_;
  StoreRevision LastChange_;
  bool Following_ = false;

private:
  /// Wraps a callback so that it is ignored after the mirror's destruction.
  StoreMirrorHooks::Answer guarded(const StoreMirrorHooks::Answer &Then) {
    return [Weak = weak_from_this(), Then](Result<StoreSnapshot> Got) {
      if (auto Self = Weak.lock())
        Then(std::move(Got));
    };
  }

  void failed(const Error &Why, void (Impl::*Again)()) {
    if (!FailingSince_)
      FailingSince_ = Runtime_.Now();
    if (Reachable_ || !ReachabilityReported_)
      Hooks_.Reachability(false, Why.Message);
    Reachable_ = false;
    ReachabilityReported_ = true;
    Backoff_ = std::min(std::max(Backoff_ * 2, FirstBackoff), LongestBackoff);
    auto Jitter = Duration(Runtime_.Random() %
                           static_cast<std::uint64_t>(Backoff_.count()));
    Runtime_.After(Backoff_ / 2 + Jitter, [Weak = weak_from_this(), Again] {
      if (auto Self = Weak.lock())
        (Self.get()->*Again)();
    });
  }

  void succeeded() {
    LastResponse_ = Runtime_.Now();
    Backoff_ = Duration::zero();
    if (FailingSince_ && LastResponse_ - *FailingSince_ >= ShortestOutage)
      OutageEnded_ = LastResponse_;
    FailingSince_.reset();
    if (!Reachable_)
      Hooks_.Reachability(true, "");
    Reachable_ = true;
    ReachabilityReported_ = true;
  }

  bool afterOutage() const {
    return OutageEnded_ && Runtime_.Now() - *OutageEnded_ < OutageGrace;
  }

  void applyOne(const StoreChange &Change) {
    auto Existing = Items_.find(Change.Key);
    if (Existing != Items_.end() && Existing->second.At >= Change.At)
      return;
    LastChange_ = std::max(LastChange_, Change.At);
    RemovedBefore_.erase(Change.Key);
    if (!Change.Removed) {
      bool Same =
          Existing != Items_.end() && Existing->second.Value == Change.Value;
      Items_[Change.Key] = Change;
      // The same value, written again after the rollback: there is no change
      // to report.
      if (Same && SettlesAt_)
        return;
    } else if (Existing == Items_.end()) {
      return;
    } else {
      Items_.erase(Existing);
      Removals_.push_back(Change);
      if (Removals_.size() > MaxRemovals) {
        RemovalsFrom_ = Removals_.front().At;
        Removals_.pop_front();
      }
    }
    Hooks_.Changed(Change, afterOutage());
  }

  void apply(const StoreSnapshot &Changes) {
    for (const StoreChange &Change : Changes.Items)
      if (Change.At > AsOf_)
        applyOne(Change);
    AsOf_ = std::max(AsOf_, Changes.AsOf);
  }

  /// Applies a list of all keys from the store.
  void applyList(const StoreSnapshot &State) {
    if (State.AsOf < AsOf_)
      return;
    if (State.AsOf.Era > AsOf_.Era && isLoaded())
      return applyFirstListAfterRollback(State);
    if (SettlesAt_ && !isSettlingOver())
      return applyListWhileSettling(State);
    replaceAll(State);
    if (SettlesAt_)
      settled();
  }

  bool isSettlingOver() const {
    return SettlesAt_ && Runtime_.Now() >= *SettlesAt_;
  }

  /// Applies the first list after a rollback of the store. Its revision numbers
  /// up to the copy are those from before the rollback.
  void applyFirstListAfterRollback(const StoreSnapshot &State) {
    beginSettling(State.AsOf);
    applyListWhileSettling(State);
    RemovalsFrom_ = AsOf_;
  }

  void beginSettling(StoreRevision After) {
    for (const StoreChange &Removal : Removals_)
      RemovedBefore_[Removal.Key] = Removal.At;
    Removals_.clear();
    RemovalsFrom_ = After;
    SettlesAt_ = Runtime_.Now() + RollbackSettleTime;
    if (Hooks_.RolledBack)
      Hooks_.RolledBack({AsOf_, After, Items_.size(), false});
    // A watch may still be waiting then, so a list ends the settling.
    Runtime_.After(RollbackSettleTime, [Weak = weak_from_this()] {
      auto Self = Weak.lock();
      if (!Self || !Self->isSettlingOver())
        return;
      if (Self->Following_)
        return Self->settled();
      Self->listBesideWatch();
    });
  }

  /// Applies only rows that are certainly newer than the known ones, and rows
  /// with new keys.
  void applyListWhileSettling(const StoreSnapshot &State) {
    for (const StoreChange &Item : State.Items)
      if (!isFromOldCopy(Item))
        applyOne(Item);
    AsOf_ = std::max(AsOf_, State.AsOf);
    LastChange_ = std::max(LastChange_, State.AsOf);
  }

  /// Whether a listed row may have been overwritten or removed before the
  /// rollback.
  bool isFromOldCopy(const StoreChange &Item) const {
    if (auto Removed = RemovedBefore_.find(Item.Key);
        Removed != RemovedBefore_.end())
      return Item.At.Number <= Removed->second.Number;
    auto Existing = Items_.find(Item.Key);
    return Existing != Items_.end() && Existing->second.At.Era < Item.At.Era &&
           Existing->second.Value != Item.Value &&
           Item.At.Number <= Existing->second.At.Number;
  }

  std::size_t countAwaited() const {
    return static_cast<std::size_t>(
        std::count_if(Items_.begin(), Items_.end(), [&](const auto &E) {
          return E.second.At.Era < AsOf_.Era;
        }));
  }

  void settled() {
    SettlesAt_.reset();
    RemovedBefore_.clear();
    if (Hooks_.RolledBack)
      Hooks_.RolledBack({AsOf_, AsOf_, countAwaited(), true});
  }

  /// Replaces all keys by a full state that is at least as new.
  void replaceAll(const StoreSnapshot &State) {
    std::map<std::string, bool> Present;
    for (const StoreChange &Item : State.Items)
      Present[Item.Key] = true;
    std::vector<StoreChange> Missing;
    for (const auto &[Key, Item] : Items_)
      if (!Present.contains(Key) && Item.At <= State.AsOf)
        Missing.push_back({Key, "", State.AsOf, true});
    for (const StoreChange &Gone : Missing)
      applyOne(Gone);
    for (const StoreChange &Item : State.Items)
      applyOne(Item);
    AsOf_ = std::max(AsOf_, State.AsOf);
    // For removals that a list shows only the list's revision is known.
    if (RemovalsFrom_ == StoreRevision())
      RemovalsFrom_ = AsOf_;
  }

  Runtime Runtime_;
  StoreMirrorHooks Hooks_;
  std::map<std::string, StoreChange> Items_;
  /// The latest removals, complete from RemovalsFrom_ on.
  std::deque<StoreChange> Removals_;
  StoreRevision RemovalsFrom_;
  /// After a rollback of the store: until when rows from before it may be
  /// written again, and the keys that were removed before it.
  std::optional<TimePoint> SettlesAt_;
  std::map<std::string, StoreRevision> RemovedBefore_;
  /// Whether it is following with no call to the store in progress.
  bool Idle_ = false;
  TimePoint LastWatcherReport_{};
  bool Reachable_ = false;
  /// Whether the store has returned more than the first, possibly old, read.
  bool Confirmed_ = false;
  bool ReachabilityReported_ = false;
  bool FetchingFromPeer_ = false;
  bool PeerFetchScheduled_ = false;
  TimePoint LastResponse_{};
  std::optional<TimePoint> FailingSince_;
  std::optional<TimePoint> OutageEnded_;
  Duration Backoff_{};
};

StoreMirror::StoreMirror(Runtime R, StoreMirrorHooks Hooks)
    : Impl_(std::make_shared<Impl>(std::move(R), std::move(Hooks))) {}
StoreMirror::~StoreMirror() = default;

void StoreMirror::start() { Impl_->start(); }
void StoreMirror::peerReported(StoreRevision Applied, bool Watches) {
  Impl_->peerReported(Applied, Watches);
}
void StoreMirror::storeRolledBack(std::uint64_t Era) {
  if (Era > Impl_->AsOf_.Era && !Impl_->Following_ && Impl_->isLoaded())
    Impl_->listBesideWatch();
}
void StoreMirror::setFollowing(bool Following) {
  Impl_->setFollowing(Following);
}
bool StoreMirror::isFollowing() const { return Impl_->Following_; }
StoreSnapshot StoreMirror::changesSince(StoreRevision Since) const {
  return Impl_->changesSince(Since);
}
StoreRevision StoreMirror::lastChange() const { return Impl_->LastChange_; }
bool StoreMirror::isLoaded() const { return Impl_->isLoaded(); }
bool StoreMirror::isCurrent() const { return Impl_->isCurrent(); }

} // namespace celerybeam
