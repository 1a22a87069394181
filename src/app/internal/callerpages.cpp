#include "app/internal/callerpages.h"

#include <set>
#include <string_view>

#include <nlohmann/json.hpp>

namespace celerybeam {

namespace {

using Json = nlohmann::json;

constexpr std::string_view ServicesPrefix = "/services/";

Json entriesOf(EntryHost &Host, const RegionId &Region) {
  Json Entries = Json::array();
  for (const EntryAdvice &Advice : Host.membership().entries(Region))
    Entries.push_back({{"host", Advice.Host.str()},
                       {"address", Advice.Where.str()},
                       {"region", Advice.Region.str()},
                       {"zone", Advice.Zone.str()},
                       {"weight", Advice.Weight}});
  return Entries;
}

// The only region where the route's data may be handled; empty for any region.
RegionId homeOf(const RouteRow &Route, const HeaderFields &Headers) {
  if (Route.Residence == ResidenceRule::Region)
    return Route.ResidenceRegion;
  if (Route.Residence == ResidenceRule::Caller)
    return RegionId(std::string(findHeader(Headers, "celerybeam-region")));
  return RegionId();
}

RouteName routeOf(const RequestHead &Head) {
  std::string_view Path = Head.Path;
  if (Path.starts_with(ServicesPrefix)) {
    std::string_view Rest = Path.substr(ServicesPrefix.size());
    return RouteName(std::string(Rest.substr(0, Rest.find('/'))));
  }
  return RouteName(std::string(findHeader(Head.Headers, "celerybeam-route")));
}

} // namespace

std::string modelsPage(const Blackboard &Board) {
  std::set<std::string> Models;
  for (const RouteRow &Route : Board.tables()->Routes)
    for (const ModelName &Model : Route.Models)
      Models.insert(Model.str());
  Json Data = Json::array();
  for (const std::string &Model : Models)
    Data.push_back(
        {{"id", Model}, {"object", "model"}, {"owned_by", "celerybeam"}});
  return Json{{"object", "list"}, {"data", std::move(Data)}}.dump();
}

Result<std::string> entriesPage(EntryHost &Host, const RequestHead &Head) {
  RegionId Only(std::string(findQueryValue(Head.Query, "region")));
  std::string Name(findQueryValue(Head.Query, "route"));
  if (!Name.empty()) {
    TablesSnapshot T = Host.board().tables();
    const RouteRow *Route = T->findRoute(RouteName(Name));
    if (!Route)
      return makeError(ErrorKind::UnknownRoute,
                       "no route \"" + Name + "\"; correct the name");
    RegionId Home = homeOf(*Route, Head.Headers);
    if (!Home.empty())
      Only = Home;
  }
  Json Page = {{"entries", entriesOf(Host, Only)},
               {"ttl_ms", EntriesTimeToLive.count()}};
  return Page.dump();
}

std::string homeEntries(EntryHost &Host, const RequestHead &Head) {
  TablesSnapshot T = Host.board().tables();
  const RouteRow *Route = T->findRoute(routeOf(Head));
  if (!Route)
    return "";
  RegionId Home = homeOf(*Route, Head.Headers);
  return Home.empty() ? "" : entriesOf(Host, Home).dump();
}

} // namespace celerybeam
