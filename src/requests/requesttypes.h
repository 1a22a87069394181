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
#include "membership/endpointmonitor.h"
#include "messages/peerhooks.h"
#include "recovery/hedgepolicy.h"
#include "recovery/poisonregistry.h"
#include "recovery/progresswatch.h"
#include "recovery/retrybudget.h"
#include "routing/router.h"

namespace celerybeam {

/// What a request asks for.
enum class RequestKind { Chat, Completion, Service, Booking };

/// A request whose head has passed all checks.
struct AcceptedHead {
  RequestKind Kind = RequestKind::Chat;
  RequestHead Head;
  CustomerId Customer;
  /// Empty when the route follows from the model in the body.
  RouteName Route;
  /// Path below /services/<route>.
  std::string ServicePath;
  /// Set for bookings.
  std::optional<Uuid7> Key;
  TimePoint ReceivedAt{};
  /// Unset: the route's default deadline.
  std::optional<TimePoint> Deadline;
  std::optional<RequestClass> Class;
};

/// Tells the customer of an Authorization header; fails with Unauthorized.
using Authenticator = std::function<Result<CustomerId>(std::string_view)>;

/// Events of requests, for metrics and logs.
struct RequestEvents {
  /// A request ended; Error is empty for a whole answer.
  std::function<void(const struct RequestSummary &)> Ended;
};

/// What became of one request.
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
  bool SentAway = false;
  EndpointId LastEndpoint;
};

/// What the request controller works with; all outlive it.
struct RequestServices {
  Blackboard *Board = nullptr;
  Runtime Time;
  Router *Routes = nullptr;
  AdmissionController *Admission = nullptr;
  RetryBudget *Retries = nullptr;
  PoisonRegistry *Poison = nullptr;
  ProgressWatch *Progress = nullptr;
  HedgePolicy *Hedges = nullptr;
  EndpointMonitor *Monitor = nullptr;
  BookingController *Bookings = nullptr;
  EndpointHooks Calls;
  PeerHooks Peers;
  Authenticator Authenticate;
  /// Where callers reach the entry hosts of a region, best first.
  std::function<std::vector<Address>(const RegionId &)> EntriesOf;
  RequestEvents Events;
};

} // namespace celerybeam

#endif
