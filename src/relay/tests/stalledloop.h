#ifndef CELERYBEAM_RELAY_TESTS_STALLEDLOOP_H
#define CELERYBEAM_RELAY_TESTS_STALLEDLOOP_H

#include <functional>
#include <string>
#include <vector>

#include "framework/runtime.h"

namespace celerybeam::testing {

/// What a caller sends: at once, and while the loop is held up.
enum class CallerAct {
  Whole,
  /// Its head, and meanwhile a body that is longer than one read.
  Split,
  /// Its head and a part of its body; the rest never comes.
  Missing,
  /// Its head in two parts.
  SplitHead,
  /// Two requests at once.
  Pipelined,
  /// Two requests at once, and meanwhile a third.
  PipelinedAndLater,
  /// A second request meanwhile.
  PipelinedLater,
  /// Two further requests meanwhile.
  TwoLater,
  /// A second request, a part of it at once and the rest meanwhile.
  PipelinedSplit,
  /// A request that ends its connection, and meanwhile another one.
  BehindClosing,
  /// Bytes that are no request, and meanwhile a request.
  BehindMalformed,
  HalfClose,
  Close,
  Reset,
  Last = Reset,
};

/// What an endpoint, or another entry host, does once it has a whole request,
/// and what it adds while the loop is held up.
enum class PeerAct {
  Answers,
  SplitAnswer,
  /// The rest never comes.
  MissingRest,
  /// A part, and meanwhile the end of the connection.
  CutOff,
  Closes,
  Resets,
  Silent,
  /// The answer, and meanwhile the same again.
  ExtraAnswer,
  /// The answer, and meanwhile a refusal without an id.
  StrayRefusal,
  /// From the second request on a connection on: a refusal without an id that
  /// belongs to an earlier one, and then the answer.
  LateRefusal,
  NoId,
  /// The answer to somebody else's request, and then its own.
  OthersFirst,
  Refuses,
  RefusesWithoutId,
  /// A signed answer that does not say that the request has not run.
  Signed503,
  Signed429,
  Signed408,
  Misdirects,
  /// An entry host's own refusals while reading, without an id.
  Own408,
  Own400,
  Own413,
  Own431,
  /// The same without the field that says that the request has not run.
  Bare408,
  Bare400,
  Bare413,
  Bare431,
  Last = Bare431,
};

/// What the loop does first when it goes on.
enum class TurnOrder {
  /// All that has arrived, as the real loop does.
  Sockets,
  /// What is due.
  Timers,
  /// One handler, and then what is due.
  TimersAfterOne,
};

/// One replay: a loop that is held up once, at one place of a request's way.
struct StallCase {
  /// "book", "look", "draft" or "ask".
  std::string Route;
  /// Endpoints here; 0: another entry host has them.
  unsigned Endpoints = 1;
  CallerAct Caller = CallerAct::Whole;
  PeerAct Peer = PeerAct::Answers;
  /// Handlers that run before the loop is held up.
  unsigned HoldUp = 0;
  /// For how long it is held up.
  std::chrono::milliseconds Span{};
  TurnOrder Order = TurnOrder::Sockets;

  /// By which one case can be run alone.
  std::string name() const;
};

/// What one replay showed.
struct StallOutcome {
  /// What must not be, in words; empty when all is well.
  std::vector<std::string> Faults;
  /// The loop had nothing left to do before the hold-up's place: later places
  /// show nothing new.
  bool Dry = false;
  unsigned Answers = 0;
  unsigned Runs = 0;
};

/// Replays a case on virtual time.
StallOutcome replay(const StallCase &Case);

/// Replays a case at each place of its way, for each span and order. With
/// CELERYBEAM_STALL_CASE=NAME in the environment only the case of that name.
void replayEverywhere(
    const StallCase &Base, const std::vector<std::chrono::milliseconds> &Spans,
    const std::function<void(const StallCase &, const StallOutcome &)> &Hear);

} // namespace celerybeam::testing

#endif
