#ifndef CELERYBEAM_CTL_OUTPUT_H
#define CELERYBEAM_CTL_OUTPUT_H

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace celerybeam::ctl {

using Json = nlohmann::json;

/// Describes a column of a printed table: its title and the JSON field shown in
/// it.
struct Column {
  std::string Title;
  std::string Field;
};

/// Prints objects as left-aligned rows below the column titles; missing fields
/// are printed as "-".
void printTable(std::ostream &Out, const std::vector<Column> &Columns,
                const Json &Rows);

/// Prints the fields of one object, one per line.
void printFields(std::ostream &Out, const std::vector<Column> &Columns,
                 const Json &Object);

/// Formats a value for a table: strings without quotes, lists with commas.
std::string cellText(const Json &Value);

} // namespace celerybeam::ctl

#endif
