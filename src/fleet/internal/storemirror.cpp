#include "fleet/storemirror.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
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
/// Most revisions that other hosts have reported of which the time is kept.
constexpr std::size_t MaxReported = 64;
/// Longest wait of a read for changes that are known to exist.
constexpr Duration ReadWait = std::chrono::milliseconds(100);
/// Wait of a read that is to return at once: one of the store's units.
constexpr Duration NoWait = std::chrono::milliseconds(1);

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
    Hooks_.List(
        guarded([this, Begun = Runtime_.Now()](Result<StoreSnapshot> Got) {
          if (!Got)
            return failed(Got.error(), &Impl::list);
          succeeded();
          Confirmed_ = true;
          applyList(*Got);
          reportRead(Begun);
          watch();
        }));
  }

  void watch() {
    if (Following_) {
      Idle_ = true;
      return;
    }
    watchOnce(watchWait(), [this](const Result<void> &Got) {
      if (Got)
        return watch();
      if (Got.error().Kind == ErrorKind::StoreConflict)
        return list();
      failed(Got.error(), &Impl::watch);
    });
  }

  /// Makes one watch call and applies what it returns. Errors: StoreConflict
  /// when only a list can tell the changes, StoreUnreachable.
  void watchOnce(Duration Wait, std::function<void(Result<void>)> Done) {
    auto Apply = [this, After = AsOf_, Begun = Runtime_.Now(),
                  Done = std::move(Done)](Result<StoreSnapshot> Got) {
      bool Answered = Got || Got.error().Kind == ErrorKind::StoreConflict;
      if (Answered)
        succeeded();
      if (!Got)
        return Done(tl::unexpected(Got.error()));
      // The changes count from a revision of another era, so they do not apply
      // to the keys known here.
      if (Got->AsOf.Era != After.Era)
        return Done(makeError(ErrorKind::StoreConflict,
                              "The store was rolled back; it is listed."));
      Confirmed_ = true;
      apply(*Got);
      reportRead(Begun);
      Done({});
    };
    Hooks_.Watch(AsOf_, Wait, guarded(Apply));
  }

  void readChanges(std::function<void(Result<void>)> Done) {
    watchOnce(ReadWait, [this, Done = std::move(Done)](Result<void> Got) {
      if (!Got && Got.error().Kind == ErrorKind::StoreConflict) {
        readAgain();
        return Done({});
      }
      Done(std::move(Got));
    });
  }

  void fetchFromPeer() {
    if (FetchingFromPeer_)
      return;
    FetchingFromPeer_ = true;
    Hooks_.FetchFromPeer(AsOf_, guarded([this](Result<StoreSnapshot> Got) {
                           FetchingFromPeer_ = false;
                           if (Got)
                             applyFromPeer(*Got);
                         }));
  }

  void applyFromPeer(const StoreSnapshot &Got) {
    if (Got.AsOf > AsOf_) {
      LastSnapshot_ = Runtime_.Now();
      if (!Got.ChangesOnly)
        replaceAll(Got);
      else if (Got.AsOf.Era == AsOf_.Era)
        apply(Got);
    }
    adoptRetained(Got);
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
    noteReported(Applied);
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

  void noteReported(StoreRevision Reported) {
    std::erase_if(Reported_, [this](const ReportedRevision &Known) {
      return Known.Revision <= AsOf_;
    });
    if (!Reported_.empty() && Reported_.back().Revision >= Reported)
      return;
    // With too many the last one stands for those after it as well.
    if (Reported_.size() == MaxReported)
      Reported_.back().Revision = Reported;
    else
      Reported_.push_back({Reported, Runtime_.Now()});
  }

  std::optional<TimePoint> behindSince() const {
    for (const ReportedRevision &Known : Reported_)
      if (Known.Revision > AsOf_)
        return Known.Since;
    return std::nullopt;
  }

  StoreRevision newestReported() const {
    return Reported_.empty() ? StoreRevision() : Reported_.back().Revision;
  }

  void readAgain(std::function<void(Result<void>)> Done = {}) {
    Hooks_.List(guarded([this, Begun = Runtime_.Now(),
                         Done = std::move(Done)](Result<StoreSnapshot> Got) {
      if (Got) {
        succeeded();
        Confirmed_ = true;
        applyList(*Got);
        reportRead(Begun);
      }
      if (Done)
        Done(Got ? Result<void>() : tl::unexpected(Got.error()));
    }));
  }

  void readNow(std::function<void(Result<void>)> Done) {
    if (!isLoaded())
      return readAgain(std::move(Done));
    watchOnce(NoWait, [this, Done = std::move(Done)](Result<void> Got) {
      if (!Got && Got.error().Kind == ErrorKind::StoreConflict)
        return readAgain(Done);
      Done(std::move(Got));
    });
  }

  void reportRead(TimePoint Begun) {
    // The store knows of no such revision.
    std::erase_if(Reported_, [Begun](const ReportedRevision &Known) {
      return Known.Since <= Begun;
    });
    if (Hooks_.Read)
      Hooks_.Read(Begun);
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
    Copy.CertainAfter = SettlingBegunIn_ == AsOf_.Era ? RollbackAt_ : AsOf_;
    if (!SettlesAt_)
      return Copy;
    if (!Copy.ChangesOnly)
      Copy.Items.insert(Copy.Items.end(), Removals_.begin(), Removals_.end());
    for (const auto &[Key, Row] : Retained_)
      Copy.Retained.push_back(Row);
    Copy.SettlesIn = std::max(Duration::zero(), *SettlesAt_ - Runtime_.Now());
    return Copy;
  }

  StoreRevision includedFrom() const {
    return std::max(LastChange_, RemovalsFrom_);
  }

  bool isSettling() const { return SettlesAt_.has_value(); }

  bool isLoaded() const { return AsOf_ > StoreRevision(); }

  bool isCurrent() const { return hasRecentUpdate() && !behindSince(); }

  bool isInContact() const {
    auto Since = behindSince();
    return hasRecentUpdate() && (!Since || Runtime_.Now() - *Since <= MaxLag);
  }

  /// Whether there was a recent response from the store or update from a host
  /// that watches it.
  bool hasRecentUpdate() const {
    if (Following_)
      return Runtime_.Now() - LastWatcherReport_ <= MaxWatcherSilence;
    return Reachable_ && Confirmed_ &&
           Runtime_.Now() - LastResponse_ <= watchWait() + ResponseSlack;
  }

  /// Whether something came recently from the store or, while following, from
  /// another host.
  bool isInTouch() const {
    return isCurrent() ||
           (Following_ && Runtime_.Now() - LastSnapshot_ <= MaxWatcherSilence);
  }

  StoreRevision AsOf_;
  StoreRevision LastChange_;
  bool Following_ = false;

private:
  Duration watchWait() const { return Hooks_.LongestWatch.value_or(WatchWait); }

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

  /// The row that is in force for a key; null when there is none.
  const StoreChange *inForce(const std::string &Key) const {
    if (auto Kept = Retained_.find(Key); Kept != Retained_.end())
      return Kept->second.Removed ? nullptr : &Kept->second;
    auto Found = Items_.find(Key);
    return Found == Items_.end() ? nullptr : &Found->second;
  }

  std::optional<std::string> valueInForce(const std::string &Key) const {
    const StoreChange *Row = inForce(Key);
    return Row != nullptr ? std::optional(Row->Value) : std::nullopt;
  }

  /// Reports what is in force for a key if that has changed. \param Before  the
  /// value that was in force.
  void reportIfChanged(const std::string &Key,
                       const std::optional<std::string> &Before,
                       StoreRevision At) {
    const StoreChange *Row = inForce(Key);
    if (Row != nullptr && Before != Row->Value)
      Hooks_.Changed(*Row, afterOutage());
    else if (Row == nullptr && Before)
      Hooks_.Changed({Key, "", At, true}, afterOutage());
  }

  /// Applies a change that was made after a rollback of the store, or without
  /// one.
  void applyOne(const StoreChange &Change) {
    auto Existing = Items_.find(Change.Key);
    bool Known = Existing != Items_.end();
    if (Known && Existing->second.At >= Change.At)
      return;
    LastChange_ = std::max(LastChange_, Change.At);
    auto Before = valueInForce(Change.Key);
    Retained_.erase(Change.Key);
    if (Change.Removed) {
      if (Known)
        Items_.erase(Existing);
      recordRemoval(Change);
      return reportIfChanged(Change.Key, Before, Change.At);
    }
    Items_[Change.Key] = Change;
    // A row that is written again with the same value renews its entry, unless
    // that only makes up for the rollback.
    if (Before != Change.Value || !SettlesAt_)
      Hooks_.Changed(Change, afterOutage());
  }

  void recordRemoval(const StoreChange &Removal) {
    Removals_.push_back(Removal);
    if (Removals_.size() <= MaxRemovals)
      return;
    RemovalsFrom_ = Removals_.front().At;
    Removals_.pop_front();
  }

  void apply(const StoreSnapshot &Changes) {
    for (const StoreChange &Change : Changes.Items)
      if (Change.At > AsOf_)
        applyOne(Change);
    AsOf_ = std::max(AsOf_, Changes.AsOf);
  }

  /// Applies a list of all keys from the store.
  void applyList(StoreSnapshot State) {
    State.CertainAfter = State.AsOf;
    if (State.AsOf >= AsOf_)
      replaceAll(State);
  }

  /// Replaces all keys by a full state that is at least as new.
  void replaceAll(const StoreSnapshot &State) {
    if (State.AsOf.Era > AsOf_.Era && isLoaded())
      return beginSettling(State);
    std::set<std::string> Present;
    for (const StoreChange &Item : State.Items)
      if (!Item.Removed)
        Present.insert(Item.Key);
    std::vector<StoreChange> Missing;
    for (const auto &[Key, Item] : Items_)
      if (!Present.contains(Key))
        Missing.push_back({Key, "", State.AsOf, true});
    for (const StoreChange &Gone : Missing)
      applyOne(Gone);
    for (const StoreChange &Item : State.Items)
      applyOne(Item);
    AsOf_ = State.AsOf;
    // For removals that a list shows only the list's revision is known.
    if (RemovalsFrom_ == StoreRevision())
      RemovalsFrom_ = AsOf_;
  }

  /// Takes over the first state after a rollback of the store. Rows that may
  /// have been overwritten or removed before the rollback do not come into
  /// force yet.
  void beginSettling(const StoreSnapshot &State) {
    StoreRevision Before = AsOf_;
    std::map<std::string, StoreChange> Earlier;
    for (const StoreChange &Removal : Removals_)
      Earlier[Removal.Key] = Removal;
    for (const auto &[Key, Item] : Items_)
      Earlier[Key] = Item;
    for (const auto &[Key, Row] : Retained_)
      Earlier[Key] = Row;
    std::map<std::string, std::optional<std::string>> InForce;
    for (const auto &[Key, Row] : Earlier)
      InForce[Key] = valueInForce(Key);

    RollbackAt_ = State.CertainAfter;
    Items_.clear();
    for (const StoreChange &Item : State.Items) {
      if (Item.Removed) {
        Earlier.erase(Item.Key);
        continue;
      }
      Items_[Item.Key] = Item;
      InForce.try_emplace(Item.Key);
    }
    Retained_.clear();
    for (const auto &[Key, Row] : Earlier)
      if (isRetained(Row))
        Retained_[Key] = Row;
    AsOf_ = State.AsOf;
    LastChange_ = std::max(LastChange_, AsOf_);
    Removals_.clear();
    RemovalsFrom_ = AsOf_;
    settleAfter(RollbackSettleTime);
    reportRollback(Before, false);
    for (const auto &[Key, Value] : InForce)
      reportIfChanged(Key, Value, AsOf_);
  }

  /// Whether a row or removal from before the rollback stays in force although
  /// the store has returned something else.
  bool isRetained(const StoreChange &Earlier) const {
    auto Found = Items_.find(Earlier.Key);
    bool AllCertain = RollbackAt_ == StoreRevision();
    if (Found == Items_.end())
      return !Earlier.Removed && !AllCertain;
    const StoreChange &Returned = Found->second;
    if (AllCertain || Returned.At > RollbackAt_)
      return false;
    // A greater number is none of the copy: the row was written after it.
    if (Returned.At.Number > Earlier.At.Number)
      return false;
    if (Earlier.Removed)
      return true;
    return Returned.Value != Earlier.Value &&
           !isNewerVersion(Returned, Earlier);
  }

  bool isNewerVersion(const StoreChange &Returned,
                      const StoreChange &Earlier) const {
    if (!Hooks_.VersionOf)
      return false;
    auto After = Hooks_.VersionOf(Returned);
    auto Before = Hooks_.VersionOf(Earlier);
    return After && Before && *After > *Before;
  }

  void settleAfter(Duration Delay) {
    SettlingBegunIn_ = AsOf_.Era;
    SettlesAt_ = Runtime_.Now() + Delay;
    checkSettledAfter(Delay);
  }

  /// Rows may have been written again while nothing came from the store, so
  /// retention ends only once something has.
  void checkSettledAfter(Duration Delay) {
    Runtime_.After(Delay, [Weak = weak_from_this()] {
      auto Self = Weak.lock();
      if (!Self || !Self->SettlesAt_ ||
          Self->Runtime_.Now() < *Self->SettlesAt_)
        return;
      if (Self->isInTouch())
        return Self->settled();
      Self->checkSettledAfter(LongestBackoff);
    });
  }

  /// Ends the retention of rows that were not written again.
  void settled() {
    reportRollback(AsOf_, true);
    SettlesAt_.reset();
    RollbackAt_ = {};
    for (const auto &[Key, Row] : std::exchange(Retained_, {}))
      reportIfChanged(
          Key, Row.Removed ? std::nullopt : std::optional(Row.Value), AsOf_);
  }

  void reportRollback(StoreRevision Before, bool Settled) const {
    if (Hooks_.RolledBack)
      Hooks_.RolledBack({Before, AsOf_, Retained_.size(), Settled});
  }

  bool hasChangedSince(const std::string &Key, StoreRevision Since) const {
    if (auto Found = Items_.find(Key); Found != Items_.end())
      return Found->second.At > Since;
    return std::any_of(Removals_.begin(), Removals_.end(),
                       [&](const StoreChange &Removal) {
                         return Removal.Key == Key && Removal.At > Since;
                       });
  }

  /// Takes over rows that another host retains and that this host does not
  /// know, unless the rollback has settled here.
  void adoptRetained(const StoreSnapshot &Got) {
    if (Got.Retained.empty() || Got.AsOf.Era != AsOf_.Era)
      return;
    if (!SettlesAt_ && SettlingBegunIn_ == AsOf_.Era)
      return;
    bool Begins = !SettlesAt_;
    if (Begins) {
      RollbackAt_ = Got.CertainAfter;
      settleAfter(std::min(Got.SettlesIn, RollbackSettleTime));
    }
    for (const StoreChange &Row : Got.Retained) {
      auto Kept = Retained_.find(Row.Key);
      bool Known = Kept != Retained_.end() && Kept->second.At >= Row.At;
      if (Known || hasChangedSince(Row.Key, Got.AsOf))
        continue;
      auto Before = valueInForce(Row.Key);
      Retained_[Row.Key] = Row;
      reportIfChanged(Row.Key, Before, AsOf_);
    }
    if (Begins)
      reportRollback(AsOf_, false);
  }

  Runtime Runtime_;
  StoreMirrorHooks Hooks_;
  /// All rows of the store as of AsOf_, in force or not.
  std::map<std::string, StoreChange> Items_;
  /// The latest removals, complete from RemovalsFrom_ on.
  std::deque<StoreChange> Removals_;
  StoreRevision RemovalsFrom_;
  /// After a rollback of the store: until when rows from before it may be
  /// written again, and those that stay in force meanwhile, removals included.
  std::optional<TimePoint> SettlesAt_;
  std::map<std::string, StoreChange> Retained_;
  /// Rows after it were certainly written after the rollback; zero when all
  /// were.
  StoreRevision RollbackAt_;
  /// The latest era in which such a time has begun.
  std::optional<std::uint64_t> SettlingBegunIn_;
  /// Whether it is following with no call to the store in progress.
  bool Idle_ = false;
  TimePoint LastWatcherReport_{};
  /// A revision that another host has reported, and when first.
  struct ReportedRevision {
    StoreRevision Revision;
    TimePoint Since{};
  };
  /// Those that were missing here, in their order, and the newest.
  std::deque<ReportedRevision> Reported_;
  /// When another host last handed over something new.
  TimePoint LastSnapshot_{};
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
    Impl_->readAgain();
}
void StoreMirror::setFollowing(bool Following) {
  Impl_->setFollowing(Following);
}
bool StoreMirror::isFollowing() const { return Impl_->Following_; }
StoreSnapshot StoreMirror::changesSince(StoreRevision Since) const {
  return Impl_->changesSince(Since);
}
void StoreMirror::readAgain() { Impl_->readAgain(); }
void StoreMirror::applyFromPeer(const StoreSnapshot &Got) {
  Impl_->applyFromPeer(Got);
}
StoreRevision StoreMirror::includedFrom() const {
  return Impl_->includedFrom();
}
bool StoreMirror::isSettling() const { return Impl_->isSettling(); }
StoreRevision StoreMirror::revision() const { return Impl_->AsOf_; }
StoreRevision StoreMirror::lastChange() const { return Impl_->LastChange_; }
bool StoreMirror::isLoaded() const { return Impl_->isLoaded(); }
bool StoreMirror::isCurrent() const { return Impl_->isCurrent(); }
bool StoreMirror::isInContact() const { return Impl_->isInContact(); }
std::optional<TimePoint> StoreMirror::behindSince() const {
  return Impl_->behindSince();
}
StoreRevision StoreMirror::newestReported() const {
  return Impl_->newestReported();
}
void StoreMirror::readChanges(std::function<void(Result<void>)> Done) {
  Impl_->readChanges(std::move(Done));
}
void StoreMirror::readNow(std::function<void(Result<void>)> Done) {
  Impl_->readNow(std::move(Done));
}

} // namespace celerybeam
