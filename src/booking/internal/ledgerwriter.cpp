#include "booking/internal/ledgerwriter.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Bounds the writes of a shard; a burst goes at once.
constexpr double WritesPerSecond = 4;
constexpr double WriteBurst = 4;

bool storeIsAway(const Error &E) {
  return E.Kind == ErrorKind::StoreUnreachable ||
         E.Kind == ErrorKind::StoreOutcomeUnknown;
}

} // namespace

LedgerWriter::LedgerWriter(BookingContext &Context, std::uint32_t Shard)
    : Context_(Context), Key_(ledgerKey(Context.Board, Shard)),
      Tokens_(WriteBurst) {}

std::string LedgerWriter::makeNonce() {
  return Context_.OwnerName + "/" + std::to_string(Context_.Time.Random());
}

bool LedgerWriter::takeToken() {
  TimePoint Now = Context_.Time.Now();
  std::chrono::duration<double> Passed = Now - std::exchange(TokensAt_, Now);
  Tokens_ = std::min(WriteBurst, Tokens_ + Passed.count() * WritesPerSecond);
  if (Tokens_ < 1)
    return false;
  Tokens_ -= 1;
  return true;
}

void LedgerWriter::read(
    Effects &Out, const std::function<void(Result<Stored>, Effects &)> &Done) {
  Busy_ = true;
  LastCall_ = Context_.Time.Now();
  auto Take = [this, Done](const Result<StoreValue> &Value, Effects &Next) {
    Busy_ = false;
    bool Absent = !Value && Value.error().Kind == ErrorKind::NotFound;
    Failing_ = !Value && !Absent;
    if (Failing_) {
      Context_.Contact.failed(Context_.Time.Now());
      Done(tl::unexpected(Value.error()), Next);
      return;
    }
    Context_.Contact.succeeded(Context_.Time.Now());
    Stored S;
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
  Out.add([Get = Context_.Store.Get, Enter = Context_.Enter, Key = Key_,
           Take = std::move(Take)] {
    Get(Key, [Enter, Take](Result<StoreValue> Value) {
      Enter([&](Effects &Next) { Take(Value, Next); });
    });
  });
}

void LedgerWriter::claim(messages::LedgerShard Record, StoreVersion Expected,
                         ChangeNumber Change, Effects &Out,
                         std::function<void(Result<void>, Effects &)> Done) {
  Busy_ = true;
  Record.set_nonce(makeNonce());
  Attempted_ = std::max(Attempted_, Change);
  auto Take = [=, this, Done = std::move(Done)](
                  const Result<StoreVersion> &Answer, Effects &Next) {
    Busy_ = false;
    if (!Answer) {
      if (storeIsAway(Answer.error()))
        Context_.Contact.failed(Context_.Time.Now());
      Done(tl::unexpected(Answer.error()), Next);
      return;
    }
    Context_.Contact.succeeded(Context_.Time.Now());
    Owner_ = Record.owner();
    Epoch_ = Record.epoch();
    Version_ = *Answer;
    Durable_ = Change;
    Attempts_.clear();
    Failing_ = NeedsReadBack_ = false;
    Done({}, Next);
  };
  StorePut Put{Key_, Record.SerializeAsString(), Expected, std::nullopt};
  Out.add([PutHook = Context_.Store.Put, Enter = Context_.Enter, Put, Take] {
    PutHook(Put, [Enter, Take](Result<StoreVersion> Answer) {
      Enter([&](Effects &Next) { Take(Answer, Next); });
    });
  });
}

void LedgerWriter::replace(messages::LedgerShard Record, ChangeNumber Change,
                           Effects &Out,
                           std::function<void(Result<void>, Effects &)> Done) {
  auto Take = [this, Done = std::move(Done)](const Result<void> &Answer,
                                             Effects &Next) {
    if (!Answer) {
      Failing_ = storeIsAway(Answer.error());
      NeedsReadBack_ = true;
    }
    Done(Answer, Next);
  };
  LastCall_ = Context_.Time.Now();
  claim(std::move(Record), Version_, Change, Out, std::move(Take));
}

void LedgerWriter::commit(const messages::LedgerShard &Header,
                          const LedgerTable &Table, Effects &Out) {
  if (Busy_)
    return;
  if (NeedsReadBack_) {
    readBack(Out);
    return;
  }
  if (!takeToken())
    return;
  Busy_ = true;
  LastCall_ = Context_.Time.Now();
  messages::LedgerShard Record = Header;
  std::string Nonce = makeNonce();
  Record.set_nonce(Nonce);
  Table.write(Record);
  Attempted_ = Attempts_[Nonce] = Table.lastChange();
  Owner_ = Record.owner();
  Epoch_ = Record.epoch();
  StorePut Put{Key_, Record.SerializeAsString(), Version_, std::nullopt};
  Out.add(
      [this, PutHook = Context_.Store.Put, Enter = Context_.Enter, Put, Nonce] {
        PutHook(Put, [this, Enter, Nonce](Result<StoreVersion> Answer) {
          Enter([&](Effects &Next) { finishCommit(Answer, Nonce, Next); });
        });
      });
}

void LedgerWriter::finishCommit(const Result<StoreVersion> &Answer,
                                const std::string &Nonce, Effects &Out) {
  Busy_ = false;
  TimePoint Now = Context_.Time.Now();
  if (Answer) {
    Context_.Contact.succeeded(Now);
    Version_ = *Answer;
    Durable_ = std::max(Durable_, Attempts_[Nonce]);
    Attempts_.clear();
    Failing_ = false;
    return;
  }
  if (storeIsAway(Answer.error())) {
    Context_.Contact.failed(Now);
    Failing_ = true;
  }
  NeedsReadBack_ = Answer.error().Kind != ErrorKind::StoreUnreachable;
  if (NeedsReadBack_)
    readBack(Out);
}

void LedgerWriter::verify(Effects &Out) {
  if (!Busy_)
    readBack(Out);
}

void LedgerWriter::readBack(Effects &Out) {
  read(Out, [this](Result<Stored> Read, Effects &Next) {
    if (!Read)
      return;
    NeedsReadBack_ = false;
    const messages::LedgerShard &Record = Read->Record;
    if (Record.owner() != Owner_ || Record.epoch() != Epoch_) {
      if (OnLost)
        OnLost(*Read, Next);
      return;
    }
    Version_ = Read->Version;
    auto It = Attempts_.find(Record.nonce());
    if (It != Attempts_.end())
      Durable_ = std::max(Durable_, It->second);
  });
}

} // namespace celerybeam::detail
