#include "ctl/output.h"

#include <algorithm>

namespace celerybeam::ctl {

namespace {

constexpr const char *Gap = "  ";

const Json &fieldOf(const Json &Object, const std::string &Field) {
  static const Json Absent;
  auto It = Object.find(Field);
  return It == Object.end() ? Absent : *It;
}

std::string padded(const std::string &Text, std::size_t Width) {
  return Text + std::string(Width - std::min(Width, Text.size()), ' ');
}

void printLine(std::ostream &Out, const std::vector<std::string> &Cells,
               const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t I = 0; I < Cells.size(); ++I)
    Line += (I == 0 ? "" : Gap) + padded(Cells[I], Widths[I]);
  Line.erase(Line.find_last_not_of(' ') + 1);
  Out << Line << "\n";
}

} // namespace

std::string cellText(const Json &Value) {
  if (Value.is_null())
    return "-";
  if (Value.is_string())
    return Value.get<std::string>();
  if (!Value.is_array())
    return Value.dump();
  std::string Text;
  for (const Json &Item : Value)
    Text += (Text.empty() ? "" : ",") + cellText(Item);
  return Text.empty() ? "-" : Text;
}

void printTable(std::ostream &Out, const std::vector<Column> &Columns,
                const Json &Rows) {
  std::vector<std::vector<std::string>> Lines(1);
  for (const Column &C : Columns)
    Lines[0].push_back(C.Title);
  for (const Json &Row : Rows) {
    std::vector<std::string> Cells;
    Cells.reserve(Columns.size());
    for (const Column &C : Columns)
      Cells.push_back(cellText(fieldOf(Row, C.Field)));
    Lines.push_back(std::move(Cells));
  }
  std::vector<std::size_t> Widths(Columns.size());
  for (const auto &Cells : Lines)
    for (std::size_t I = 0; I < Cells.size(); ++I)
      Widths[I] = std::max(Widths[I], Cells[I].size());
  for (const auto &Cells : Lines)
    printLine(Out, Cells, Widths);
}

void printFields(std::ostream &Out, const std::vector<Column> &Columns,
                 const Json &Object) {
  std::size_t Width = 0;
  for (const Column &C : Columns)
    Width = std::max(Width, C.Title.size());
  for (const Column &C : Columns)
    Out << padded(C.Title, Width) << Gap << cellText(fieldOf(Object, C.Field))
        << "\n";
}

} // namespace celerybeam::ctl
