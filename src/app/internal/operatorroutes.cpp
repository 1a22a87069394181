#include "app/internal/operatorroutes.h"

#include <future>
#include <memory>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "gateway/bookingresponse.h"
#include "httpclient/urlencoding.h"

namespace celerybeam {

namespace {

constexpr Duration BookingQueryTimeout = std::chrono::seconds(5);
constexpr int Accepted = 202;

OperatorResponse page(std::string Body, int Status = 200) {
  OperatorResponse Response;
  Response.Status = Status;
  Response.Body = std::move(Body);
  return Response;
}

std::string queryText(const OperatorRequest &Request, std::string_view Name) {
  std::string_view Value = findQueryValue(Request.Query, Name);
  // With a length of 0, curl_easy_unescape reads up to a zero byte, which is
  // beyond the end of the value.
  return Value.empty() ? "" : decodeUrlComponent(Value);
}

OperatorResponse explain(const AdminPages &Pages,
                         const OperatorRequest &Request) {
  ExplainQuestion Question;
  Question.Route = RouteName(queryText(Request, "route"));
  Question.Model = ModelName(queryText(Request, "model"));
  Question.Customer = CustomerId(queryText(Request, "customer"));
  Question.Region = RegionId(queryText(Request, "region"));
  Question.Class = queryText(Request, "class");
  Question.Prompt = queryText(Request, "prompt");
  Result<std::string> Body = Pages.explain(Question);
  return Body ? page(std::move(*Body)) : operatorError(Body.error());
}

std::string bookingJson(const Uuid7 &Key, const std::string &Customer,
                        const BookingOutcome &Outcome) {
  nlohmann::json Body = {{"key", Key.str()},
                         {"customer", Customer},
                         {"outcome", bookingStateName(Outcome.State)}};
  if (Outcome.State == BookingState::Done) {
    Body["status"] = Outcome.Status;
    Body["content_type"] = Outcome.ContentType;
    Body["answer"] = Outcome.Response;
  }
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Blocks the connection's thread until the ledger has replied or the query has
// timed out.
OperatorResponse showBooking(EntryHost &Host, const Runtime &R,
                             const OperatorRequest &Request) {
  Result<Uuid7> Key = Uuid7::parse(Request.Rest);
  if (!Key)
    return operatorError(Key.error());
  std::string Customer = queryText(Request, "customer");
  auto Promise = std::make_shared<std::promise<Result<BookingOutcome>>>();
  Host.bookings().query(CustomerId(Customer), *Key,
                        R.Now() + BookingQueryTimeout,
                        [Promise](Result<BookingOutcome> Outcome) {
                          Promise->set_value(std::move(Outcome));
                        });
  Result<BookingOutcome> Outcome = Promise->get_future().get();
  if (!Outcome)
    return operatorError(Outcome.error());
  return page(bookingJson(*Key, Customer, *Outcome));
}

} // namespace

void addOperatorRoutes(OperatorServer &Server, const AdminPages &Pages,
                       EntryHost &Host, const Runtime &R, const Task &Drain) {
  Server.handle("GET", "/admin/status", [&Pages](const OperatorRequest &) {
    return page(Pages.status());
  });
  Server.handle("GET", "/admin/entries", [&Pages](const OperatorRequest &) {
    return page(Pages.entries());
  });
  Server.handle("GET", "/admin/endpoints", [&Pages](const OperatorRequest &) {
    return page(Pages.endpoints());
  });
  Server.handle("GET", "/admin/pools", [&Pages](const OperatorRequest &) {
    return page(Pages.pools());
  });
  Server.handle("GET", "/admin/explain",
                [&Pages](const OperatorRequest &Request) {
                  return explain(Pages, Request);
                });
  Server.handle("GET", "/admin/bookings/",
                [&Host, R](const OperatorRequest &Request) {
                  return showBooking(Host, R, Request);
                });
  Server.handle("POST", "/admin/drain",
                [&Pages, Drain](const OperatorRequest &) {
                  Drain();
                  return page(Pages.drainStarted(), Accepted);
                });
}

} // namespace celerybeam
