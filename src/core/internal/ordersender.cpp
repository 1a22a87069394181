#include "core/internal/ordersender.h"

#include <memory>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "framework/uuid7.h"

namespace celerybeam::detail {

namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds(1);
constexpr Duration OrderTimeout = std::chrono::seconds(5);
constexpr int StatusAccepted = 202;
constexpr int StatusConflict = 409;

EndpointCall makeCall(const EndpointId &Endpoint, const Address &Where,
                      const EngineOrder &Order, const Runtime &R) {
  bool IsLoad = Order.Kind == EngineOrder::Action::Load;
  nlohmann::json Body = {{"order", IsLoad ? "load" : "unload"},
                         {"model", Order.Model.str()},
                         {"fencing", Order.Fencing}};
  EndpointCall Call;
  Call.Id = {RequestId("order-" + Uuid7::generate(R).str()), 1};
  Call.Endpoint = Endpoint;
  Call.Where = Where;
  Call.Head = {
      "POST", "/v1/orders", "", {{"content-type", "application/json"}}};
  Call.Body = std::make_shared<const std::string>(Body.dump());
  Call.ConnectTimeout = ConnectTimeout;
  Call.Timeout = OrderTimeout;
  return Call;
}

Result<void> resultOf(int Status) {
  if (Status == StatusAccepted)
    return {};
  if (Status == StatusConflict)
    return makeError(ErrorKind::LeaseLost,
                     "the engine has seen a higher fencing number; another "
                     "host gives the orders now");
  return makeError(ErrorKind::EndpointFailed,
                   "the engine answered an order with status " +
                       std::to_string(Status) + "; see its own log");
}

} // namespace

SendEngineOrder makeOrderSender(EndpointHooks Calls, Runtime R) {
  return [Calls = std::move(Calls), R = std::move(R)](
             const EndpointId &Endpoint, const Address &Where,
             const EngineOrder &Order, const Completion<void> &Done) {
    auto Status = std::make_shared<int>(0);
    CallObserver Observer;
    Observer.OnHead = [Status](const ResponseHead &Head) {
      *Status = Head.Status;
    };
    Observer.OnData = [](const std::string &) { return Flow::Continue; };
    Observer.OnEnd = [Status, Done](const Result<void> &Outcome) {
      Done(Outcome ? resultOf(*Status) : Outcome);
    };
    Calls.Start(makeCall(Endpoint, Where, Order, R), std::move(Observer));
  };
}

} // namespace celerybeam::detail
