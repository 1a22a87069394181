#include "configuration/tablesrevision.h"

#include <set>

#include "framework/digest.h"

namespace celerybeam {

namespace {

std::string joinRows(const RowTexts &Rows) {
  std::string Text;
  for (const auto &[Name, Row] : Rows)
    Text += (Text.empty() ? "" : "\n") + Row;
  return Text;
}

std::string rowOrEmpty(const RowTexts &Rows, const std::string &Name) {
  auto It = Rows.find(Name);
  return It == Rows.end() ? std::string() : It->second;
}

std::set<std::string> namesIn(const RowTexts &A, const RowTexts &B) {
  std::set<std::string> Names;
  for (const RowTexts *Rows : {&A, &B})
    for (const auto &[Name, Row] : *Rows)
      Names.insert(Name);
  return Names;
}

void addChanges(TableKind Table, const RowTexts &Before, const RowTexts &After,
                std::vector<RowChange> &Changes) {
  for (const std::string &Name : namesIn(Before, After)) {
    RowChange Change{Table, Name, rowOrEmpty(Before, Name),
                     rowOrEmpty(After, Name)};
    if (Change.Before != Change.After)
      Changes.push_back(std::move(Change));
  }
}

/// Merges one table; rows that are absent count as empty texts.
RowTexts mergeTable(TableKind Table, const RowTexts &Base, const RowTexts &Ours,
                    const RowTexts &Theirs, std::vector<RowChange> &Conflicts) {
  RowTexts Merged = Theirs;
  for (const std::string &Name : namesIn(Base, Ours)) {
    std::string Our = rowOrEmpty(Ours, Name);
    std::string Their = rowOrEmpty(Theirs, Name);
    std::string Old = rowOrEmpty(Base, Name);
    if (Our == Old || Our == Their)
      continue;
    if (Their != Old) {
      Conflicts.push_back({Table, Name, Their, Our});
      continue;
    }
    if (Our.empty())
      Merged.erase(Name);
    else
      Merged[Name] = Our;
  }
  return Merged;
}

} // namespace

TableRows rowsOf(const Tables &T) {
  TableRows Rows;
  for (const RouteRow &Row : T.Routes)
    Rows.Routes.emplace(Row.Name.str(), formatRoute(Row));
  for (const PoolRow &Row : T.Pools)
    Rows.Pools.emplace(Row.Name.str(), formatPool(Row));
  return Rows;
}

TableTexts textsOf(const TableRows &Rows) {
  return {joinRows(Rows.Routes), joinRows(Rows.Pools)};
}

std::string digestOf(const TableRows &Rows) {
  TableTexts Texts = textsOf(Rows);
  // The separator cannot occur in TOML, so that no two pairs of texts give the
  // same input.
  return sha256Hex(Texts.Routes + '\0' + Texts.Pools);
}

Result<TablesSnapshot> tablesOf(const TablesRevision &R) {
  std::string Name = "Revision " + std::to_string(R.Number);
  if (digestOf(R.Rows) != R.Digest)
    return makeError(ErrorKind::InvalidTable,
                     Name + " does not fit its digest; it is fetched again "
                            "from another source.");
  CheckedTables Checked = parseTables(textsOf(R.Rows));
  if (!Checked)
    return makeError(ErrorKind::InvalidTable,
                     Name + " has rows that this version does not take (" +
                         formatProblem(Checked.error().front()) +
                         "); upgrade this host.");
  Checked->Number = R.Number;
  return std::make_shared<const Tables>(std::move(*Checked));
}

std::vector<RowChange> changesBetween(const TableRows &Before,
                                      const TableRows &After) {
  std::vector<RowChange> Changes;
  addChanges(TableKind::Routes, Before.Routes, After.Routes, Changes);
  addChanges(TableKind::Pools, Before.Pools, After.Pools, Changes);
  return Changes;
}

std::string describeChange(const RowChange &Change) {
  std::string Kind = Change.Table == TableKind::Routes ? "route " : "pool ";
  const char *What = Change.Before.empty()  ? " added"
                     : Change.After.empty() ? " removed"
                                            : " changed";
  return Kind + Change.Name + What;
}

MergedRows mergeRows(const TableRows &Base, const TableRows &Ours,
                     const TableRows &Theirs) {
  MergedRows Merged;
  Merged.Rows.Routes = mergeTable(TableKind::Routes, Base.Routes, Ours.Routes,
                                  Theirs.Routes, Merged.Conflicts);
  Merged.Rows.Pools = mergeTable(TableKind::Pools, Base.Pools, Ours.Pools,
                                 Theirs.Pools, Merged.Conflicts);
  return Merged;
}

} // namespace celerybeam
