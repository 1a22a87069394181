#ifndef CELERYBEAM_BOOKING_INTERNAL_LEDGERWRITER_H
#define CELERYBEAM_BOOKING_INTERNAL_LEDGERWRITER_H

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "booking/internal/bookingcontext.h"
#include "booking/internal/ledgertable.h"

namespace celerybeam::detail {

/// Writes the record of one shard by compare-and-swap, many bookings at a
/// time. After a lost reply it reads the record back to see whether the write
/// succeeded. Not thread-safe.
class LedgerWriter {
public:
  /// A record as read from the store; empty, with version 0, when there is
  /// none.
  struct StoredRecord {
    messages::LedgerShard Record;
    StoreVersion Version = 0;
  };

  LedgerWriter(BookingContext &Context, std::uint32_t Shard);

  /// Reads the record.
  void read(Effects &Out,
            const std::function<void(Result<StoredRecord>, Effects &)> &Done);

  /// Writes a record if the store has the expected version; sets the nonce.
  /// The record contains the table's changes up to Change.
  void claim(messages::LedgerShard Record, StoreVersion Expected,
             ChangeNumber Change, Effects &Out,
             std::function<void(Result<void>, Effects &)> Done);

  /// Replaces this owner's record by one with another epoch or owner.
  void replace(messages::LedgerShard Record, ChangeNumber Change, Effects &Out,
               std::function<void(Result<void>, Effects &)> Done);

  /// Starts writing the table, unless a call is under way or the write rate
  /// limit is reached. Only reads the record back if it is unknown whether the
  /// last write succeeded.
  void commit(const messages::LedgerShard &Header, const LedgerTable &Table,
              Effects &Out);
  /// Reads the record to check its owner, unless a call is under way.
  void verify(Effects &Out);

  /// Called when the stored record has another owner or epoch.
  std::function<void(const StoredRecord &, Effects &)> OnOwnershipLost;

  bool busy() const { return Busy_; }
  /// The last change up to which the store has all changes.
  ChangeNumber durable() const { return Durable_; }
  /// Whether the last call failed because the store was not reached.
  bool lastCallFailed() const { return LastCallFailed_; }
  /// Whether it is unknown if the last write succeeded.
  bool needsReadBack() const { return NeedsReadBack_; }
  /// The highest change that was part of any write, successful or not.
  ChangeNumber attempted() const { return Attempted_; }
  TimePoint lastCallAt() const { return LastCallAt_; }

private:
  void finishCommit(const Result<StoreVersion> &Written,
                    const std::string &Nonce, Effects &Out);
  void readBack(Effects &Out);
  bool takeWriteToken();
  std::string makeNonce();

  BookingContext &Context_;
  StoreKey Key_;
  StoreVersion Version_ = 0;
  std::string Owner_;
  std::uint64_t Epoch_ = 0;
  /// Last change of each write since the last one known to have succeeded,
  /// by nonce.
  std::map<std::string, ChangeNumber> Attempts_;
  ChangeNumber Durable_ = 0;
  ChangeNumber Attempted_ = 0;
  bool Busy_ = false;
  bool LastCallFailed_ = false;
  bool NeedsReadBack_ = false;
  double WriteTokens_;
  TimePoint WriteTokensUpdatedAt_{};
  TimePoint LastCallAt_{};
};

} // namespace celerybeam::detail

#endif
