#ifndef CELERYBEAM_RELAY_INTERNAL_ANSWERHEAD_H
#define CELERYBEAM_RELAY_INTERNAL_ANSWERHEAD_H

#include "relay/relaytypes.h"

namespace celerybeam::detail {

/// What the head of an answer says, before any of its body is used.
enum class AnswerKind {
  /// The answer of an endpoint that ran the request, good or bad.
  Answer,
  /// The word of an endpoint or entry host that the request has not run there.
  NotRun,
  /// It belongs to an earlier request on the connection.
  OfAnother,
  /// It cannot be what an endpoint answers: a success without its id or
  /// signature, or with a body that was changed on the way.
  Spoiled,
};

AnswerKind classifyAnswer(const HttpResponseHead &Head, const WireNames &Names,
                          const RequestId &Id);

/// The head of a request as an endpoint or another entry host gets it, without
/// what concerns the caller's connection or only this system may set.
/// \param TimeLeft  until its caller stops waiting; 1 ms at least is sent.
HttpRequestHead outgoingHead(const HttpRequestHead &Arrived,
                             const WireNames &Names, Duration TimeLeft);

} // namespace celerybeam::detail

#endif
