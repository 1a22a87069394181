#ifndef CELERYBEAM_BOOKING_INTERNAL_SHARDOWNER_H
#define CELERYBEAM_BOOKING_INTERNAL_SHARDOWNER_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "booking/internal/bookingcontext.h"
#include "booking/internal/copysender.h"
#include "booking/internal/ledgertable.h"
#include "booking/internal/ledgerwriter.h"
#include "booking/internal/runnercall.h"

namespace celerybeam::detail {

/// Someone who waits for the outcome of a booking.
struct BookingWaiter {
  /// A waiter of the same name replaces an earlier one.
  std::string Name;
  TimePoint Deadline{};
  std::function<void(const Result<BookingOutcome> &, Effects &)> Reply;
};

/// A booking as the owner of its shard takes it.
struct OwnedOrder {
  std::string Key;
  UnixMillis CreatedAt{};
  CustomerId Customer;
  RouteName Route;
  PoolName Pool;
  std::string PayloadDigest;
  RequestHead Head;
  std::shared_ptr<const std::string> Body;
  BookingWaiter Waiter;
};

/// One shard of the region's ledger as this host sees it: claims it, keeps
/// it, and runs its bookings. Not thread-safe.
///
/// A booking is dispatched only when its intent is in the store's record
/// under this owner's epoch or, without the store, when a majority of the
/// region's hosts hold it and are bound to this owner at that moment.
class ShardOwner {
public:
  ShardOwner(BookingContext &Context, std::uint32_t Shard);

  void tick(Effects &Out);
  void book(OwnedOrder Order, Effects &Out);
  void query(const CustomerId &Customer, const std::string &Key,
             const BookingWaiter &Waiter, Effects &Out);
  void copyAcknowledged(const HostId &Peer, const messages::IntentCopyAck &Ack);
  void agreed(const HostId &Peer, const messages::IntentCopyReply &Reply);
  /// A former owner tells the outcome of what it had in flight.
  void outcomesTold(const messages::IntentCopy &Copy);

  bool owned() const { return Phase_ == Phase::Owned; }
  /// Whether this host may agree to another owner of the shard.
  bool mayYield() const;
  /// The owner in the store's record, as last seen; may be empty.
  HostId recordOwner() const;
  /// Whether this host should own the shard.
  bool isCandidate() const;

  /// Gives the shard away once nothing is in flight.
  void release() { Releasing_ = true; }
  bool released() const;

private:
  enum class Phase { Idle, Reading, Asking, Claiming, Owned };

  /// A booking that waits, runs, or has someone waiting for it.
  struct Live {
    OwnedOrder Order;
    std::vector<EndpointId> Excluded;
    Address Where;
    std::vector<BookingWaiter> Waiters;
    AttemptNumber Number = 0;
    bool Pending = false;
    /// Asked again at a runner that checks the key.
    bool Repeat = false;
    /// Set once the outcome is known; told when it is safe.
    std::optional<Result<BookingOutcome>> Outcome;
    TimePoint OutcomeAt{};
  };

  // Owning.
  void look(Effects &Out);
  void judge(const LedgerWriter::Stored &Stored, Effects &Out);
  void ask(Effects &Out);
  void countAgreements(Effects &Out);
  void claim(Effects &Out);
  void claimed(const Result<void> &Answer);
  void lost(const LedgerWriter::Stored &Stored, Effects &Out);
  void giveUp(Effects &Out);
  void raiseEpoch(Effects &Out);
  bool ownerIsGone(const HostId &Owner) const;
  bool copiesMayBeLost() const;
  void keep(Effects &Out);
  void writeThrough(Effects &Out);
  void withoutStore(Effects &Out);
  messages::LedgerShard header() const;
  bool dirty() const { return Table_.lastChange() > Writer_.durable(); }

  // Bookings.
  void bookKnown(LedgerTable::Entry &E, OwnedOrder Order, Effects &Out);
  void bookNew(OwnedOrder Order, Effects &Out);
  bool repeatIsSafe(const LedgerTable::Entry &E, const OwnedOrder &Order) const;
  std::optional<Error> refusal(const OwnedOrder &Order) const;
  bool isSafe(ChangeNumber Change) const;
  void dispatchReady(Effects &Out);
  void dispatch(Live &L, LedgerTable::Entry &E, Effects &Out);
  void finish(const std::string &Key, AttemptNumber Number,
              const RunnerResult &R, Effects &Out);
  void noWorkDone(Live &L, LedgerTable::Entry &E);
  void settle(Live &L, LedgerTable::Entry &E,
              messages::LedgerEntry::State State,
              Result<BookingOutcome> Outcome);
  void withdraw(Live &L, const std::string &Reason, Effects &Out);
  void tellOutcomes(Effects &Out);
  void expireWaiters(Effects &Out);
  void forwardOutcome(const LedgerTable::Entry &E, Effects &Out);
  static void tell(Live &L, const Result<BookingOutcome> &R, Effects &Out);

  BookingContext &Context_;
  std::uint32_t Shard_;
  LedgerTable Table_;
  LedgerWriter Writer_;
  CopySender Copies_;
  Phase Phase_ = Phase::Idle;
  LedgerWriter::Stored Seen_;
  bool Releasing_ = false;
  bool InOutage_ = false;
  /// Intents of an earlier owner may be unknown here: keys made before the
  /// takeover that are not in the ledger may have run.
  bool Doubtful_ = false;
  UnixMillis TakenOverAt_{};
  std::uint64_t Epoch_ = 0;
  /// At least this epoch is needed for peers to take copies.
  std::uint64_t NextEpoch_ = 0;
  TimePoint LookedAt_{};
  TimePoint ForgotAt_{};
  TimePoint AskedAt_{};
  std::uint64_t Query_ = 0;
  std::set<HostId> Agreed_;
  bool AllAgreed_ = false;
  std::map<std::string, Live> Live_;
};

} // namespace celerybeam::detail

#endif
