#ifndef CELERYBEAM_BENCH_DECISIONS_REPORT_H
#define CELERYBEAM_BENCH_DECISIONS_REPORT_H

#include <cstdint>
#include <string>
#include <vector>

#include "blackboard/tabletypes.h"
#include "framework/runtime.h"

namespace celerybeam::bench {

/// Latencies of one class, in milliseconds.
class Latencies {
public:
  void add(Duration D);
  /// \param Q  in [0, 1]; 0 without samples.
  double quantile(double Q) const;
  double mean() const;
  std::size_t count() const { return Millis_.size(); }

private:
  mutable std::vector<double> Millis_;
  mutable bool Sorted_ = true;
};

/// What one run showed.
struct Outcome {
  Latencies ShortTotal;
  Latencies ShortFirstToken;
  Latencies LongTotal;
  std::uint64_t Arrived = 0;
  std::uint64_t InTime = 0;
  /// Answer tokens of the answers in time.
  std::uint64_t TokensInTime = 0;
  std::uint64_t Late = 0;
  std::uint64_t Refused = 0;
  /// Time from arrival to refusal.
  Latencies Refusal;
  std::uint64_t SentAway = 0;
  std::uint64_t Hedges = 0;
  /// Streams resumed elsewhere since they were slow.
  std::uint64_t Moves = 0;
  double EgressBytes = 0;
  double SlotSeconds = 0;
  std::uint64_t CachedTokens = 0;
  std::uint64_t PromptTokens = 0;
  double Seconds = 0;

  double goodput() const;
  /// Slot seconds, and the egress in the same unit, for each answer in time.
  double cost() const;
  double prefixHits() const;
  double shareAway() const;
};

void printHeader();
void printRow(const std::string &Scenario, const std::string &Policy,
              const Outcome &O);

} // namespace celerybeam::bench

#endif
