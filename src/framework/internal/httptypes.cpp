#include "framework/httptypes.h"

#include <algorithm>

namespace celerybeam {

std::string_view findHeader(const HeaderFields &Fields, std::string_view Name) {
  auto It = std::find_if(Fields.begin(), Fields.end(),
                         [&](const auto &Field) { return Field.Name == Name; });
  return It == Fields.end() ? std::string_view() : It->Value;
}

std::size_t countHeaders(const HeaderFields &Fields, std::string_view Name) {
  return static_cast<std::size_t>(
      std::count_if(Fields.begin(), Fields.end(),
                    [&](const auto &Field) { return Field.Name == Name; }));
}

std::string_view findQueryValue(std::string_view Query, std::string_view Name) {
  while (!Query.empty()) {
    std::string_view Item = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Query.size(), Item.size() + 1));
    bool Matches = Item.size() > Name.size() && Item.starts_with(Name) &&
                   Item[Name.size()] == '=';
    if (Matches)
      return Item.substr(Name.size() + 1);
  }
  return {};
}

} // namespace celerybeam
