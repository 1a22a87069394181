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

/// Who answers, and on what connection.
struct AnswerSource {
  /// An entry host, which speaks for itself or passes an endpoint's answer on;
  /// otherwise an endpoint.
  bool Host = false;
  /// Other requests were answered on the connection before, so that a second
  /// copy of one of their answers may come late.
  bool Reused = false;
};

AnswerKind classifyAnswer(const HttpResponseHead &Head, const WireNames &Names,
                          const RequestId &Id, AnswerSource Source);

/// Whether a status by itself promises that a request has not run and will not.
bool promisesNotRun(unsigned Status);

/// The head of a request as an endpoint or another entry host gets it, without
/// what concerns the caller's connection or only this system may set.
HttpRequestHead outgoingHead(const HttpRequestHead &Arrived,
                             const WireNames &Names);

/// Says how long the caller still waits.
/// \param TimeLeft  1 ms at least is said.
void setTimeLeft(HttpRequestHead &Head, const WireNames &Names,
                 Duration TimeLeft);

} // namespace celerybeam::detail

#endif
