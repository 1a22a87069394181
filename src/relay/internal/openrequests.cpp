#include "relay/openrequests.h"

#include <utility>

namespace celerybeam {

OpenRequests::Id OpenRequests::add(std::function<void()> End) {
  Ends_.emplace(++Last_, std::move(End));
  return {Last_};
}

void OpenRequests::remove(Id Entry) { Ends_.erase(Entry.Value); }

std::size_t OpenRequests::endAll() {
  // Each end removes its own entry.
  auto Ends = std::exchange(Ends_, {});
  for (const auto &[Entry, End] : Ends)
    End();
  return Ends.size();
}

} // namespace celerybeam
