#ifndef CELERYBEAM_BOOKING_INTERNAL_LEDGERWRITER_H
#define CELERYBEAM_BOOKING_INTERNAL_LEDGERWRITER_H

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "booking/internal/bookingcontext.h"
#include "booking/internal/ledgertable.h"

namespace celerybeam::detail {

/// Writes one shard's record by compare-and-swap, many bookings at once, and
/// settles lost replies by reading the record back. Not thread-safe.
class LedgerWriter {
public:
  /// A record as the store has it; without a value when there is none.
  struct Stored {
    messages::LedgerShard Record;
    StoreVersion Version = 0;
  };

  LedgerWriter(BookingContext &Context, std::uint32_t Shard);

  /// Reads the record.
  void read(Effects &Out,
            const std::function<void(Result<Stored>, Effects &)> &Done);

  /// Puts a record in place of the version; the nonce is filled in. The
  /// record has the table's changes up to the one given.
  void claim(messages::LedgerShard Record, StoreVersion Expected,
             ChangeNumber Change, Effects &Out,
             std::function<void(Result<void>, Effects &)> Done);

  /// Puts a record with another epoch or owner in place of its own.
  void replace(messages::LedgerShard Record, ChangeNumber Change, Effects &Out,
               std::function<void(Result<void>, Effects &)> Done);

  /// Starts a write of the table unless one is under way or the rate is
  /// spent.
  void commit(const messages::LedgerShard &Header, const LedgerTable &Table,
              Effects &Out);
  /// Reads the record to see who owns it, unless a call is under way.
  void verify(Effects &Out);

  /// Called when another owner's record stands.
  std::function<void(const Stored &, Effects &)> OnLost;

  bool busy() const { return Busy_; }
  /// The store has all changes up to this one.
  ChangeNumber durable() const { return Durable_; }
  /// Whether the last call failed for want of the store.
  bool failing() const { return Failing_; }
  /// Whether the fate of the last write is open.
  bool needsReadBack() const { return NeedsReadBack_; }
  /// Highest change that was part of any write, successful or not.
  ChangeNumber attempted() const { return Attempted_; }
  TimePoint lastCall() const { return LastCall_; }

private:
  void finishCommit(const Result<StoreVersion> &Answer,
                    const std::string &Nonce, Effects &Out);
  void readBack(Effects &Out);
  bool takeToken();
  std::string makeNonce();

  BookingContext &Context_;
  StoreKey Key_;
  StoreVersion Version_ = 0;
  std::string Owner_;
  std::uint64_t Epoch_ = 0;
  /// Writes since the last certain one, by nonce.
  std::map<std::string, ChangeNumber> Attempts_;
  ChangeNumber Durable_ = 0;
  ChangeNumber Attempted_ = 0;
  bool Busy_ = false;
  bool Failing_ = false;
  bool NeedsReadBack_ = false;
  double Tokens_;
  TimePoint TokensAt_{};
  TimePoint LastCall_{};
};

} // namespace celerybeam::detail

#endif
