#ifndef CELERYBEAM_BOOKING_INTERNAL_LEDGERTABLE_H
#define CELERYBEAM_BOOKING_INTERNAL_LEDGERTABLE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "framework/runtime.h"
#include "messages/peer.pb.h"

namespace celerybeam::detail {

/// Counts the changes of a ledger table, from 1.
using ChangeNumber = std::uint64_t;

/// The bookings of one ledger shard in memory. Each change of an entry gets a
/// number, so that "the store has it" and "a peer has it" are one comparison.
/// Not thread-safe.
class LedgerTable {
public:
  struct Entry {
    messages::LedgerEntry Wire;
    ChangeNumber Change = 0;
    /// A call to a runner was started by this process.
    bool Dispatched = false;
    /// Its fate: no answer has come yet.
    bool InFlight = false;
  };

  Entry *find(const std::string &Key);
  /// Inserts or replaces; the entry counts as changed.
  Entry &put(messages::LedgerEntry Wire);
  /// The entry was changed in place.
  void touch(Entry &E);
  void erase(const std::string &Key) { Entries_.erase(Key); }

  ChangeNumber lastChange() const { return LastChange_; }

  /// Takes the entries of the store's record. Intents become Unknown unless
  /// this process itself has them in flight; what this process dispatched
  /// and knows better stays.
  void load(const messages::LedgerShard &Record);
  /// Merges an entry that a peer kept; true when it told more than was known.
  bool merge(const messages::LedgerEntry &Copy);

  /// Writes the entries into a record, within the store's size limit. When
  /// room is short the answers of the oldest go first; their outcomes stay.
  void write(messages::LedgerShard &Record) const;
  /// Whether a new booking still fits.
  bool hasRoom() const;
  /// Entries that changed after a number, oldest change first.
  std::vector<messages::LedgerEntry>
  changedSince(ChangeNumber After, std::size_t Most, ChangeNumber &UpTo) const;
  /// Drops entries whose key is older than the time, but those in flight.
  void forget(UnixMillis CreatedBefore);

  std::map<std::string, Entry> &entries() { return Entries_; }

private:
  /// By key, which for a UUIDv7 is by age.
  std::map<std::string, Entry> Entries_;
  ChangeNumber LastChange_ = 0;
};

} // namespace celerybeam::detail

#endif
