#ifndef CELERYBEAM_BLACKBOARD_CALLTYPES_H
#define CELERYBEAM_BLACKBOARD_CALLTYPES_H

#include <compare>
#include <functional>
#include <memory>
#include <string>

#include "blackboard/endpointtypes.h"
#include "blackboard/idtypes.h"
#include "framework/httptypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Names one exchange with an endpoint or another region. Frames that carry
/// another id than the exchange at hand are dropped and counted.
struct AttemptId {
  RequestId Request;
  AttemptNumber Number = 0;

  auto operator<=>(const AttemptId &) const = default;
};

/// One HTTP call to an endpoint.
struct EndpointCall {
  AttemptId Id;
  EndpointId Endpoint;
  Address Where;
  RequestHead Head;
  std::shared_ptr<const std::string> Body;
  /// Limit for the connection to stand.
  Duration ConnectTimeout{};
  /// Limit for the whole call, from its start.
  Duration Timeout{};
};

/// What the caller of an endpoint hears, in this order: OnHead at most once,
/// OnData any number of times, OnEnd exactly once. One call at a time, never
/// on the stack of EndpointHooks::Start or Cancel.
struct CallObserver {
  std::function<void(ResponseHead)> OnHead;
  std::function<Flow(std::string)> OnData;
  /// Without an error: the whole answer arrived. Errors:
  ///   ConnectFailed    no byte of the request was sent,
  ///   ConnectionLost   any byte may have been sent; the answer broke off,
  ///   RequestTimeout   EndpointCall::Timeout passed,
  ///   Cancelled        EndpointHooks::Cancel was called.
  std::function<void(Result<void>)> OnEnd;
};

/// Calls to endpoints. Thread-safe.
struct EndpointHooks {
  std::function<void(EndpointCall, CallObserver)> Start;
  /// Ends the exchange at once; also tells an engine to stop the work.
  /// Unknown ids are ignored.
  std::function<void(AttemptId)> Cancel;
  /// Continues an exchange whose OnData asked for a pause.
  std::function<void(AttemptId)> Resume;
  /// Asks an endpoint for its load page; fails with ConnectFailed or
  /// ConnectionLost. The report's MeasuredAt has the stated lag taken off.
  std::function<void(EndpointId, Address,
                     std::function<void(Result<struct LoadAnswer>)>)>
      AskLoad;
};

/// What an endpoint's load page says.
struct LoadAnswer {
  LoadReport Report;
  bool Leaving = false;
  std::vector<ModelName> Loaded;
};

} // namespace celerybeam

template <> struct std::hash<celerybeam::AttemptId> {
  size_t operator()(const celerybeam::AttemptId &Id) const noexcept {
    return std::hash<celerybeam::RequestId>()(Id.Request) * 31 + Id.Number;
  }
};

#endif
