#ifndef CELERYBEAM_DISPATCH_TESTS_LOADREPLAY_H
#define CELERYBEAM_DISPATCH_TESTS_LOADREPLAY_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/placementserver.h"
#include "support/virtualtime.h"

namespace celerybeam::testing {

/// One kind of request that a replay sends.
struct ReplayKind {
  std::string Name;
  FleetRoute Route;
  /// Arrivals per second.
  double Rate = 0;
  Duration Deadline = std::chrono::seconds(10);
  /// Draws the prompt's length; zero for a plain request.
  std::function<std::uint32_t(std::uint64_t Random)> Tokens;
  std::uint32_t OutputTokens = 0;
  /// How long callers wait for the first output.
  Duration Patience = std::chrono::seconds(4);
  /// Draws the customer; null for requests without one.
  std::function<CustomerId(std::uint64_t Random)> Customer = nullptr;
};

/// Result of one caller's request.
struct ReplayedRequest {
  std::string Kind;
  std::uint32_t Tokens = 0;
  TimePoint Arrived{};
  Duration LatencyTarget{};
  /// From the first arrival to the first output and to the end.
  std::optional<Duration> FirstOutput;
  std::optional<Duration> Served;
  unsigned Refusals = 0;
  /// Longest time from an arrival to its refusal.
  Duration LongestQueueTime{};
  CustomerId Customer{};

  bool onTime() const { return Served && *FirstOutput <= LatencyTarget; }
};

struct ReplayPool {
  /// Zero for a plain service.
  double TokensPerMs = 0;
  Duration Service = std::chrono::milliseconds(60);
  unsigned Endpoints = 1;
  unsigned Slots = 64;
};

/// Replays a load over a PlacementServer and endpoints that run one prefill at
/// a time or serve as many plain requests as they have slots. Refused callers
/// come back once, after the time they were given.
class LoadReplay {
public:
  LoadReplay(ReplayPool Pool, unsigned Seed);
  ~LoadReplay();

  /// Sends the kinds at a multiple of their rates for this long, from now on.
  void run(const std::vector<ReplayKind> &Kinds, double Load, Duration Span);
  /// Runs until the requests in flight have ended.
  void settle();

  std::vector<ReplayedRequest> requests() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam::testing

#endif
