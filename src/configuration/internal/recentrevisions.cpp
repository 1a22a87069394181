#include "configuration/internal/recentrevisions.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

using WireRows = google::protobuf::RepeatedPtrField<messages::TableRow>;

void addRow(const std::string &Name, const std::string &Text, WireRows &Rows) {
  messages::TableRow *Row = Rows.Add();
  Row->set_name(Name);
  Row->set_toml(Text);
  Row->set_removed(Text.empty());
}

void applyRows(const WireRows &Rows, RowTexts &To) {
  for (const messages::TableRow &Row : Rows) {
    if (Row.removed())
      To.erase(Row.name());
    else
      To[Row.name()] = Row.toml();
  }
}

} // namespace

Result<bool> RecentRevisions::adopt(TablesRevision Next) {
  std::lock_guard Lock(Mutex_);
  if (Next.Number <= Board_.tables()->Number)
    return false;
  Result<TablesSnapshot> Checked = tablesOf(Next);
  if (!Checked)
    return tl::make_unexpected(Checked.error());
  if (!Board_.adoptTables(std::move(*Checked)))
    return false;
  Revisions_.push_back(std::move(Next));
  if (Revisions_.size() > MaxRevisions)
    Revisions_.pop_front();
  return true;
}

messages::RevisionReply RecentRevisions::replyTo(Revision Have) const {
  std::lock_guard Lock(Mutex_);
  messages::RevisionReply Reply;
  if (Revisions_.empty())
    return Reply;
  const TablesRevision &Newest = Revisions_.back();
  Reply.set_revision(Newest.Number);
  Reply.set_digest(Newest.Digest);
  if (Have >= Newest.Number)
    return Reply;
  const TablesRevision *Base = findLocked(Have);
  if (Base)
    Reply.set_base_revision(Have);
  static const TableRows NoRows;
  for (const RowChange &Change :
       changesBetween(Base ? Base->Rows : NoRows, Newest.Rows))
    addRow(Change.Name, Change.After,
           Change.Table == TableKind::Routes ? *Reply.mutable_routes()
                                             : *Reply.mutable_pools());
  return Reply;
}

Result<TablesRevision>
RecentRevisions::revisionIn(const messages::RevisionReply &Reply) const {
  TablesRevision Read;
  if (Reply.base_revision() != 0) {
    std::lock_guard Lock(Mutex_);
    const TablesRevision *Base = findLocked(Reply.base_revision());
    if (!Base)
      return makeError(ErrorKind::InvalidTable,
                       "The changes are from a revision that this host no "
                       "longer keeps; it asks for whole tables.");
    Read.Rows = Base->Rows;
  }
  Read.Number = Reply.revision();
  Read.Digest = Reply.digest();
  applyRows(Reply.routes(), Read.Rows.Routes);
  applyRows(Reply.pools(), Read.Rows.Pools);
  return Read;
}

const TablesRevision *RecentRevisions::findLocked(Revision Number) const {
  auto It =
      std::find_if(Revisions_.begin(), Revisions_.end(),
                   [&](const auto &Each) { return Each.Number == Number; });
  return It == Revisions_.end() ? nullptr : &*It;
}

} // namespace celerybeam::detail
