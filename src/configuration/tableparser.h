#ifndef CELERYBEAM_CONFIGURATION_TABLEPARSER_H
#define CELERYBEAM_CONFIGURATION_TABLEPARSER_H

#include <string>
#include <string_view>
#include <vector>

#include "blackboard/tabletypes.h"
#include "framework/error.h"
#include "framework/tomlreader.h"

namespace celerybeam {

/// A problem in a table with the place to fix; the file is "routes.toml" or
/// "pools.toml".
using TableProblem = FileProblem;

/// The operators' two tables as text.
struct TableTexts {
  std::string Routes;
  std::string Pools;

  bool operator==(const TableTexts &) const = default;
};

/// Tables, or every problem found in them.
using CheckedTables = tl::expected<Tables, std::vector<TableProblem>>;

/// Parses both tables and checks them together for: unknown keys, types, units,
/// ranges, duplicate names, routes that name no pool, models that no pool
/// loads. The resulting rows are sorted by name. The revision of the result is
/// 0.
CheckedTables parseTables(const TableTexts &Texts);

/// Writes tables in the form that parseTables reads, rows by name, without
/// the keys that have their default value.
TableTexts formatTables(const Tables &T);

/// One row as formatTables writes it.
std::string formatRoute(const RouteRow &Row);
std::string formatPool(const PoolRow &Row);

} // namespace celerybeam

#endif
