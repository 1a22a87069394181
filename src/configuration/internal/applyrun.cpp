#include "configuration/internal/applyrun.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace celerybeam::detail {

namespace {

// Rounds of reading, merging and writing before an edit gives up.
constexpr int GreatestRounds = 16;

std::string makeNonce(const Runtime &R) {
  return std::to_string(R.Random()) + "-" + std::to_string(R.Random());
}

std::chrono::seconds wallSeconds(const Runtime &R) {
  return std::chrono::duration_cast<std::chrono::seconds>(R.WallNow());
}

bool isMarkOf(const RevisionMark &Mark, const RevisionMark &Own) {
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

// A route of bookings whose home region differs between the tables.
std::optional<RouteName> movedHome(const TableRows &Before,
                                   const Tables &After) {
  CheckedTables Old = parseTables(textsOf(Before));
  if (!Old)
    return std::nullopt;
  for (const RouteRow &Route : After.Routes) {
    const RouteRow *Earlier = Old->findRoute(Route.Name);
    bool Books = Earlier && !Earlier->Repeatable && !Route.Repeatable;
    if (Books && Earlier->ResidenceRegion != Route.ResidenceRegion)
      return Route.Name;
  }
  return std::nullopt;
}

} // namespace

ApplyRun::ApplyRun(StoreRetry Store, ApplyRequest Request,
                   Completion<ApplyOutcome> Done)
    : Store_(std::move(Store)), Request_(std::move(Request)),
      Done_(std::move(Done)) {}

template <typename Value, typename Step> auto ApplyRun::next(Step TheStep) {
  return [Self = shared_from_this(), TheStep](Result<Value> Answer) {
    if (!Answer)
      return Self->fail(std::move(Answer.error()));
    (Self.get()->*TheStep)(std::move(*Answer));
  };
}

void ApplyRun::start() { Store_.getHead(next<HeadState>(&ApplyRun::takeHead)); }

void ApplyRun::takeHead(HeadState State) {
  Seen_ = std::move(State);
  if (!Seen_.Head)
    return takeTheirs({});
  readRevision(Store_.retrying(), Seen_.Head->Current.Record, Cache_,
               next<ReadRevision>(&ApplyRun::takeTheirs));
}

void ApplyRun::takeTheirs(const ReadRevision &Theirs) {
  Cache_ = Theirs.Chunks;
  MergedRows Merged =
      mergeRows(Request_.Base, Request_.Next, Theirs.Content.Rows);
  if (!Merged.Conflicts.empty())
    return fail(
        {ErrorKind::StoreConflict,
         describeConflicts(Merged.Conflicts,
                           Seen_.Head ? Seen_.Head->Current : RevisionMark())});
  ChangedByOthers_ = changesBetween(Request_.Base, Theirs.Content.Rows);
  bool IsNumberedHighEnough =
      Seen_.Head && Seen_.Head->Current.Number > Request_.Above;
  if (Merged.Rows == Theirs.Content.Rows && IsNumberedHighEnough)
    return Done_(ApplyOutcome{Seen_.Head->Current, false, ChangedByOthers_});
  CheckedTables Checked = parseTables(textsOf(Merged.Rows));
  if (!Checked)
    return fail({ErrorKind::InvalidTable,
                 "With the rows that others changed the tables do not pass "
                 "the check: " +
                     formatProblem(Checked.error().front()) +
                     ". Get the tables again, mend this and apply."});
  if (std::optional<RouteName> Moved = movedHome(Theirs.Content.Rows, *Checked))
    return fail({ErrorKind::InvalidTable,
                 "Route \"" + Moved->str() +
                     "\" takes bookings and would move to another region, "
                     "where a key could run again. Add a route with a new name "
                     "there and let the old one run out."});
  writeRevision(Merged, Theirs);
}

void ApplyRun::writeRevision(const MergedRows &Merged,
                             const ReadRevision &Theirs) {
  std::vector<Chunk> Routes = chunksOf(Merged.Rows.Routes);
  std::vector<Chunk> Pools = chunksOf(Merged.Rows.Pools);
  RevisionRecord Record;
  Revision Newest = Seen_.Head ? Seen_.Head->Current.Number : 0;
  Record.Number = std::max(Newest, Request_.Above) + 1;
  Record.Digest = digestOf(Merged.Rows);
  Record.Author = Request_.Author;
  Record.WrittenAt = wallSeconds(Store_.runtime());
  if (Seen_.Head)
    Record.Parent = Seen_.Head->Current.Record;
  Record.Routes = idsOf(Routes);
  Record.Pools = idsOf(Pools);
  Chunk RecordChunk = makeChunk(encodeRecord(Record));

  Own_ = {};
  Own_.Current = {Record.Number,  Record.Digest,
                  RecordChunk.Id, makeNonce(Store_.runtime()),
                  Record.Author,  Record.WrittenAt};
  if (Seen_.Head) {
    Own_.History = Seen_.Head->History;
    Own_.History.insert(Own_.History.begin(), Seen_.Head->Current);
    Own_.History.resize(
        std::min(Own_.History.size(), ConfigurationHead::HistoryLength));
  }
  MayHaveLanded_ = SeenIsOld_ = false;

  // The record is written last: it stands only when its chunks do.
  std::vector<Chunk> New{RecordChunk};
  addNew(Routes, Theirs.Chunks.get(), New);
  addNew(Pools, Theirs.Chunks.get(), New);
  Store_.putChunks(std::move(New),
                   [Self = shared_from_this()](Result<void> Answer) {
                     if (!Answer)
                       return Self->fail(std::move(Answer.error()));
                     Self->putHead();
                   });
}

void ApplyRun::putHead() {
  StorePut Put{headKey(), encodeHead(Own_), Seen_.Version};
  Store_.store().Put(std::move(Put),
                     [Self = shared_from_this()](Result<StoreVersion> Answer) {
                       Self->takeHeadWritten(std::move(Answer));
                     });
}

void ApplyRun::takeHeadWritten(Result<StoreVersion> Answer) {
  if (Answer)
    return Done_(ApplyOutcome{Own_.Current, true, ChangedByOthers_});
  switch (Answer.error().Kind) {
  case ErrorKind::StoreConflict:
    SeenIsOld_ = true;
    return settle();
  case ErrorKind::StoreOutcomeUnknown:
    MayHaveLanded_ = true;
    [[fallthrough]];
  case ErrorKind::StoreUnreachable:
    return settleLater(Answer.error().Message);
  default:
    return fail(std::move(Answer.error()));
  }
}

void ApplyRun::settle() {
  Store_.getHead([Self = shared_from_this()](Result<HeadState> Answer) {
    if (!Answer)
      return Self->giveUp(Answer.error().Message);
    Self->takeSettled(std::move(*Answer));
  });
}

void ApplyRun::settleLater(const std::string &Reason) {
  if (++Attempts_ >= GreatestRounds)
    return giveUp(Reason);
  Store_.wait(Attempts_, [Self = shared_from_this()] { Self->settle(); });
}

void ApplyRun::takeSettled(HeadState State) {
  bool HasMoved = State.Head && State.Version > Seen_.Version;
  if (!HasMoved && !SeenIsOld_)
    return putHead();
  if (!HasMoved)
    return settleLater("the store answers with an old value");
  const ConfigurationHead &Head = *State.Head;
  if (isMarkOf(Head.Current, Own_.Current))
    return Done_(ApplyOutcome{Own_.Current, true, ChangedByOthers_});
  for (const RevisionMark &Mark : Head.History) {
    if (isMarkOf(Mark, Own_.Current))
      return Done_(ApplyOutcome{Own_.Current, true, ChangedByOthers_});
    // Another writer has this number: the own write can no longer land.
    if (Mark.Number == Own_.Current.Number)
      return again();
  }
  if (Head.Current.Number == Own_.Current.Number)
    return again();
  if (MayHaveLanded_)
    return giveUp("more revisions followed than the head remembers");
  again();
}

void ApplyRun::again() {
  if (++Attempts_ >= GreatestRounds)
    return giveUp("other edits came first each time");
  Store_.wait(Attempts_ / 2, [Self = shared_from_this()] { Self->start(); });
}

void ApplyRun::giveUp(const std::string &Reason) {
  if (MayHaveLanded_)
    return fail({ErrorKind::StoreOutcomeUnknown,
                 "The edit may be in force or not (" + Reason +
                     "); look into celerybeamctl history, or apply again, "
                     "which is safe."});
  fail({ErrorKind::StoreUnreachable,
        "Nothing was changed (" + Reason + "); apply again later."});
}

} // namespace celerybeam::detail
