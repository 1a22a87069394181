#ifndef CELERYBEAM_RELAY_INTERNAL_RESPONSEHEAD_H
#define CELERYBEAM_RELAY_INTERNAL_RESPONSEHEAD_H

#include "relay/relaytypes.h"

namespace celerybeam::detail {

/// Classification of a response by its head, made before any of its body is
/// used.
enum class ResponseKind {
  /// The response of an endpoint that ran the request, successful or not.
  Response,
  /// An endpoint or entry host states that it has not run the request.
  NotRun,
  /// It belongs to an earlier request on the connection.
  OtherRequest,
  /// Cannot be used as the response: a success without the request's id or
  /// without a signature, a body that was recoded on the way, a response with
  /// the ids of two requests, or one without an id that may belong to another
  /// request or be a host's own.
  Invalid,
};

/// The sender of a response and the state of its connection.
struct ResponseSource {
  /// The sender is an entry host, which responds itself or forwards an
  /// endpoint's response; otherwise it is an endpoint.
  bool Host = false;
  /// The connection has already served other requests, so a late duplicate of
  /// one of their responses may arrive on it, or such a response has arrived.
  bool Reused = false;
};

ResponseKind classifyResponse(const HttpResponseHead &Head,
                              const WireNames &Names, const RequestId &Id,
                              ResponseSource Source);

/// Removes the fields that only entry hosts exchange.
void removeHostFields(HttpFields &Fields);

/// Whether a status by itself promises that a request has not run and will not
/// run.
bool promisesNotRun(unsigned Status);

/// The head that an endpoint or another entry host receives: the caller's head
/// without the fields of the caller's connection and the fields that only this
/// system may set.
HttpRequestHead outgoingHead(const HttpRequestHead &Arrived,
                             const WireNames &Names);

/// Sets the field with the time until the caller's deadline.
/// \param TimeLeft  values below 1 ms are sent as 1 ms.
void setTimeLeft(HttpRequestHead &Head, const WireNames &Names,
                 Duration TimeLeft);

} // namespace celerybeam::detail

#endif
