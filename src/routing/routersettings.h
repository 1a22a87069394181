#ifndef CELERYBEAM_ROUTING_ROUTERSETTINGS_H
#define CELERYBEAM_ROUTING_ROUTERSETTINGS_H

#include "framework/runtime.h"

namespace celerybeam {

/// What the router assumes of links and engines.
struct RouterSettings {
  /// One-way latency to another zone of the region.
  Duration ZoneHop = std::chrono::microseconds(1500);
  /// One-way latency to another region.
  Duration RegionHop = std::chrono::milliseconds(55);
  /// Bytes a second that all hosts of this region together may send over one
  /// link to another region; shared by the hosts alive in equal parts. Half
  /// of 140 megabits a second by default.
  double LinkBytesPerSecond = 140e6 / 8 / 2;
  /// Time an engine takes for each prompt token that its cache lacks.
  Duration PrefillPerToken = std::chrono::microseconds(200);
  /// Service time of an endpoint before any was observed.
  Duration AssumedService = std::chrono::seconds(2);
  /// Endpoints drawn at random for one decision.
  unsigned RandomChoices = 4;
  /// How old the view of a pool may be that a decision draws from. The
  /// endpoints that it draws are read fresh.
  Duration ViewAge = std::chrono::milliseconds(100);
};

} // namespace celerybeam

#endif
