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

} // namespace celerybeam
