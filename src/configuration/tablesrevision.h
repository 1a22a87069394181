#ifndef CELERYBEAM_CONFIGURATION_TABLESREVISION_H
#define CELERYBEAM_CONFIGURATION_TABLESREVISION_H

#include <map>
#include <string>
#include <vector>

#include "blackboard/tabletypes.h"
#include "configuration/tableparser.h"
#include "framework/error.h"

namespace celerybeam {

/// The rows of one table by name, each in its canonical text.
using RowTexts = std::map<std::string, std::string>;

/// The canonical rows of both tables.
struct TableRows {
  RowTexts Routes;
  RowTexts Pools;

  bool operator==(const TableRows &) const = default;
};

/// One accepted state of both tables, with its number and digest.
struct TablesRevision {
  Revision Number = 0;
  std::string Digest;
  TableRows Rows;
};

/// The canonical rows of checked tables.
TableRows rowsOf(const Tables &T);

/// Both tables as the text that parseTables reads.
TableTexts textsOf(const TableRows &Rows);

/// Identifies the content: SHA-256 over the canonical text of both tables.
std::string digestOf(const TableRows &Rows);

/// Parses a revision's rows into tables. Fails with InvalidTable when the
/// digest does not match the rows or the rows do not pass the check.
Result<TablesSnapshot> tablesOf(const TablesRevision &R);

/// The table to which a row belongs.
enum class TableKind { Routes, Pools };

/// How one row differs between two states of the tables.
struct RowChange {
  TableKind Table = TableKind::Routes;
  std::string Name;
  /// Empty: the row was added.
  std::string Before;
  /// Empty: the row was removed.
  std::string After;
};

/// All rows that differ, routes first, by name.
std::vector<RowChange> changesBetween(const TableRows &Before,
                                      const TableRows &After);

/// "route quotes added", "pool orders changed", "route a removed".
std::string describeChange(const RowChange &Change);

/// The result of merging two edits of the same state.
struct MergedRows {
  TableRows Rows;
  /// Rows that both edits changed differently; Before is theirs, After ours.
  std::vector<RowChange> Conflicts;
};

/// Merges row by row: a row that only one side changed is taken from it.
MergedRows mergeRows(const TableRows &Base, const TableRows &Ours,
                     const TableRows &Theirs);

} // namespace celerybeam

#endif
