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

/// Identifies one attempt to serve a request at an endpoint or in another
/// region. Frames with the id of another attempt are dropped and counted.
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
  /// Time limit for establishing the connection.
  Duration ConnectTimeout{};
  /// Time limit for the whole call, from its start.
  Duration Timeout{};
};

/// Callbacks that receive the response of an endpoint, in this order: OnHead
/// at most once, OnData any number of times, OnEnd exactly once. They run one
/// at a time and never on the stack of EndpointHooks::Start or Cancel.
struct CallObserver {
  std::function<void(ResponseHead)> OnHead;
  std::function<Flow(std::string)> OnData;
  /// Without an error: the whole response arrived. Errors:
  ///   ConnectFailed    no byte of the request was sent,
  ///   ConnectionLost   any byte may have been sent; the response broke off,
  ///   RequestTimeout   EndpointCall::Timeout passed,
  ///   Cancelled        EndpointHooks::Cancel was called.
  std::function<void(Result<void>)> OnEnd;
};

/// Functions that start, cancel and resume calls to endpoints and fetch
/// their load. Thread-safe.
struct EndpointHooks {
  std::function<void(EndpointCall, CallObserver)> Start;
  /// Ends the attempt at once; also tells an engine to stop its work on it.
  /// Unknown ids are ignored.
  std::function<void(AttemptId)> Cancel;
  /// Continues an attempt whose OnData returned Flow::Pause.
  std::function<void(AttemptId)> Resume;
  /// Fetches an endpoint's load page; fails with ConnectFailed or
  /// ConnectionLost. MeasuredAt is the time of receipt less the lag that the
  /// page states.
  std::function<void(EndpointId, Address,
                     std::function<void(Result<struct LoadPage>)>)>
      FetchLoad;
};

/// The contents of an endpoint's load page.
struct LoadPage {
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
