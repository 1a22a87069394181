#include "booking/internal/ledgerwriter.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Limit the rate of a shard's writes; a burst is sent without delay.
constexpr double WritesPerSecond = 4;
constexpr double WriteBurst = 4;

bool isStoreUnreachable(const Error &E) {
  return E.Kind == ErrorKind::StoreUnreachable ||
         E.Kind == ErrorKind::StoreOutcomeUnknown;
}

} // namespace

LedgerWriter::LedgerWriter(BookingContext &Context, std::uint32_t Shard)
    : Context_(Context), Key_(ledgerKey(Context.Board, Shard)),
      WriteTokens_(WriteBurst) {}

std::string LedgerWriter::makeNonce() {
  return Context_.OwnerName + "/" + std::to_string(Context_.Time.Random());
}

bool LedgerWriter::takeWriteToken() {
  TimePoint Now = Context_.Time.Now();
  std::chrono::duration<double> Elapsed =
      Now - std::exchange(WriteTokensUpdatedAt_, Now);
  WriteTokens_ =
      std::min(WriteBurst, WriteTokens_ + Elapsed.count() * WritesPerSecond);
  if (WriteTokens_ < 1)
    return false;
  WriteTokens_ -= 1;
  return true;
}

void LedgerWriter::read(
    Effects &Out,
    const std::function<void(Result<StoredRecord>, Effects &)> &Done) {
  Busy_ = true;
  LastCallAt_ = Context_.Time.Now();
  auto HandleResult = [this, Done](const Result<StoreValue> &Value,
                                   Effects &Next) {
    Busy_ = false;
    bool Absent = !Value && Value.error().Kind == ErrorKind::NotFound;
    LastCallFailed_ = !Value && !Absent;
    if (LastCallFailed_) {
      Context_.Reachability.recordFailure(Context_.Time.Now());
      Done(tl::unexpected(Value.error()), Next);
      return;
    }
    Context_.Reachability.recordSuccess(Context_.Time.Now());
    StoredRecord S;
    S.Version = Absent ? 0 : Value->Version;
    if (!Absent && !S.Record.ParseFromString(Value->Data)) {
      Done(makeError(ErrorKind::Internal,
                     "the ledger record " + Key_.str() +
                         " cannot be read; restore it from the platform's "
                         "backup or remove it"),
           Next);
      return;
    }
    Done(std::move(S), Next);
  };
  Out.add([Get = Context_.Store.Get, RunLocked = Context_.RunLocked, Key = Key_,
           HandleResult = std::move(HandleResult)] {
    Get(Key, [RunLocked, HandleResult](Result<StoreValue> Value) {
      RunLocked([&](Effects &Next) { HandleResult(Value, Next); });
    });
  });
}

void LedgerWriter::claim(messages::LedgerShard Record, StoreVersion Expected,
                         ChangeNumber Change, Effects &Out,
                         std::function<void(Result<void>, Effects &)> Done) {
  Busy_ = true;
  Record.set_nonce(makeNonce());
  Attempted_ = std::max(Attempted_, Change);
  auto HandleResult = [=, this, Done = std::move(Done)](
                          const Result<StoreVersion> &Written, Effects &Next) {
    Busy_ = false;
    if (!Written) {
      if (isStoreUnreachable(Written.error()))
        Context_.Reachability.recordFailure(Context_.Time.Now());
      Done(tl::unexpected(Written.error()), Next);
      return;
    }
    Context_.Reachability.recordSuccess(Context_.Time.Now());
    Owner_ = Record.owner();
    Epoch_ = Record.epoch();
    Version_ = *Written;
    Durable_ = Change;
    Attempts_.clear();
    LastCallFailed_ = NeedsReadBack_ = false;
    Done({}, Next);
  };
  StorePut Put{Key_, Record.SerializeAsString(), Expected, std::nullopt};
  Out.add([PutHook = Context_.Store.Put, RunLocked = Context_.RunLocked, Put,
           HandleResult] {
    PutHook(Put, [RunLocked, HandleResult](Result<StoreVersion> Written) {
      RunLocked([&](Effects &Next) { HandleResult(Written, Next); });
    });
  });
}

void LedgerWriter::replace(messages::LedgerShard Record, ChangeNumber Change,
                           Effects &Out,
                           std::function<void(Result<void>, Effects &)> Done) {
  auto HandleResult = [this, Done = std::move(Done)](
                          const Result<void> &Written, Effects &Next) {
    if (!Written) {
      LastCallFailed_ = isStoreUnreachable(Written.error());
      NeedsReadBack_ = true;
    }
    Done(Written, Next);
  };
  LastCallAt_ = Context_.Time.Now();
  claim(std::move(Record), Version_, Change, Out, std::move(HandleResult));
}

void LedgerWriter::commit(const messages::LedgerShard &Header,
                          const LedgerTable &Table, Effects &Out) {
  if (Busy_)
    return;
  if (NeedsReadBack_) {
    readBack(Out);
    return;
  }
  if (!takeWriteToken())
    return;
  Busy_ = true;
  LastCallAt_ = Context_.Time.Now();
  messages::LedgerShard Record = Header;
  std::string Nonce = makeNonce();
  Record.set_nonce(Nonce);
  Table.write(Record);
  Attempted_ = Attempts_[Nonce] = Table.lastChange();
  Owner_ = Record.owner();
  Epoch_ = Record.epoch();
  StorePut Put{Key_, Record.SerializeAsString(), Version_, std::nullopt};
  Out.add([this, PutHook = Context_.Store.Put, RunLocked = Context_.RunLocked,
           Put, Nonce] {
    PutHook(Put, [this, RunLocked, Nonce](Result<StoreVersion> Written) {
      RunLocked([&](Effects &Next) { finishCommit(Written, Nonce, Next); });
    });
  });
}

void LedgerWriter::finishCommit(const Result<StoreVersion> &Written,
                                const std::string &Nonce, Effects &Out) {
  Busy_ = false;
  TimePoint Now = Context_.Time.Now();
  if (Written) {
    Context_.Reachability.recordSuccess(Now);
    Version_ = *Written;
    Durable_ = std::max(Durable_, Attempts_[Nonce]);
    Attempts_.clear();
    LastCallFailed_ = false;
    return;
  }
  if (isStoreUnreachable(Written.error())) {
    Context_.Reachability.recordFailure(Now);
    LastCallFailed_ = true;
  }
  NeedsReadBack_ = Written.error().Kind != ErrorKind::StoreUnreachable;
  if (NeedsReadBack_)
    readBack(Out);
}

void LedgerWriter::verify(Effects &Out) {
  if (!Busy_)
    readBack(Out);
}

void LedgerWriter::readBack(Effects &Out) {
  read(Out, [this](Result<StoredRecord> Read, Effects &Next) {
    if (!Read)
      return;
    NeedsReadBack_ = false;
    const messages::LedgerShard &Record = Read->Record;
    if (Record.owner() != Owner_ || Record.epoch() != Epoch_) {
      if (OnOwnershipLost)
        OnOwnershipLost(*Read, Next);
      return;
    }
    Version_ = Read->Version;
    auto It = Attempts_.find(Record.nonce());
    if (It != Attempts_.end())
      Durable_ = std::max(Durable_, It->second);
  });
}

} // namespace celerybeam::detail
