#include "fleethost/internal/hostannouncer.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

constexpr Duration RetryDelay = std::chrono::milliseconds(1500);

} // namespace

HostAnnouncer::HostAnnouncer(Runtime R, StoreAccess Store, std::string Prefix,
                             std::string Key, std::string Ip, Hooks H)
    : Runtime_(std::move(R)), Store_(std::move(Store)),
      Prefix_(std::move(Prefix)), Key_(std::move(Key)), Ip_(std::move(Ip)),
      Hooks_(std::move(H)) {}

void HostAnnouncer::schedule(Duration D, void (HostAnnouncer::*Then)()) {
  Runtime_.After(D, [Weak = weak_from_this(), Then] {
    if (auto Self = Weak.lock(); Self && !Self->Withdrawn_)
      (Self.get()->*Then)();
  });
}

void HostAnnouncer::scheduleInRound(Duration D, void (HostAnnouncer::*Then)()) {
  Runtime_.After(D, [Weak = weak_from_this(), Then, Round = Round_] {
    auto Self = Weak.lock();
    if (Self && !Self->Withdrawn_ && Self->Round_ == Round)
      (Self.get()->*Then)();
  });
}

void HostAnnouncer::storeRolledBack(std::uint64_t Era) {
  if (Era <= Era_)
    return;
  Era_ = Era;
  if (!Announces_)
    return;
  ++Round_;
  Lease_.reset();
  auto Spread = static_cast<Duration::rep>(
      Runtime_.Random() % static_cast<std::uint64_t>(ReannounceSpread.count()));
  scheduleInRound(Duration(Spread), &HostAnnouncer::announce);
}

void HostAnnouncer::start() { schedule(CheckInterval, &HostAnnouncer::check); }

void HostAnnouncer::check() {
  bool Alone = Hooks_.IsAlone();
  bool Aggregator = Hooks_.IsAggregator();
  if (Aggregator && !std::exchange(Announces_, true))
    announce();
  if (!Alone)
    AloneListInterval_ = CheckInterval;
  if ((Alone || Aggregator) && Runtime_.Now() >= NextList_ && !Listing_) {
    NextList_ = Runtime_.Now() + (Alone ? AloneListInterval_ : MaxListInterval);
    AloneListInterval_ = std::min(2 * AloneListInterval_, MaxListInterval);
    list();
  }
  schedule(CheckInterval, &HostAnnouncer::check);
}

void HostAnnouncer::announce() {
  auto Self = shared_from_this();
  Store_.Grant(TimeToLive, [Self, Round = Round_](Result<LeaseId> Got) {
    if (Self->Withdrawn_ || Self->Round_ != Round)
      return;
    if (!Got)
      return Self->scheduleInRound(RetryDelay, &HostAnnouncer::announce);
    Self->Lease_ = *Got;
    Self->Store_.Put(Self->Key_, Self->Ip_, *Got,
                     [Self, Round](const Result<void> &Put) {
                       if (Self->Round_ == Round)
                         Self->scheduleInRound(Put ? RenewInterval : RetryDelay,
                                               Put ? &HostAnnouncer::renew
                                                   : &HostAnnouncer::announce);
                     });
  });
}

void HostAnnouncer::renew() {
  auto Self = shared_from_this();
  Store_.Renew(*Lease_, [Self, Round = Round_](const Result<void> &Renewed) {
    if (Self->Round_ != Round)
      return;
    if (Renewed)
      return Self->scheduleInRound(RenewInterval, &HostAnnouncer::renew);
    bool Lost = Renewed.error().Kind == ErrorKind::LeaseLost;
    Self->scheduleInRound(RetryDelay, Lost ? &HostAnnouncer::announce
                                           : &HostAnnouncer::renew);
  });
}

void HostAnnouncer::list() {
  auto Self = shared_from_this();
  Listing_ = true;
  // The first read must not miss a host that has just started, so it is not a
  // stale one.
  auto &List = HasListed_ ? Store_.ListStale : Store_.List;
  List(Prefix_, [Self](Result<StoreSnapshot> Got) {
    Self->Listing_ = false;
    if (!Got)
      return;
    Self->HasListed_ = true;
    for (const StoreChange &Entry : Got->Items)
      Self->Hooks_.Found(Entry.Value);
  });
}

void HostAnnouncer::withdraw() {
  Withdrawn_ = true;
  if (Lease_)
    Store_.End(*Lease_, [](const Result<void> &) {});
}

} // namespace celerybeam::detail
