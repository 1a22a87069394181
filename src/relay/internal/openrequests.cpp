#include "relay/openrequests.h"

#include <utility>
#include <vector>

namespace celerybeam {

OpenRequests::Id OpenRequests::add(Hooks H) {
  Entries_.emplace(++Last_, std::move(H));
  return {Last_};
}

void OpenRequests::remove(Id Entry) { Entries_.erase(Entry.Value); }

std::size_t OpenRequests::callEach(std::function<void()> Hooks::*Hook) {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, H] : Entries_)
    Ids.push_back(Id);
  std::size_t Called = 0;
  for (std::uint64_t Id : Ids) {
    auto Found = Entries_.find(Id);
    if (Found == Entries_.end())
      continue;
    // The hook may remove its own entry.
    auto Call = Found->second.*Hook;
    ++Called;
    Call();
  }
  return Called;
}

std::size_t OpenRequests::endAll() { return callEach(&Hooks::End); }

void OpenRequests::reconsiderAll() { callEach(&Hooks::Reconsider); }

} // namespace celerybeam
