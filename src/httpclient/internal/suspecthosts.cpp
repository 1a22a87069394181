#include "httpclient/internal/suspecthosts.h"

namespace celerybeam {

SuspectHosts::SuspectHosts(std::chrono::seconds Span) : Span_(Span) {}

void SuspectHosts::markSuspect(const std::string &Origin,
                               Clock::time_point Now) {
  std::lock_guard Lock(Mutex_);
  Until_[Origin] = Now + Span_;
}

bool SuspectHosts::isSuspect(const std::string &Origin, Clock::time_point Now) {
  std::lock_guard Lock(Mutex_);
  auto It = Until_.find(Origin);
  if (It == Until_.end())
    return false;
  if (Now < It->second)
    return true;
  Until_.erase(It);
  return false;
}

} // namespace celerybeam
