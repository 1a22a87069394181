#include "configuration/internal/revisionreader.h"

#include <mutex>
#include <optional>
#include <utility>

#include "framework/digest.h"

namespace celerybeam::detail {

namespace {

// Maximum number of chunk reads in flight.
constexpr std::size_t ParallelReads = 8;

Result<std::string> verified(const ChunkId &Id, Result<StoreValue> Reply) {
  if (!Reply)
    return tl::make_unexpected(std::move(Reply.error()));
  if (sha256Hex(Reply->Data) != Id.str())
    return makeError(ErrorKind::InvalidTable,
                     "The value under " + chunkKey(Id).str() +
                         " does not fit its address; apply the tables again.");
  return std::move(Reply->Data);
}

/// Reads one revision; stays alive until its last store call has ended.
class RevisionRead : public std::enable_shared_from_this<RevisionRead> {
public:
  RevisionRead(StoreHooks Store, std::shared_ptr<const ChunkCache> Cache,
               Completion<ReadRevision> Done)
      : Store_(std::move(Store)), Cache_(std::move(Cache)),
        Done_(std::move(Done)) {}

  void start(const ChunkId &Record) {
    Store_.Get(chunkKey(Record),
               [Self = shared_from_this(), Record](Result<StoreValue> Reply) {
                 Self->takeRecord(verified(Record, std::move(Reply)));
               });
  }

private:
  void takeRecord(Result<std::string> Data) {
    if (!Data)
      return Done_(tl::make_unexpected(Data.error()));
    Result<RevisionRecord> Record = decodeRecord(*Data);
    if (!Record)
      return Done_(tl::make_unexpected(Record.error()));
    Record_ = std::move(*Record);
    for (const auto *Ids : {&Record_.Routes, &Record_.Pools})
      for (const ChunkId &Id : *Ids)
        if (!takeCached(Id))
          Unread_.push_back(Id);
    startReads();
  }

  bool takeCached(const ChunkId &Id) {
    if (!Cache_)
      return false;
    auto It = Cache_->find(Id);
    if (It == Cache_->end())
      return false;
    Chunks_.insert(*It);
    return true;
  }

  /// Starts reads up to the limit, or finishes when all have ended.
  void startReads() {
    std::vector<ChunkId> Next;
    bool Complete = false;
    {
      std::lock_guard Lock(Mutex_);
      while (!Unread_.empty() && ReadsInFlight_ < ParallelReads) {
        Next.push_back(std::move(Unread_.back()));
        Unread_.pop_back();
        ++ReadsInFlight_;
      }
      Complete = Next.empty() && ReadsInFlight_ == 0 && !Ended_;
      Ended_ = Ended_ || Complete;
    }
    for (const ChunkId &Id : Next)
      Store_.Get(chunkKey(Id),
                 [Self = shared_from_this(), Id](Result<StoreValue> Reply) {
                   Self->takeChunk(Id, verified(Id, std::move(Reply)));
                 });
    if (Complete)
      finish();
  }

  void takeChunk(const ChunkId &Id, Result<std::string> Data) {
    bool Failed = false;
    {
      std::lock_guard Lock(Mutex_);
      --ReadsInFlight_;
      if (Ended_)
        return;
      if (Data)
        Chunks_.emplace(Id, std::move(*Data));
      Failed = Ended_ = !Data;
    }
    if (Failed)
      return Done_(tl::make_unexpected(Data.error()));
    startReads();
  }

  void finish() {
    ReadRevision Read;
    Read.Content.Number = Record_.Number;
    Read.Content.Digest = Record_.Digest;
    Result<void> Added = addRows(Record_.Routes, Read.Content.Rows.Routes);
    if (Added)
      Added = addRows(Record_.Pools, Read.Content.Rows.Pools);
    if (!Added)
      return Done_(tl::make_unexpected(Added.error()));
    Read.Record = std::move(Record_);
    Read.Chunks = std::make_shared<const ChunkCache>(std::move(Chunks_));
    Done_(std::move(Read));
  }

  Result<void> addRows(const std::vector<ChunkId> &Ids, RowTexts &Rows) {
    for (const ChunkId &Id : Ids) {
      Result<void> Added = addChunkRows(Chunks_.at(Id), Rows);
      if (!Added)
        return Added;
    }
    return {};
  }

  StoreHooks Store_;
  std::shared_ptr<const ChunkCache> Cache_;
  Completion<ReadRevision> Done_;
  RevisionRecord Record_;
  std::mutex Mutex_;
  std::vector<ChunkId> Unread_;
  std::size_t ReadsInFlight_ = 0;
  bool Ended_ = false;
  ChunkCache Chunks_;
};

} // namespace

void readRevision(const StoreHooks &Store, const ChunkId &Record,
                  std::shared_ptr<const ChunkCache> Cache,
                  Completion<ReadRevision> Done) {
  std::make_shared<RevisionRead>(Store, std::move(Cache), std::move(Done))
      ->start(Record);
}

} // namespace celerybeam::detail
