#ifndef CELERYBEAM_DISPATCH_PLACEMENTTYPES_H
#define CELERYBEAM_DISPATCH_PLACEMENTTYPES_H

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.h"

namespace celerybeam {

/// Names one request's stay with a placer. Unique over hosts and restarts, as
/// each host counts from a random number.
struct PlacementId {
  std::uint64_t Value = 0;
  auto operator<=>(const PlacementId &) const = default;
};

/// Asks a placer where a request goes.
struct PlacementAsk {
  RequestDescriptor Request;
  FleetRoute Route;
  AttemptLog Log;
};

/// A placer's word. Hold: it waits there and hears again. Nothing: the placer
/// does not know of it, and it is to be asked for anew.
struct PlacementAnswer {
  std::optional<DispatchDecision> Decision;
  DecisionInputs Seen;
};

/// The endpoint has sent its first output.
struct OutputCame {
  /// Time from sending to that output.
  Duration Took{};
  /// How long the endpoint says that work takes there now; 1 is as usual.
  std::optional<double> Slowness;
};

/// A placement is over: the request was answered there, failed there, or gives
/// its place back unused.
struct PlacementEnd {
  /// Unset: nothing was sent.
  std::optional<AttemptOutcome> Outcome;
};

/// What one host tells another of a placement.
using PlacementNote =
    std::variant<PlacementAsk, PlacementAnswer, OutputCame, PlacementEnd>;

/// Which of a host's placements a list holds: those whose id leaves this
/// remainder. A list that fits into one datagram has one part; parts are taken
/// each for itself, so that a lost one does no harm to the others.
struct ListPart {
  std::uint32_t Index = 0;
  std::uint32_t Count = 1;

  bool covers(PlacementId Id) const { return Id.Value % Count == Index; }
};

/// One of a host's placements with a placer, in the list that the host sends
/// now and then: what the list and the placer's book do not agree on is
/// corrected, so that a lost message does no lasting harm.
struct ListedPlacement {
  PlacementId Id;
  /// Empty while it waits.
  std::optional<EndpointKey> Endpoint;
  Work Asked;
  bool HasOutput = false;
};

} // namespace celerybeam

#endif
