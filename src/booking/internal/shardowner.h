#ifndef CELERYBEAM_BOOKING_INTERNAL_SHARDOWNER_H
#define CELERYBEAM_BOOKING_INTERNAL_SHARDOWNER_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "booking/internal/bookingcontext.h"
#include "booking/internal/intentreplicator.h"
#include "booking/internal/ledgertable.h"
#include "booking/internal/ledgerwriter.h"
#include "booking/internal/runnercall.h"

namespace celerybeam::detail {

/// A request, of this or another host, that waits for the outcome of a
/// booking.
struct BookingWaiter {
  /// Identifies the request. A waiter replaces an earlier one with the same
  /// name.
  std::string Name;
  TimePoint Deadline{};
  std::function<void(const Result<BookingOutcome> &, Effects &)> Reply;
};

/// A booking in the form in which the owner of its shard receives it.
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

/// Manages one shard of the region's ledger on this host: claims it when this
/// host should own it, writes it to the store, and runs its bookings. Not
/// thread-safe.
///
/// A booking is dispatched only when its intent is in the store's record
/// under this owner's epoch or, during a store outage, when a majority of the
/// region's hosts have it and are currently bound to this owner.
class ShardOwner {
public:
  ShardOwner(BookingContext &Context, std::uint32_t Shard);

  void tick(Effects &Out);
  void book(OwnedOrder Order, Effects &Out);
  void query(const CustomerId &Customer, const std::string &Key,
             const BookingWaiter &Waiter, Effects &Out);
  void handleCopyAck(const HostId &Peer, const messages::IntentCopyAck &Ack);
  void handleTakeoverReply(const HostId &Peer,
                           const messages::IntentCopyReply &Reply);
  /// Merges outcomes that a former owner reports for its bookings in flight.
  void mergeReportedOutcomes(const messages::IntentCopy &Copy);

  bool isOwner() const { return Phase_ == Phase::Owned; }
  /// Whether this host may agree to another owner of the shard.
  bool mayAgreeToTakeover() const;
  /// The owner in the store's record as last read; may be empty.
  HostId recordOwner() const;
  /// Whether this host should own the shard.
  bool shouldOwn() const;

  /// Starts giving up ownership; it is given up once nothing is in flight.
  void release() { Releasing_ = true; }
  bool isReleased() const;

private:
  /// State of this host's ownership of the shard.
  enum class Phase { Idle, Reading, AwaitingAgreement, Claiming, Owned };

  /// A booking that awaits dispatch, is running or has waiters.
  struct ActiveBooking {
    OwnedOrder Order;
    std::vector<EndpointId> Excluded;
    Address Where;
    std::vector<BookingWaiter> Waiters;
    AttemptNumber Attempt = 0;
    bool AwaitsDispatch = false;
    /// Repeats an earlier call, at a runner that checks the key.
    bool IsRepeat = false;
    /// Set once the outcome is known. Errors are sent to the waiters at once,
    /// other outcomes once they are committed. A response may be sent earlier,
    /// at a waiter's deadline or during a store outage; "not run" may not.
    std::optional<Result<BookingOutcome>> Outcome;
    TimePoint OutcomeAt{};
  };

  // Ownership of the shard.
  void checkRecord(Effects &Out);
  void evaluateRecord(const LedgerWriter::StoredRecord &Stored, Effects &Out);
  void requestAgreement(Effects &Out);
  void countAgreements(Effects &Out);
  void claim(Effects &Out);
  void onClaimed(const Result<void> &Claimed);
  void onOwnershipLost(const LedgerWriter::StoredRecord &Stored, Effects &Out);
  void stopOwning(Effects &Out);
  void raiseEpoch(Effects &Out);
  bool isOwnerGone(const HostId &Owner) const;
  bool mayMissCopies() const;
  void maintain(Effects &Out);
  void writeToStore(Effects &Out);
  void replicateDuringOutage(Effects &Out);
  messages::LedgerShard recordHeader() const;
  bool hasUnwrittenChanges() const {
    return Table_.lastChange() > Writer_.durable();
  }

  // Bookings.
  void bookKnownKey(LedgerTable::Entry &E, OwnedOrder Order, Effects &Out);
  void bookNewKey(OwnedOrder Order, Effects &Out);
  bool isRepeatSafe(const LedgerTable::Entry &E, const OwnedOrder &Order) const;
  std::optional<Error> refusalFor(const OwnedOrder &Order) const;
  bool isCommitted(ChangeNumber Change) const;
  void dispatchReady(Effects &Out);
  void dispatch(ActiveBooking &Booking, LedgerTable::Entry &E, Effects &Out);
  void finishCall(const std::string &Key, AttemptNumber Attempt,
                  const RunnerResult &R, Effects &Out);
  void handleNoWork(ActiveBooking &Booking, LedgerTable::Entry &E);
  void setOutcome(ActiveBooking &Booking, LedgerTable::Entry &E,
                  messages::LedgerEntry::State State,
                  Result<BookingOutcome> Outcome);
  void withdraw(ActiveBooking &Booking, const std::string &Reason,
                Effects &Out);
  void deliverOutcomes(Effects &Out);
  void expireWaiters(Effects &Out);
  void sendOutcomeToOwner(const LedgerTable::Entry &E, Effects &Out);
  static void replyToWaiters(ActiveBooking &Booking,
                             const Result<BookingOutcome> &R, Effects &Out);

  BookingContext &Context_;
  std::uint32_t Shard_;
  LedgerTable Table_;
  LedgerWriter Writer_;
  IntentReplicator Replicator_;
  Phase Phase_ = Phase::Idle;
  LedgerWriter::StoredRecord LastRecord_;
  bool Releasing_ = false;
  bool InOutage_ = false;
  /// This host may lack intents of an earlier owner, so keys that were created
  /// before the takeover and are not in the ledger may have run.
  bool MayMissIntents_ = false;
  UnixMillis TakenOverAt_{};
  std::uint64_t Epoch_ = 0;
  /// Peers refuse copies with a lower epoch than this.
  std::uint64_t MinEpoch_ = 0;
  TimePoint LastCheckAt_{};
  TimePoint LastForgetAt_{};
  /// When agreements were last requested or a claim was last sent.
  TimePoint RequestedAt_{};
  std::uint64_t TakeoverQuery_ = 0;
  std::set<HostId> AgreedPeers_;
  bool AllAgreed_ = false;
  std::map<std::string, ActiveBooking> ActiveBookings_;
};

} // namespace celerybeam::detail

#endif
