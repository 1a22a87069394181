#include "admission/internal/limitkey.h"

namespace celerybeam::detail {

namespace {

constexpr char KeySeparator = '\n';

} // namespace

LimitName LimitKey::str() const {
  return Route.str() + KeySeparator + Customer.str();
}

std::optional<LimitKey> LimitKey::parse(const LimitName &Text) {
  std::size_t Separator = Text.find(KeySeparator);
  if (Separator == std::string::npos)
    return std::nullopt;
  return LimitKey{RouteName(Text.substr(0, Separator)),
                  CustomerId(Text.substr(Separator + 1))};
}

LimitValues limitValues(const Tables &T, const LimitKey &Key) {
  const RouteRow *Route = T.findRoute(Key.Route);
  if (!Route)
    return {};
  const RouteLimits &L = Route->Limits;
  if (Key.Customer.empty())
    return {L.RouteRequestsPerSecond, 0, L.RouteConcurrency};
  return {L.CustomerRequestsPerSecond, L.CustomerTokensPerSecond,
          L.CustomerConcurrency};
}

} // namespace celerybeam::detail
