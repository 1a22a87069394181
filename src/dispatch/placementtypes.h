#ifndef CELERYBEAM_DISPATCH_PLACEMENTTYPES_H
#define CELERYBEAM_DISPATCH_PLACEMENTTYPES_H

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.h"

namespace celerybeam {

/// Identifies one placement of a request with a placer. Unique over hosts and
/// restarts, as each host counts from a random number.
struct PlacementId {
  std::uint64_t Value = 0;
  auto operator<=>(const PlacementId &) const = default;
};

/// Asks a placer where a request is to go.
struct PlacementAsk {
  RequestDescriptor Request;
  FleetRoute Route;
  AttemptLog Log;
};

/// A placer's reply. With Enqueue, the request is queued there and another
/// reply follows. Without a decision, the placer does not know the placement,
/// and the host has to ask again.
struct PlacementAnswer {
  std::optional<DispatchDecision> Decision;
  DecisionInputs Inputs;
};

/// Reports that the endpoint has sent its first output.
struct FirstOutputReport {
  /// Time from sending to that output.
  Duration Took{};
  /// Factor by which service takes longer than usual, as reported by the
  /// endpoint; 1 is as usual.
  std::optional<double> Slowness;
};

/// Ends a placement: the request was answered there, failed there, or returns
/// its slot unused. Reports the result of a request that was offered to a
/// region of unknown load.
struct PlacementEnd {
  /// Unset if nothing was sent. For a request that was offered to another
  /// region: Answered if that has begun to answer; unset if nothing was
  /// learned.
  std::optional<AttemptOutcome> Outcome;
  /// Time after which a region that refused an offered request would serve it,
  /// if it said so.
  std::optional<Duration> RetryAfter{};
};

/// Message about a placement from one host to another.
using PlacementNote = std::variant<PlacementAsk, PlacementAnswer,
                                   FirstOutputReport, PlacementEnd>;

/// Selects which of a host's placements a list contains: those whose id modulo
/// Count is Index. A list that fits into one datagram has one part. Each part
/// is processed on its own, so that a lost one does not affect the others.
struct ListPart {
  std::uint32_t Index = 0;
  std::uint32_t Count = 1;

  bool covers(PlacementId Id) const { return Id.Value % Count == Index; }
};

/// One of a host's placements with a placer, in the list that the host sends
/// periodically. Differences between the list and the placer's own state are
/// corrected, so that a lost message does no lasting harm.
struct ListedPlacement {
  PlacementId Id;
  /// Empty while it is queued.
  std::optional<EndpointKey> Endpoint;
  RequestCost Cost;
  bool HasOutput = false;
};

} // namespace celerybeam

#endif
