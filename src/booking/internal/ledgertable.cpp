#include "booking/internal/ledgertable.h"

#include <algorithm>
#include <utility>

#include "framework/uuid7.h"

namespace celerybeam::detail {

namespace {

using State = messages::LedgerEntry;

/// The store accepts values of up to 1 MiB.
constexpr std::size_t MaxRecordBytes = 1000 * 1000UL;
/// Space that a new booking needs in the record, without its response.
constexpr std::size_t BytesPerNewBooking = 1024;

/// Ranks states of one booking: a higher rank is more final.
int stateRank(messages::LedgerEntry::State S) {
  switch (S) {
  case State::INTENT:
    return 0;
  case State::UNKNOWN:
    return 1;
  case State::NOT_RUN:
    return 2;
  case State::DONE:
    return 3;
  default:
    return 0;
  }
}

std::size_t
sizeWithoutResponses(const std::map<std::string, LedgerTable::Entry> &Entries) {
  std::size_t Bytes = 0;
  for (const auto &[Key, E] : Entries)
    Bytes += E.Wire.ByteSizeLong() - E.Wire.answer().size() + 8;
  return Bytes;
}

} // namespace

LedgerTable::Entry *LedgerTable::find(const std::string &Key) {
  auto It = Entries_.find(Key);
  return It == Entries_.end() ? nullptr : &It->second;
}

LedgerTable::Entry &LedgerTable::put(messages::LedgerEntry Wire) {
  Entry &E = Entries_[Wire.key()];
  E.Wire = std::move(Wire);
  markChanged(E);
  return E;
}

void LedgerTable::markChanged(Entry &E) { E.Change = ++LastChange_; }

void LedgerTable::load(const messages::LedgerShard &Record) {
  std::erase_if(Entries_,
                [](const auto &Item) { return !Item.second.Dispatched; });
  for (const messages::LedgerEntry &Wire : Record.entries()) {
    Entry *Known = find(Wire.key());
    if (Known != nullptr &&
        (Known->InFlight ||
         stateRank(Known->Wire.state()) >= stateRank(Wire.state())))
      continue;
    messages::LedgerEntry Loaded = Wire;
    if (Loaded.state() == State::INTENT)
      Loaded.set_state(State::UNKNOWN);
    put(std::move(Loaded));
  }
}

bool LedgerTable::merge(const messages::LedgerEntry &Copy) {
  messages::LedgerEntry Reported = Copy;
  if (Reported.state() == State::INTENT)
    Reported.set_state(State::UNKNOWN);
  Entry *Known = find(Reported.key());
  if (Known != nullptr && (Known->InFlight || stateRank(Known->Wire.state()) >=
                                                  stateRank(Reported.state())))
    return false;
  put(std::move(Reported));
  return true;
}

void LedgerTable::write(messages::LedgerShard &Record) const {
  std::size_t FreeBytes = MaxRecordBytes;
  FreeBytes -= std::min(FreeBytes, sizeWithoutResponses(Entries_));
  std::vector<messages::LedgerEntry> NewestFirst;
  NewestFirst.reserve(Entries_.size());
  for (auto It = Entries_.rbegin(); It != Entries_.rend(); ++It) {
    messages::LedgerEntry Wire = It->second.Wire;
    if (Wire.answer().size() <= FreeBytes)
      FreeBytes -= Wire.answer().size();
    else
      Wire.clear_answer();
    NewestFirst.push_back(std::move(Wire));
  }
  for (auto It = NewestFirst.rbegin(); It != NewestFirst.rend(); ++It)
    *Record.add_entries() = std::move(*It);
}

bool LedgerTable::hasSpace() const {
  return sizeWithoutResponses(Entries_) + BytesPerNewBooking <= MaxRecordBytes;
}

std::vector<messages::LedgerEntry>
LedgerTable::changedSince(ChangeNumber After, std::size_t MaxEntries,
                          ChangeNumber &UpTo) const {
  std::vector<const Entry *> Changed;
  for (const auto &[Key, E] : Entries_)
    if (E.Change > After)
      Changed.push_back(&E);
  std::sort(Changed.begin(), Changed.end(), [](const Entry *L, const Entry *R) {
    return L->Change < R->Change;
  });
  UpTo = LastChange_;
  if (Changed.size() > MaxEntries) {
    Changed.resize(MaxEntries);
    UpTo = Changed.back()->Change;
  }
  std::vector<messages::LedgerEntry> Copies;
  Copies.reserve(Changed.size());
  for (const Entry *E : Changed)
    Copies.push_back(E->Wire);
  return Copies;
}

void LedgerTable::forget(UnixMillis CreatedBefore) {
  while (!Entries_.empty()) {
    auto Oldest = Entries_.begin();
    Result<Uuid7> Key = Uuid7::parse(Oldest->first);
    if (Oldest->second.InFlight || (Key && Key->createdAt() >= CreatedBefore))
      return;
    Entries_.erase(Oldest);
  }
}

} // namespace celerybeam::detail
