#include "ctl/rowdiff.h"

#include <algorithm>
#include <sstream>
#include <string>

namespace celerybeam::ctl {

namespace {

std::vector<std::string> linesOf(const std::string &Text) {
  std::vector<std::string> Lines;
  std::istringstream In(Text);
  for (std::string Line; std::getline(In, Line);)
    Lines.push_back(Line);
  return Lines;
}

/// Prints the lines that are missing in the other text. Each key occurs once in
/// a row, so that the lines need no alignment.
void printMissingLines(std::ostream &Out, const char *Sign,
                       const std::string &Text, const std::string &Other) {
  std::vector<std::string> Others = linesOf(Other);
  for (const std::string &Line : linesOf(Text))
    if (std::find(Others.begin(), Others.end(), Line) == Others.end())
      Out << Sign << " " << Line << "\n";
}

const char *kindOf(const RowChange &Change) {
  if (Change.Before.empty())
    return "added";
  return Change.After.empty() ? "removed" : "changed";
}

} // namespace

void printChanges(std::ostream &Out, const std::vector<RowChange> &Changes) {
  for (const RowChange &Change : Changes) {
    Out << describeChange(Change) << "\n";
    printMissingLines(Out, "  -", Change.Before, Change.After);
    printMissingLines(Out, "  +", Change.After, Change.Before);
  }
}

Json changesToJson(const std::vector<RowChange> &Changes) {
  Json List = Json::array();
  for (const RowChange &Change : Changes)
    List.push_back(
        {{"table", Change.Table == TableKind::Routes ? "routes" : "pools"},
         {"name", Change.Name},
         {"change", kindOf(Change)},
         {"before", Change.Before},
         {"after", Change.After}});
  return List;
}

} // namespace celerybeam::ctl
