#ifndef CELERYBEAM_REQUESTS_REQUESTTYPES_H
#define CELERYBEAM_REQUESTS_REQUESTTYPES_H

#include <optional>
#include <string>
#include <vector>

#include "admission/admissioncontroller.h"
#include "blackboard/blackboard.h"
#include "blackboard/calltypes.h"
#include "booking/bookingcontroller.h"
#include "framework/uuid7.h"
#include "hedging/hedgepolicy.h"
#include "membership/endpointmonitor.h"
#include "messages/peerhooks.h"
#include "recovery/poisonregistry.h"
#include "recovery/progressmonitor.h"
#include "recovery/retrybudget.h"
#include "routing/router.h"

namespace celerybeam {

/// The kind of a request, which decides how it is parsed and run.
enum class RequestKind { Chat, Completion, Service, Booking };

/// The head of a request that has passed all checks, and what was read from
/// it.
struct AcceptedHead {
  RequestKind Kind = RequestKind::Chat;
  RequestHead Head;
  CustomerId Customer;
  /// Empty when the route is found by the model in the body.
  RouteName Route;
  /// Path below /services/<route>.
  std::string ServicePath;
  /// Set for bookings.
  std::optional<Uuid7> Key;
  TimePoint ReceivedAt{};
  /// Unset means the route's default deadline.
  std::optional<TimePoint> Deadline;
  std::optional<RequestClass> Class;
};

/// Returns the customer of an Authorization header; fails with Unauthorized.
using Authenticator = std::function<Result<CustomerId>(std::string_view)>;

/// Callbacks for the events of requests, used for metrics and logs.
struct RequestEvents {
  /// A request ended; Failure is unset if the response was complete.
  std::function<void(const struct RequestSummary &)> Ended;
};

/// The result of one request and its timings.
struct RequestSummary {
  RequestId Request;
  CustomerId Customer;
  RouteName Route;
  RequestClass Class = RequestClass::Short;
  std::optional<ErrorKind> Failure;
  Duration QueueWait{};
  Duration FirstToken{};
  Duration Total{};
  std::uint32_t Attempts = 0;
  std::uint32_t Tokens = 0;
  bool ForwardedOut = false;
  EndpointId LastEndpoint;
};

/// The objects and callbacks that the request controller uses; all outlive
/// it.
struct RequestServices {
  Blackboard *Board = nullptr;
  Runtime Time;
  Router *Routes = nullptr;
  AdmissionController *Admission = nullptr;
  RetryBudget *Retries = nullptr;
  PoisonRegistry *Poison = nullptr;
  ProgressMonitor *Progress = nullptr;
  HedgePolicy *Hedges = nullptr;
  EndpointMonitor *Monitor = nullptr;
  BookingController *Bookings = nullptr;
  EndpointHooks Calls;
  PeerHooks Peers;
  Authenticator Authenticate;
  /// Returns the addresses of a region's entry hosts for callers, best first.
  std::function<std::vector<Address>(const RegionId &)> EntryAddressesOf;
  RequestEvents Events;
};

} // namespace celerybeam

#endif
