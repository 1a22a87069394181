#ifndef CELERYBEAM_BOOKING_INTERNAL_LEDGERTABLE_H
#define CELERYBEAM_BOOKING_INTERNAL_LEDGERTABLE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "framework/runtime.h"
#include "messages/peer.pb.h"

namespace celerybeam::detail {

/// Number of a change of a ledger table, starting at 1.
using ChangeNumber = std::uint64_t;

/// Holds the bookings of one ledger shard in memory. Each change of an entry
/// gets a number, so that one comparison shows whether the store or a peer has
/// it. Not thread-safe.
class LedgerTable {
public:
  /// A booking with its wire form and the number of its last change.
  struct Entry {
    messages::LedgerEntry Wire;
    ChangeNumber Change = 0;
    /// This process has started a call to a runner.
    bool Dispatched = false;
    /// That call has not ended yet.
    bool InFlight = false;
  };

  Entry *find(const std::string &Key);
  /// Inserts or replaces the entry and numbers the change.
  Entry &put(messages::LedgerEntry Wire);
  /// Numbers a change that was made to the entry in place.
  void markChanged(Entry &E);
  void erase(const std::string &Key) { Entries_.erase(Key); }

  ChangeNumber lastChange() const { return LastChange_; }

  /// Replaces the entries by those of the store's record, with its intents
  /// changed to Unknown. Entries that this process dispatched are kept, unless
  /// they are not in flight and the record has a more final state.
  void load(const messages::LedgerShard &Record);
  /// Merges an entry that a peer reported. Returns true when its state is more
  /// final than the known one.
  bool merge(const messages::LedgerEntry &Copy);

  /// Writes the entries into a record, within the store's size limit. If they
  /// do not fit, the responses of the oldest are left out first; their
  /// outcomes are always written.
  void write(messages::LedgerShard &Record) const;
  /// Whether a new booking fits within the store's size limit.
  bool hasSpace() const;
  /// Returns entries changed after the number, oldest change first. UpTo is
  /// the last change that they cover.
  std::vector<messages::LedgerEntry> changedSince(ChangeNumber After,
                                                  std::size_t MaxEntries,
                                                  ChangeNumber &UpTo) const;
  /// Removes entries whose key was created before the time, stopping at the
  /// first that is in flight.
  void forget(UnixMillis CreatedBefore);

  std::map<std::string, Entry> &entries() { return Entries_; }

private:
  /// Sorted by key, which for a UUIDv7 means by age.
  std::map<std::string, Entry> Entries_;
  ChangeNumber LastChange_ = 0;
};

} // namespace celerybeam::detail

#endif
