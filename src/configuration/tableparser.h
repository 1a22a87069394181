#ifndef CELERYBEAM_CONFIGURATION_TABLEPARSER_H
#define CELERYBEAM_CONFIGURATION_TABLEPARSER_H

#include <string>
#include <string_view>
#include <vector>

#include "blackboard/tabletypes.h"
#include "framework/error.h"

namespace celerybeam {

/// A fault of a table with the place to mend.
struct TableProblem {
  /// "routes.toml" or "pools.toml".
  std::string File;
  /// From 1; 0 when the fault has no line.
  unsigned Line = 0;
  /// Says what is wrong and the remedy.
  std::string Message;
};

/// The operators' two tables as text.
struct TableTexts {
  std::string Routes;
  std::string Pools;
};

/// Tables, or every problem found in them.
using CheckedTables = tl::expected<Tables, std::vector<TableProblem>>;

/// Reads both tables and checks them together: unknown keys, types, units,
/// ranges, duplicate names, routes that name no pool, models that no pool
/// loads. The revision of the result is 0.
CheckedTables parseTables(const TableTexts &Texts);

/// Writes tables in the form that parseTables reads, rows by name.
TableTexts formatTables(const Tables &T);

} // namespace celerybeam

#endif
