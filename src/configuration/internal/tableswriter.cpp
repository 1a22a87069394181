#include "configuration/tableswriter.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "configuration/internal/applyoperation.h"
#include "configuration/internal/revisionreader.h"
#include "configuration/internal/storeretry.h"

namespace celerybeam {

namespace {

using detail::HeadState;
using detail::ReadRevision;
using detail::StoreRetry;

using Marks = std::vector<RevisionMark>;

RevisionMark markOf(const ChunkId &Id, const RevisionRecord &Record) {
  return {Record.Number, Record.Digest,   Id, "",
          Record.Author, Record.WrittenAt};
}

/// Extends marks with older ones by following records to their parents.
/// \param IsEnough  returns true when the marks need no further extension.
void extendHistory(const StoreRetry &Store, Marks Known, const ChunkId &Next,
                   const std::function<bool(const Marks &)> &IsEnough,
                   const Completion<Marks> &Done) {
  if (Next.empty() || IsEnough(Known))
    return Done(std::move(Known));
  auto OnRecord = [=](const Result<StoreValue> &Reply) {
    if (!Reply)
      return Done(tl::make_unexpected(Reply.error()));
    Result<RevisionRecord> Record = decodeRecord(Reply->Data);
    if (!Record)
      return Done(tl::make_unexpected(Record.error()));
    Marks Longer = Known;
    // The record of the oldest known mark is read only for its parent.
    if (Longer.back().Record != Next)
      Longer.push_back(markOf(Next, *Record));
    extendHistory(Store, std::move(Longer), Record->Parent, IsEnough, Done);
  };
  Store.get(chunkKey(Next), std::move(OnRecord));
}

} // namespace

class TablesWriter::Impl {
public:
  Impl(StoreHooks Store, Runtime R) : Store_(std::move(Store), std::move(R)) {}

  void marks(std::function<bool(const Marks &)> IsEnough,
             Completion<Marks> Done) const {
    Store_.getHead([Store = Store_, IsEnough = std::move(IsEnough),
                    Done = std::move(Done)](Result<HeadState> Reply) {
      if (!Reply)
        return Done(tl::make_unexpected(Reply.error()));
      if (!Reply->Head)
        return Done(Marks());
      Marks Known = std::move(Reply->Head->History);
      Known.insert(Known.begin(), Reply->Head->Current);
      ChunkId Oldest = Known.back().Record;
      extendHistory(Store, std::move(Known), Oldest, IsEnough, Done);
    });
  }

  StoreRetry Store_;
};

TablesWriter::TablesWriter(StoreHooks Store, Runtime R)
    : Impl_(std::make_unique<Impl>(std::move(Store), std::move(R))) {}
TablesWriter::~TablesWriter() = default;

void TablesWriter::read(Completion<StoredTables> Done) {
  Impl_->Store_.getHead([Store = Impl_->Store_.retrying(),
                         Done = std::move(Done)](Result<HeadState> Reply) {
    if (!Reply)
      return Done(tl::make_unexpected(Reply.error()));
    if (!Reply->Head)
      return Done(StoredTables());
    RevisionMark Mark = Reply->Head->Current;
    detail::readRevision(Store, Mark.Record, nullptr,
                         [Mark, Done](Result<ReadRevision> Read) {
                           if (!Read)
                             return Done(tl::make_unexpected(Read.error()));
                           Done(StoredTables{std::move(Read->Content), Mark});
                         });
  });
}

void TablesWriter::readRecord(const ChunkId &Record,
                              Completion<TablesRevision> Done) {
  detail::readRevision(Impl_->Store_.retrying(), Record, nullptr,
                       [Done = std::move(Done)](Result<ReadRevision> Read) {
                         if (!Read)
                           return Done(tl::make_unexpected(Read.error()));
                         Done(std::move(Read->Content));
                       });
}

void TablesWriter::apply(ApplyRequest Request, Completion<ApplyOutcome> Done) {
  std::make_shared<detail::ApplyOperation>(Impl_->Store_, std::move(Request),
                                           std::move(Done))
      ->start();
}

void TablesWriter::rollback(Revision To, std::string Author,
                            Completion<ApplyOutcome> Done) {
  auto Reached = [To](const Marks &Known) {
    return !Known.empty() && Known.back().Number <= To;
  };
  auto OnMarks = [Store = Impl_->Store_, To, Author = std::move(Author),
                  Done = std::move(Done)](Result<Marks> Known) {
    if (!Known)
      return Done(tl::make_unexpected(Known.error()));
    auto It = std::find_if(Known->begin(), Known->end(),
                           [&](const auto &M) { return M.Number == To; });
    if (It == Known->end())
      return Done(makeError(ErrorKind::NotFound,
                            "There is no revision " + std::to_string(To) +
                                "; celerybeamctl history lists them."));
    auto OnBase = [=, Wanted = It->Record](Result<ReadRevision> Base) {
      if (!Base)
        return Done(tl::make_unexpected(Base.error()));
      auto OnTarget = [=, BaseRows = std::move(Base->Content.Rows)](
                          Result<ReadRevision> Target) {
        if (!Target)
          return Done(tl::make_unexpected(Target.error()));
        ApplyRequest Request{BaseRows, std::move(Target->Content.Rows), Author};
        std::make_shared<detail::ApplyOperation>(Store, std::move(Request),
                                                 Done)
            ->start();
      };
      detail::readRevision(Store.retrying(), Wanted, Base->Chunks, OnTarget);
    };
    detail::readRevision(Store.retrying(), Known->front().Record, nullptr,
                         OnBase);
  };
  Impl_->marks(Reached, std::move(OnMarks));
}

void TablesWriter::history(std::size_t Limit, Completion<Marks> Done) {
  auto Enough = [Limit](const Marks &Known) { return Known.size() >= Limit; };
  Impl_->marks(Enough, [Limit, Done = std::move(Done)](Result<Marks> Known) {
    if (Known)
      Known->resize(std::min(Known->size(), Limit));
    Done(std::move(Known));
  });
}

} // namespace celerybeam
