#include "configuration/internal/applyoperation.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace celerybeam::detail {

namespace {

// Rounds of reading, merging and writing after which an edit fails.
constexpr int MaxRounds = 16;

std::string makeNonce(const Runtime &R) {
  return std::to_string(R.Random()) + "-" + std::to_string(R.Random());
}

std::chrono::seconds wallSeconds(const Runtime &R) {
  return std::chrono::duration_cast<std::chrono::seconds>(R.WallNow());
}

bool isSameChange(const RevisionMark &Mark, const RevisionMark &Own) {
  return Mark.Number == Own.Number && Mark.Nonce == Own.Nonce;
}

std::string describeConflicts(const std::vector<RowChange> &Conflicts,
                              const RevisionMark &Theirs) {
  std::string Text = "Revision " + std::to_string(Theirs.Number) + " by " +
                     Theirs.Author + " changed the same rows:";
  for (const RowChange &Row : Conflicts) {
    Text += Row.Table == TableKind::Routes ? "\nroute " : "\npool ";
    Text += Row.Name + "\n--- in force\n";
    Text += Row.Before.empty() ? "(removed)\n" : Row.Before;
    Text += "--- yours\n";
    Text += Row.After.empty() ? "(removed)\n" : Row.After;
  }
  return Text + "Get the tables again, repeat the edit and apply.";
}

std::vector<ChunkId> idsOf(const std::vector<Chunk> &Chunks) {
  std::vector<ChunkId> Ids;
  Ids.reserve(Chunks.size());
  for (const Chunk &Each : Chunks)
    Ids.push_back(Each.Id);
  return Ids;
}

void addNew(const std::vector<Chunk> &Chunks, const ChunkCache *Written,
            std::vector<Chunk> &New) {
  for (const Chunk &Each : Chunks)
    if (!Written || !Written->contains(Each.Id))
      New.push_back(Each);
}

// Returns a route for bookings whose home region differs between the tables.
std::optional<RouteName> routeWithNewHomeRegion(const TableRows &Before,
                                                const Tables &After) {
  CheckedTables Old = parseTables(textsOf(Before));
  if (!Old)
    return std::nullopt;
  for (const RouteRow &Route : After.Routes) {
    const RouteRow *Earlier = Old->findRoute(Route.Name);
    bool TakesBookings = Earlier && !Earlier->Repeatable && !Route.Repeatable;
    if (TakesBookings && Earlier->ResidenceRegion != Route.ResidenceRegion)
      return Route.Name;
  }
  return std::nullopt;
}

} // namespace

ApplyOperation::ApplyOperation(StoreRetry Store, ApplyRequest Request,
                               Completion<ApplyOutcome> Done)
    : Store_(std::move(Store)), Request_(std::move(Request)),
      Done_(std::move(Done)) {}

template <typename Value, typename Step>
auto ApplyOperation::continueWith(Step NextStep) {
  return [Self = shared_from_this(), NextStep](Result<Value> Reply) {
    if (!Reply)
      return Self->fail(std::move(Reply.error()));
    (Self.get()->*NextStep)(std::move(*Reply));
  };
}

void ApplyOperation::start() {
  Store_.getHead(continueWith<HeadState>(&ApplyOperation::onHead));
}

void ApplyOperation::onHead(HeadState State) {
  CurrentHead_ = std::move(State);
  if (!CurrentHead_.Head)
    return onStoredTables({});
  readRevision(Store_.retrying(), CurrentHead_.Head->Current.Record, Cache_,
               continueWith<ReadRevision>(&ApplyOperation::onStoredTables));
}

void ApplyOperation::onStoredTables(const ReadRevision &Theirs) {
  Cache_ = Theirs.Chunks;
  MergedRows Merged =
      mergeRows(Request_.Base, Request_.Next, Theirs.Content.Rows);
  if (!Merged.Conflicts.empty())
    return fail(
        {ErrorKind::StoreConflict,
         describeConflicts(Merged.Conflicts, CurrentHead_.Head
                                                 ? CurrentHead_.Head->Current
                                                 : RevisionMark())});
  ChangedByOthers_ = changesBetween(Request_.Base, Theirs.Content.Rows);
  bool IsNumberedHighEnough =
      CurrentHead_.Head && CurrentHead_.Head->Current.Number > Request_.Above;
  if (Merged.Rows == Theirs.Content.Rows && IsNumberedHighEnough)
    return Done_(
        ApplyOutcome{CurrentHead_.Head->Current, false, ChangedByOthers_});
  CheckedTables Checked = parseTables(textsOf(Merged.Rows));
  if (!Checked)
    return fail({ErrorKind::InvalidTable,
                 "With the rows that others changed the tables do not pass "
                 "the check: " +
                     formatProblem(Checked.error().front()) +
                     ". Get the tables again, mend this and apply."});
  if (std::optional<RouteName> Moved =
          routeWithNewHomeRegion(Theirs.Content.Rows, *Checked))
    return fail({ErrorKind::InvalidTable,
                 "Route \"" + Moved->str() +
                     "\" takes bookings and would move to another region, "
                     "where a key could run again. Add a route with a new name "
                     "there and let the old one run out."});
  writeRevision(Merged, Theirs);
}

void ApplyOperation::writeRevision(const MergedRows &Merged,
                                   const ReadRevision &Theirs) {
  std::vector<Chunk> Routes = chunksOf(Merged.Rows.Routes);
  std::vector<Chunk> Pools = chunksOf(Merged.Rows.Pools);
  RevisionRecord Record;
  Revision Newest = CurrentHead_.Head ? CurrentHead_.Head->Current.Number : 0;
  Record.Number = std::max(Newest, Request_.Above) + 1;
  Record.Digest = digestOf(Merged.Rows);
  Record.Author = Request_.Author;
  Record.WrittenAt = wallSeconds(Store_.runtime());
  if (CurrentHead_.Head)
    Record.Parent = CurrentHead_.Head->Current.Record;
  Record.Routes = idsOf(Routes);
  Record.Pools = idsOf(Pools);
  Chunk RecordChunk = makeChunk(encodeRecord(Record));

  NewHead_ = {};
  NewHead_.Current = {Record.Number,  Record.Digest,
                      RecordChunk.Id, makeNonce(Store_.runtime()),
                      Record.Author,  Record.WrittenAt};
  if (CurrentHead_.Head) {
    NewHead_.History = CurrentHead_.Head->History;
    NewHead_.History.insert(NewHead_.History.begin(),
                            CurrentHead_.Head->Current);
    NewHead_.History.resize(
        std::min(NewHead_.History.size(), ConfigurationHead::HistoryLength));
  }
  MayBeWritten_ = CurrentHeadIsStale_ = false;

  // putChunks writes from the back, so that the record is written last: it
  // exists only when its chunks do.
  std::vector<Chunk> New{RecordChunk};
  addNew(Routes, Theirs.Chunks.get(), New);
  addNew(Pools, Theirs.Chunks.get(), New);
  Store_.putChunks(std::move(New),
                   [Self = shared_from_this()](Result<void> Reply) {
                     if (!Reply)
                       return Self->fail(std::move(Reply.error()));
                     Self->putHead();
                   });
}

void ApplyOperation::putHead() {
  StorePut Put{headKey(), encodeHead(NewHead_), CurrentHead_.Version};
  Store_.store().Put(std::move(Put),
                     [Self = shared_from_this()](Result<StoreVersion> Reply) {
                       Self->onHeadWritten(std::move(Reply));
                     });
}

void ApplyOperation::onHeadWritten(Result<StoreVersion> Reply) {
  if (Reply)
    return Done_(ApplyOutcome{NewHead_.Current, true, ChangedByOthers_});
  switch (Reply.error().Kind) {
  case ErrorKind::StoreConflict:
    CurrentHeadIsStale_ = true;
    return resolveOutcome();
  case ErrorKind::StoreOutcomeUnknown:
    MayBeWritten_ = true;
    [[fallthrough]];
  case ErrorKind::StoreUnreachable:
    return resolveOutcomeLater(Reply.error().Message);
  default:
    return fail(std::move(Reply.error()));
  }
}

void ApplyOperation::resolveOutcome() {
  Store_.getHead([Self = shared_from_this()](Result<HeadState> Reply) {
    if (!Reply)
      return Self->giveUp(Reply.error().Message);
    Self->onHeadReread(std::move(*Reply));
  });
}

void ApplyOperation::resolveOutcomeLater(const std::string &Reason) {
  if (++Attempts_ >= MaxRounds)
    return giveUp(Reason);
  Store_.wait(Attempts_,
              [Self = shared_from_this()] { Self->resolveOutcome(); });
}

void ApplyOperation::onHeadReread(HeadState State) {
  bool HasMoved = State.Head && State.Version > CurrentHead_.Version;
  if (!HasMoved && !CurrentHeadIsStale_)
    return putHead();
  if (!HasMoved)
    return resolveOutcomeLater("the store answers with an old value");
  const ConfigurationHead &Head = *State.Head;
  if (isSameChange(Head.Current, NewHead_.Current))
    return Done_(ApplyOutcome{NewHead_.Current, true, ChangedByOthers_});
  for (const RevisionMark &Mark : Head.History) {
    if (isSameChange(Mark, NewHead_.Current))
      return Done_(ApplyOutcome{NewHead_.Current, true, ChangedByOthers_});
    // Another writer has this number, so that this operation's write can no
    // longer take effect.
    if (Mark.Number == NewHead_.Current.Number)
      return retry();
  }
  if (Head.Current.Number == NewHead_.Current.Number)
    return retry();
  if (MayBeWritten_)
    return giveUp("more revisions followed than the head remembers");
  retry();
}

void ApplyOperation::retry() {
  if (++Attempts_ >= MaxRounds)
    return giveUp("other edits came first each time");
  Store_.wait(Attempts_ / 2, [Self = shared_from_this()] { Self->start(); });
}

void ApplyOperation::giveUp(const std::string &Reason) {
  if (MayBeWritten_)
    return fail({ErrorKind::StoreOutcomeUnknown,
                 "The edit may be in force or not (" + Reason +
                     "); look into celerybeamctl history, or apply again, "
                     "which is safe."});
  fail({ErrorKind::StoreUnreachable,
        "Nothing was changed (" + Reason + "); apply again later."});
}

} // namespace celerybeam::detail
