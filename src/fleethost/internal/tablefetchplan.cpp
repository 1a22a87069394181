#include "fleethost/internal/tablefetchplan.h"

#include <algorithm>

namespace celerybeam::detail {

bool TableFetchPlan::mayAsk(TimePoint Now) const {
  return Asking_.empty() || (Asking_.size() < MaxOutstanding &&
                             Now - LastAsked_ >= SecondSourceDelay);
}

std::optional<std::string> TableFetchPlan::next(TimePoint Now,
                                                const TableSources &Sources) {
  if (!mayAsk(Now))
    return std::nullopt;
  auto FirstFree = [this](const std::vector<std::string> &Ips) {
    auto Found =
        std::find_if(Ips.begin(), Ips.end(), [this](const std::string &Ip) {
          return !Asking_.contains(Ip);
        });
    return Found == Ips.end() ? std::string() : *Found;
  };
  bool MayAskFar = AskingFar_.empty();
  std::string Near = FirstFree(Sources.Near);
  std::string Chosen = Near;
  if (Fruitless_ >= FruitlessNear && MayAskFar && !Sources.Sender.empty() &&
      !Asking_.contains(Sources.Sender))
    Chosen = Sources.Sender;
  else if (Near.empty() && MayAskFar)
    Chosen = FirstFree(Sources.Far);
  if (Chosen.empty())
    return std::nullopt;
  if (Chosen != Near) {
    AskingFar_.insert(Chosen);
    Fruitless_ = 0;
  }
  Asking_.insert(Chosen);
  LastAsked_ = Now;
  return Chosen;
}

void TableFetchPlan::ended(const std::string &Ip, bool Newer) {
  Asking_.erase(Ip);
  bool WasFar = AskingFar_.erase(Ip) > 0;
  if (Newer)
    Fruitless_ = 0;
  else if (!WasFar)
    ++Fruitless_;
}

void TableFetchPlan::withdrawn(const std::string &Ip) {
  Asking_.erase(Ip);
  AskingFar_.erase(Ip);
}

} // namespace celerybeam::detail
