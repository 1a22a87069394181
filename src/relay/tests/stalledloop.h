#ifndef CELERYBEAM_RELAY_TESTS_STALLEDLOOP_H
#define CELERYBEAM_RELAY_TESTS_STALLEDLOOP_H

#include <functional>
#include <string>
#include <vector>

#include "framework/runtime.h"

namespace celerybeam::testing {

/// What a caller sends at once, and what it sends while the loop is stalled.
enum class CallerAct {
  Whole,
  /// The head at once; during the stall a body that is longer than one read.
  Split,
  /// The head and a part of the body; the rest is never sent.
  Missing,
  /// The head in two parts, the second during the stall.
  SplitHead,
  /// Two requests at once.
  Pipelined,
  /// Two requests at once, and a third during the stall.
  PipelinedAndLater,
  /// A second request during the stall.
  PipelinedLater,
  /// Two further requests during the stall.
  TwoLater,
  /// A second request, one part at once and the rest during the stall.
  PipelinedSplit,
  /// A request that closes its connection, and another one during the stall.
  BehindClosing,
  /// Bytes that are not a valid request, and a request during the stall.
  BehindMalformed,
  HalfClose,
  Close,
  Reset,
  Last = Reset,
};

/// What an endpoint or another entry host sends after it has received a
/// complete request, and what it adds while the loop is stalled.
enum class PeerAct {
  Answers,
  SplitAnswer,
  /// The rest of the response is never sent.
  MissingRest,
  /// A part of the response; the connection is closed during the stall.
  CutOff,
  Closes,
  Resets,
  Silent,
  /// The response, and a duplicate of it during the stall.
  ExtraAnswer,
  /// The response, and a refusal without an id during the stall.
  StrayRefusal,
  /// From the second request on a connection onwards: a refusal without an id,
  /// which belongs to an earlier request, followed by the response.
  LateRefusal,
  NoId,
  /// The response to another request, followed by the peer's own response.
  OthersFirst,
  Refuses,
  RefusesWithoutId,
  /// A signed response that does not state that the request has not run.
  Signed503,
  Signed429,
  Signed408,
  Misdirects,
  /// An entry host's refusals while it receives the request, without an id.
  Own408,
  Own400,
  Own413,
  Own431,
  /// The same without the header field that states that the request has not
  /// run.
  Bare408,
  Bare400,
  Bare413,
  Bare431,
  Last = Bare431,
};

/// What the loop runs first after the stall.
enum class TurnOrder {
  /// All socket handlers that are ready, as the real loop does.
  Sockets,
  /// Due timers.
  Timers,
  /// One socket handler, then due timers.
  TimersAfterOne,
};

/// One replay: a loop that stalls once, at one point of a request's processing.
struct StallCase {
  /// "book", "look", "draft" or "ask".
  std::string Route;
  /// Number of local endpoints; 0: another entry host has them.
  unsigned Endpoints = 1;
  CallerAct Caller = CallerAct::Whole;
  PeerAct Peer = PeerAct::Answers;
  /// Number of handlers that run before the stall.
  unsigned StallPoint = 0;
  /// Duration of the stall.
  std::chrono::milliseconds Span{};
  TurnOrder Order = TurnOrder::Sockets;

  /// The name by which a single case can be run.
  std::string name() const;
};

/// Result of one replay.
struct StallOutcome {
  /// Descriptions of the violations found; empty when there are none.
  std::vector<std::string> Faults;
  /// The loop ran out of handlers before the point of the stall, so that later
  /// points give no new results.
  bool OutOfHandlers = false;
  unsigned Answers = 0;
  unsigned Runs = 0;
};

/// Replays a case on virtual time.
StallOutcome replay(const StallCase &Case);

/// Replays a case with a stall at each point, for each duration and order. When
/// CELERYBEAM_STALL_CASE=NAME is set in the environment, only the case with
/// that name is run.
void replayEverywhere(
    const StallCase &Base, const std::vector<std::chrono::milliseconds> &Spans,
    const std::function<void(const StallCase &, const StallOutcome &)> &Report);

} // namespace celerybeam::testing

#endif
