#include "requests/internal/headchecker.h"

#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace celerybeam::detail {

namespace {

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view CompletionPath = "/v1/completions";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view RouteHeader = "celerybeam-route";
constexpr std::string_view RegionHeader = "celerybeam-region";
constexpr std::string_view ClassHeader = "celerybeam-class";
constexpr std::string_view KeyHeader = "idempotency-key";
constexpr std::string_view TimeoutHeader = "request-timeout";
constexpr std::chrono::milliseconds LeavingRetryAfter(100);
constexpr std::chrono::milliseconds NotReadyRetryAfter(1000);
constexpr double MaxTimeoutSeconds = 24.0 * 3600;

bool isSafeMethod(std::string_view Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

tl::unexpected<Error> missingRegionHeader(const RouteRow &Route) {
  return makeError(ErrorKind::BadRequest,
                   "route \"" + Route.Name.str() +
                       "\" keeps data in the caller's region; name it in the "
                       "Celerybeam-Region header");
}

} // namespace

HeadChecker::HeadChecker(const RequestServices &Services)
    : Services_(Services) {}

Result<AcceptedHead> HeadChecker::check(const RequestHead &Head) const {
  if (Result<void> Ready = checkReady(); !Ready)
    return tl::unexpected(Ready.error());
  AcceptedHead Accepted;
  Accepted.Head = Head;
  Accepted.ReceivedAt = Services_.Time.Now();
  Result<CustomerId> Customer =
      Services_.Authenticate(findHeader(Head.Headers, "authorization"));
  if (!Customer)
    return tl::unexpected(Customer.error());
  Accepted.Customer = *Customer;

  TablesSnapshot T = Services_.Board->tables();
  Result<void> Checked = findTarget(*T, Accepted);
  if (Checked)
    Checked = Accepted.Route.empty() ? checkUnnamedRoute(*T, Accepted)
                                     : checkNamedRoute(*T, Accepted);
  if (Checked)
    Checked = readKey(*T, Accepted);
  if (Checked)
    Checked = readDeadline(Accepted);
  if (Checked)
    Checked = readClass(Accepted);
  if (!Checked)
    return tl::unexpected(Checked.error());
  return Accepted;
}

Result<void> HeadChecker::checkReady() const {
  if (Services_.Board->leaving())
    return makeError(ErrorKind::ShuttingDown,
                     "this entry host is leaving; use another one of "
                     "GET /v1/entries",
                     LeavingRetryAfter);
  if (Services_.Board->tables()->Number == 0)
    return makeError(ErrorKind::NotReady,
                     "this entry host has no tables yet; use another one, or "
                     "apply tables with `celerybeamctl apply`",
                     NotReadyRetryAfter);
  return {};
}

Result<void> HeadChecker::findTarget(const Tables &T,
                                     AcceptedHead &Accepted) const {
  const RequestHead &Head = Accepted.Head;
  std::string_view Path = Head.Path;
  if (Path == ChatPath || Path == CompletionPath) {
    Accepted.Kind =
        Path == ChatPath ? RequestKind::Chat : RequestKind::Completion;
    Accepted.Route =
        RouteName(std::string(findHeader(Head.Headers, RouteHeader)));
    return {};
  }
  if (!Path.starts_with(ServicesPrefix))
    return makeError(ErrorKind::NotFound,
                     "no such path; see the callers' guide for the paths");
  std::string_view Remainder = Path.substr(ServicesPrefix.size());
  std::size_t Slash = Remainder.find('/');
  Accepted.Route = RouteName(std::string(Remainder.substr(0, Slash)));
  Accepted.ServicePath = Slash == std::string_view::npos
                             ? "/"
                             : std::string(Remainder.substr(Slash));
  const RouteRow *Route = T.findRoute(Accepted.Route);
  bool Booking = Route && !Route->Repeatable && !isSafeMethod(Head.Method);
  Accepted.Kind = Booking ? RequestKind::Booking : RequestKind::Service;
  return {};
}

Result<void> HeadChecker::checkNamedRoute(const Tables &T,
                                          const AcceptedHead &Accepted) const {
  const RouteRow *Route = T.findRoute(Accepted.Route);
  bool ForModels = Accepted.Kind == RequestKind::Chat ||
                   Accepted.Kind == RequestKind::Completion;
  if (!Route || Route->Models.empty() == ForModels)
    return makeError(ErrorKind::UnknownRoute,
                     "no route \"" + Accepted.Route.str() +
                         "\" for this path; correct the name or ask the "
                         "operators to add it to routes.toml");
  return checkResidence(*Route,
                        findHeader(Accepted.Head.Headers, RegionHeader));
}

// The route follows from the model, which is in the body. The body may be read
// only if the data of every possible route may be handled in this region.
Result<void>
HeadChecker::checkUnnamedRoute(const Tables &T,
                               const AcceptedHead &Accepted) const {
  std::string_view Region = findHeader(Accepted.Head.Headers, RegionHeader);
  for (const RouteRow &Route : T.Routes) {
    if (Route.Models.empty())
      continue;
    Result<void> Allowed = checkResidence(Route, Region);
    if (Allowed)
      continue;
    return makeError(ErrorKind::BadRequest,
                     "name the route in the Celerybeam-Route header: data of "
                     "route \"" +
                         Route.Name.str() +
                         "\" may not be read in this region, so the route "
                         "must be known before the body is");
  }
  return {};
}

Result<void> HeadChecker::checkResidence(const RouteRow &Route,
                                         std::string_view CallerRegion) const {
  RegionId Home;
  if (Route.Residence == ResidenceRule::Region)
    Home = Route.ResidenceRegion;
  if (Route.Residence == ResidenceRule::Caller) {
    if (CallerRegion.empty())
      return missingRegionHeader(Route);
    Home = RegionId(std::string(CallerRegion));
  }
  if (Home.empty() || Home == Services_.Board->self().Region)
    return {};
  return wrongRegion(Route, Home);
}

tl::unexpected<Error> HeadChecker::wrongRegion(const RouteRow &Route,
                                               const RegionId &Home) const {
  std::string Text = "data of route \"" + Route.Name.str() +
                     "\" must stay in region " + Home.str() +
                     "; send the request to one of its entry hosts";
  std::string Hosts;
  for (const Address &Where : Services_.EntryAddressesOf(Home))
    Hosts += (Hosts.empty() ? ": " : ", ") + Where.str();
  return makeError(ErrorKind::WrongRegion, Text + Hosts);
}

Result<void> HeadChecker::readKey(const Tables &T,
                                  AcceptedHead &Accepted) const {
  if (Accepted.Kind != RequestKind::Booking)
    return {};
  std::size_t Count = countHeaders(Accepted.Head.Headers, KeyHeader);
  if (Count != 1)
    return makeError(ErrorKind::MissingKey,
                     "requests of route \"" + Accepted.Route.str() +
                         "\" may not be repeated; send exactly one "
                         "Idempotency-Key header with a new UUIDv7");
  const RouteRow *Route = T.findRoute(Accepted.Route);
  if (Route->Residence != ResidenceRule::Region)
    return makeError(ErrorKind::InvalidTable,
                     "route \"" + Route->Name.str() +
                         "\" takes bookings but names no home region; set "
                         "residence in routes.toml");
  Result<Uuid7> Key =
      Uuid7::parse(findHeader(Accepted.Head.Headers, KeyHeader));
  if (!Key)
    return tl::unexpected(Key.error());
  Accepted.Key = *Key;
  return {};
}

Result<void> HeadChecker::readDeadline(AcceptedHead &Accepted) const {
  std::string_view Text = findHeader(Accepted.Head.Headers, TimeoutHeader);
  if (Text.empty())
    return {};
  double Seconds = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  bool Complete = Code == std::errc() && End == Text.data() + Text.size();
  if (!Complete || !std::isfinite(Seconds) || Seconds > MaxTimeoutSeconds)
    return makeError(ErrorKind::BadRequest,
                     "Request-Timeout must be a number of seconds up to "
                     "86400, as in \"2.5\"");
  if (Seconds <= 0)
    return makeError(ErrorKind::DeadlineExpired,
                     "the deadline in Request-Timeout has passed; send the "
                     "request with a new one");
  auto Limit = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
  Accepted.Deadline = Accepted.ReceivedAt + Limit;
  return {};
}

Result<void> HeadChecker::readClass(AcceptedHead &Accepted) {
  std::string_view Text = findHeader(Accepted.Head.Headers, ClassHeader);
  if (Text.empty())
    return {};
  if (Text != "short" && Text != "long")
    return makeError(ErrorKind::BadRequest,
                     "Celerybeam-Class must be \"short\" or \"long\"");
  Accepted.Class = Text == "short" ? RequestClass::Short : RequestClass::Long;
  return {};
}

} // namespace celerybeam::detail
