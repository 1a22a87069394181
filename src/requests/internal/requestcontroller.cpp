#include "requests/requestcontroller.h"

#include <algorithm>
#include <atomic>
#include <string_view>
#include <utility>
#include <vector>

#include "framework/digest.h"
#include "framework/shardedmap.h"
#include "requests/internal/bookingexchange.h"
#include "requests/internal/exchange.h"
#include "requests/internal/forwardclient.h"
#include "requests/internal/forwardserver.h"
#include "requests/internal/headchecker.h"
#include "requests/prompt.h"

namespace celerybeam {

namespace {

using detail::Exchange;
using detail::ExchangeStart;

bool isInference(RequestKind Kind) {
  return Kind == RequestKind::Chat || Kind == RequestKind::Completion;
}

RequestKind inferenceKind(std::string_view Path) {
  return Path == "/v1/chat/completions" ? RequestKind::Chat
                                        : RequestKind::Completion;
}

tl::unexpected<Error> unknownModel(const Tables &T, const ModelName &Model) {
  std::string Known;
  for (const RouteRow &Route : T.Routes)
    for (const ModelName &M : Route.Models)
      Known += (Known.empty() ? "" : ", ") + M.str();
  return makeError(ErrorKind::UnknownModel, "no route serves model \"" +
                                                Model.str() +
                                                "\"; the models are: " + Known);
}

} // namespace

class RequestController::Impl {
public:
  explicit Impl(RequestServices Services)
      : Services_(std::move(Services)), Checker_(Services_),
        Forwards_(Services_.Peers, Services_.Time),
        Server_(Services_.Peers, forwardRunner()) {}

  RequestId start(const AcceptedHead &Accepted, std::string Body,
                  ResponseHooks Response) {
    RequestId Id(Uuid7::generate(Services_.Time).str());
    auto Shared = std::make_shared<const std::string>(std::move(Body));
    if (Accepted.Kind == RequestKind::Booking) {
      startBooking(Id, Accepted, Shared, std::move(Response));
      return Id;
    }
    Result<ExchangeStart> Start = prepare(Id, Accepted, Shared);
    if (!Start) {
      refuse(Id, Accepted, Start.error(), Response);
      return Id;
    }
    run(std::move(*Start), std::move(Response));
    return Id;
  }

  void notify(const RequestId &Id, void (Exchange::*Event)()) {
    std::optional<std::shared_ptr<Exchange>> Found = InFlight_.find(Id);
    if (Found)
      ((**Found).*Event)();
  }

  void tick() {
    std::vector<std::shared_ptr<Exchange>> All;
    InFlight_.forEach(
        [&](const RequestId &, const auto &E) { All.push_back(E); });
    for (const std::shared_ptr<Exchange> &E : All)
      E->tick();
  }

  const RequestServices Services_;
  detail::HeadChecker Checker_;
  detail::ForwardClient Forwards_;
  detail::ForwardServer Server_;
  ShardedMap<RequestId, std::shared_ptr<Exchange>> InFlight_;
  std::atomic<std::size_t> Bookings_{0};

private:
  // The tables may have changed while the body was read, so everything that
  // depends on them is checked again with the current ones.
  Result<ExchangeStart> prepare(const RequestId &Id,
                                const AcceptedHead &Accepted,
                                std::shared_ptr<const std::string> Body) {
    ExchangeStart Start;
    Start.Id = Id;
    Start.Kind = Accepted.Kind;
    Start.Head = Accepted.Head;
    Start.EndpointPath =
        isInference(Accepted.Kind) ? Accepted.Head.Path : Accepted.ServicePath;
    Start.Body = std::move(Body);
    Start.Customer = Accepted.Customer;
    Start.ReceivedAt = Accepted.ReceivedAt;
    TablesSnapshot T = Services_.Board->tables();
    Result<const RouteRow *> Route = findRoute(*T, Accepted, Start);
    if (!Route)
      return tl::unexpected(Route.error());
    Result<void> Filled = fillRoute(*T, **Route, Accepted.Head, Start);
    if (!Filled)
      return tl::unexpected(Filled.error());
    Start.Class = Accepted.Class.value_or(estimateClass(Start.ParsedPrompt));
    Start.Deadline = Accepted.Deadline.value_or(Accepted.ReceivedAt +
                                                Start.Route.DefaultDeadline);
    return Start;
  }

  Result<const RouteRow *> findRoute(const Tables &T,
                                     const AcceptedHead &Accepted,
                                     ExchangeStart &Start) {
    const RouteRow *Route = T.findRoute(Accepted.Route);
    if (!isInference(Accepted.Kind)) {
      if (Route)
        return Route;
      return makeError(ErrorKind::UnknownRoute,
                       "route \"" + Accepted.Route.str() +
                           "\" has just been removed; ask the operators");
    }
    Result<Prompt> ParsedPrompt = readPrompt(Accepted.Kind, *Start.Body);
    if (!ParsedPrompt)
      return tl::unexpected(ParsedPrompt.error());
    Start.ParsedPrompt = std::move(*ParsedPrompt);
    if (Accepted.Route.empty())
      Route = T.findRouteOfModel(Start.ParsedPrompt.Model);
    bool Serves =
        Route && std::find(Route->Models.begin(), Route->Models.end(),
                           Start.ParsedPrompt.Model) != Route->Models.end();
    if (!Serves)
      return unknownModel(T, Start.ParsedPrompt.Model);
    return Route;
  }

  Result<void> fillRoute(const Tables &T, const RouteRow &Route,
                         const RequestHead &Head, ExchangeStart &Start) {
    Result<void> Allowed = Checker_.checkResidence(
        Route, findHeader(Head.Headers, "celerybeam-region"));
    if (!Allowed)
      return Allowed;
    const PoolRow *Pool = T.findPool(Route.Pool);
    if (!Pool)
      return makeError(ErrorKind::InvalidTable,
                       "route \"" + Route.Name.str() +
                           "\" names no pool; run `celerybeamctl check`");
    Start.Route = Route;
    Start.Pool = *Pool;
    return {};
  }

  void run(ExchangeStart Start, ResponseHooks Response) {
    RequestId Id = Start.Id;
    auto E = std::make_shared<Exchange>(Services_, Forwards_, std::move(Start),
                                        std::move(Response),
                                        [this, Id] { InFlight_.erase(Id); });
    InFlight_.set(Id, E);
    E->begin();
  }

  void refuse(const RequestId &Id, const AcceptedHead &Accepted,
              const Error &Why, const ResponseHooks &Response) {
    Response.End(tl::unexpected(Why));
    if (!Services_.Events.Ended)
      return;
    RequestSummary S;
    S.Request = Id;
    S.Customer = Accepted.Customer;
    S.Route = Accepted.Route;
    S.Failure = Why.Kind;
    S.Total = Services_.Time.Now() - Accepted.ReceivedAt;
    Services_.Events.Ended(S);
  }

  void startBooking(const RequestId &Id, const AcceptedHead &Accepted,
                    std::shared_ptr<const std::string> Body,
                    ResponseHooks Response) {
    Result<ExchangeStart> Start = prepare(Id, Accepted, std::move(Body));
    if (!Start) {
      refuse(Id, Accepted, Start.error(), Response);
      return;
    }
    Bookings_.fetch_add(1);
    detail::runBooking(Services_, std::move(*Start), *Accepted.Key,
                       std::move(Response), [this] { Bookings_.fetch_sub(1); });
  }

  detail::ForwardRunner forwardRunner() {
    detail::ForwardRunner Runner;
    Runner.Start = [this](const messages::ForwardRequest &Request,
                          ResponseHooks Response) {
      startForwarded(Request, std::move(Response));
    };
    Runner.Resume = [this](const AttemptId &Id) {
      notify(forwardedId(Id), &Exchange::callerReady);
    };
    Runner.Cancel = [this](const AttemptId &Id) {
      notify(forwardedId(Id), &Exchange::callerGone);
    };
    return Runner;
  }

  // Two attempts of one forwarded request may run on this host at the same
  // time; distinct ids let endpoints tell them apart.
  static RequestId forwardedId(const AttemptId &Id) {
    return RequestId(Id.Request.str() + "-" + std::to_string(Id.Number));
  }

  void startForwarded(const messages::ForwardRequest &Request,
                      ResponseHooks Response) {
    Result<ExchangeStart> Start = prepareForwarded(Request);
    if (!Start) {
      Response.End(tl::unexpected(Start.error()));
      return;
    }
    run(std::move(*Start), std::move(Response));
  }

  Result<ExchangeStart>
  prepareForwarded(const messages::ForwardRequest &Request) {
    if (Services_.Board->leaving())
      return makeError(ErrorKind::ShuttingDown,
                       "the entry host is leaving; use another one");
    AcceptedHead Accepted;
    Accepted.Head.Method = Request.method();
    Accepted.Head.Path = Request.path();
    Accepted.Head.Query = Request.query();
    for (const messages::Header &H : Request.headers())
      Accepted.Head.Headers.push_back({H.name(), H.value()});
    Accepted.Customer = CustomerId(Request.customer());
    Accepted.Route = RouteName(Request.route());
    Accepted.ReceivedAt = Services_.Time.Now();
    Accepted.Deadline =
        Accepted.ReceivedAt + std::chrono::milliseconds(Request.remaining_ms());
    Accepted.Class =
        Request.long_class() ? RequestClass::Long : RequestClass::Short;
    TablesSnapshot T = Services_.Board->tables();
    const RouteRow *Route = T->findRoute(Accepted.Route);
    Result<void> Allowed = checkForwardedRoute(Route);
    if (!Allowed)
      return tl::unexpected(Allowed.error());
    Accepted.Kind = Route->Models.empty() ? RequestKind::Service
                                          : inferenceKind(Request.path());
    Accepted.ServicePath = servicePath(Request);
    Result<ExchangeStart> Start = prepare(
        forwardedId({RequestId(Request.request_id()), Request.attempt()}),
        Accepted, std::make_shared<const std::string>(Request.body()));
    if (!Start)
      return Start;
    Start->Forwarded = true;
    Start->ResumeFrom = Request.resume_from();
    return Start;
  }

  // The origin host may have older tables than this host. Requests that must
  // not leave their region or must not run twice are refused regardless of
  // its decision.
  static Result<void> checkForwardedRoute(const RouteRow *Route) {
    if (!Route)
      return makeError(ErrorKind::UnknownRoute,
                       "the serving region has no such route yet; try again");
    if (Route->Residence != ResidenceRule::None || !Route->MayLeaveRegion ||
        !Route->Repeatable)
      return makeError(ErrorKind::WrongRegion,
                       "requests of route \"" + Route->Name.str() +
                           "\" may not leave their region");
    return {};
  }

  static std::string servicePath(const messages::ForwardRequest &Request) {
    std::string Prefix = "/services/" + Request.route();
    if (!Request.path().starts_with(Prefix))
      return "/";
    std::string Remainder = Request.path().substr(Prefix.size());
    return Remainder.empty() ? "/" : Remainder;
  }
};

RequestController::RequestController(RequestServices Services)
    : Impl_(std::make_unique<Impl>(std::move(Services))) {}
RequestController::~RequestController() = default;

Result<AcceptedHead> RequestController::acceptHead(const RequestHead &Head) {
  return Impl_->Checker_.check(Head);
}

RequestId RequestController::start(const AcceptedHead &Accepted,
                                   std::string Body, ResponseHooks Response) {
  return Impl_->start(Accepted, std::move(Body), std::move(Response));
}

void RequestController::callerReady(const RequestId &Request) {
  Impl_->notify(Request, &Exchange::callerReady);
}

void RequestController::callerGone(const RequestId &Request) {
  Impl_->notify(Request, &Exchange::callerGone);
}

void RequestController::handle(const messages::Envelope &Message) {
  Impl_->Forwards_.handle(Message);
  Impl_->Server_.handle(Message);
}

void RequestController::tick() { Impl_->tick(); }

std::size_t RequestController::inFlight() const {
  return Impl_->InFlight_.size() + Impl_->Bookings_.load();
}

} // namespace celerybeam
