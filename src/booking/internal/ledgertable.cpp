#include "booking/internal/ledgertable.h"

#include <algorithm>
#include <utility>

#include "framework/uuid7.h"

namespace celerybeam::detail {

namespace {

using State = messages::LedgerEntry;

/// The store holds values up to 1 MiB.
constexpr std::size_t MaxRecordBytes = 1000 * 1000UL;
constexpr std::size_t RoomForBooking = 1024;

/// Which of two accounts of one booking tells more.
int knowledge(messages::LedgerEntry::State S) {
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
sizeWithoutAnswers(const std::map<std::string, LedgerTable::Entry> &Entries) {
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
  touch(E);
  return E;
}

void LedgerTable::touch(Entry &E) { E.Change = ++LastChange_; }

void LedgerTable::load(const messages::LedgerShard &Record) {
  std::erase_if(Entries_,
                [](const auto &Item) { return !Item.second.Dispatched; });
  for (const messages::LedgerEntry &Wire : Record.entries()) {
    Entry *Own = find(Wire.key());
    if (Own != nullptr && (Own->InFlight || knowledge(Own->Wire.state()) >=
                                                knowledge(Wire.state())))
      continue;
    messages::LedgerEntry Loaded = Wire;
    if (Loaded.state() == State::INTENT)
      Loaded.set_state(State::UNKNOWN);
    put(std::move(Loaded));
  }
}

bool LedgerTable::merge(const messages::LedgerEntry &Copy) {
  messages::LedgerEntry Heard = Copy;
  if (Heard.state() == State::INTENT)
    Heard.set_state(State::UNKNOWN);
  Entry *Own = find(Heard.key());
  if (Own != nullptr && (Own->InFlight || knowledge(Own->Wire.state()) >=
                                              knowledge(Heard.state())))
    return false;
  put(std::move(Heard));
  return true;
}

void LedgerTable::write(messages::LedgerShard &Record) const {
  std::size_t Room = MaxRecordBytes;
  Room -= std::min(Room, sizeWithoutAnswers(Entries_));
  std::vector<messages::LedgerEntry> NewestFirst;
  NewestFirst.reserve(Entries_.size());
  for (auto It = Entries_.rbegin(); It != Entries_.rend(); ++It) {
    messages::LedgerEntry Wire = It->second.Wire;
    if (Wire.answer().size() <= Room)
      Room -= Wire.answer().size();
    else
      Wire.clear_answer();
    NewestFirst.push_back(std::move(Wire));
  }
  for (auto It = NewestFirst.rbegin(); It != NewestFirst.rend(); ++It)
    *Record.add_entries() = std::move(*It);
}

bool LedgerTable::hasRoom() const {
  return sizeWithoutAnswers(Entries_) + RoomForBooking <= MaxRecordBytes;
}

std::vector<messages::LedgerEntry>
LedgerTable::changedSince(ChangeNumber After, std::size_t Most,
                          ChangeNumber &UpTo) const {
  std::vector<const Entry *> Changed;
  for (const auto &[Key, E] : Entries_)
    if (E.Change > After)
      Changed.push_back(&E);
  std::sort(Changed.begin(), Changed.end(), [](const Entry *L, const Entry *R) {
    return L->Change < R->Change;
  });
  UpTo = LastChange_;
  if (Changed.size() > Most) {
    Changed.resize(Most);
    UpTo = Changed.back()->Change;
  }
  std::vector<messages::LedgerEntry> Out;
  Out.reserve(Changed.size());
  for (const Entry *E : Changed)
    Out.push_back(E->Wire);
  return Out;
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
