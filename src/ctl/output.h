#ifndef CELERYBEAM_CTL_OUTPUT_H
#define CELERYBEAM_CTL_OUTPUT_H

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace celerybeam::ctl {

using Json = nlohmann::json;

/// A column of a printed table: its title and the field that it shows.
struct Column {
  std::string Title;
  std::string Field;
};

/// Prints objects as rows under titles, aligned to the left; fields that are
/// absent print as "-".
void printTable(std::ostream &Out, const std::vector<Column> &Columns,
                const Json &Rows);

/// Prints the fields of one object, each on a line.
void printFields(std::ostream &Out, const std::vector<Column> &Columns,
                 const Json &Object);

/// A value as a table shows it: strings without quotes, lists with commas.
std::string cellText(const Json &Value);

} // namespace celerybeam::ctl

#endif
