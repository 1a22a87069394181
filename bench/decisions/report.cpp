#include "decisions/report.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace celerybeam::bench {

namespace {

/// Slot seconds that a gigabyte between regions costs.
constexpr double SlotSecondsPerGigabyte = 1000;
constexpr double BytesPerGigabyte = 1e9;
constexpr double MicrosPerMilli = 1e3;

double ratio(double Part, double Whole) { return Whole > 0 ? Part / Whole : 0; }

} // namespace

void Latencies::add(Duration D) {
  Millis_.push_back(static_cast<double>(D.count()) / MicrosPerMilli);
  Sorted_ = false;
}

double Latencies::quantile(double Q) const {
  if (Millis_.empty())
    return 0;
  if (!Sorted_)
    std::sort(Millis_.begin(), Millis_.end());
  Sorted_ = true;
  auto Last = static_cast<double>(Millis_.size() - 1);
  return Millis_[static_cast<std::size_t>(Q * Last)];
}

double Latencies::mean() const {
  return ratio(std::accumulate(Millis_.begin(), Millis_.end(), 0.),
               static_cast<double>(Millis_.size()));
}

double Outcome::goodput() const {
  return ratio(static_cast<double>(InTime), Seconds);
}

double Outcome::cost() const {
  double Egress = EgressBytes / BytesPerGigabyte * SlotSecondsPerGigabyte;
  return ratio(SlotSeconds + Egress, static_cast<double>(InTime));
}

double Outcome::prefixHits() const {
  return ratio(static_cast<double>(CachedTokens),
               static_cast<double>(PromptTokens));
}

double Outcome::shareAway() const {
  return ratio(static_cast<double>(SentAway), static_cast<double>(Arrived));
}

void printHeader() {
  std::printf(
      "%-16s %-12s %7s %7s %6s %6s %6s %6s %6s %6s %6s %6s %6s %5s %5s %5s %5s "
      "%6s %6s\n",
      "scenario", "policy", "goodput", "tok/s", "intime", "cost", "s.p50",
      "s.p99", "s.p999", "ft.avg", "ft.p99", "l.p50", "l.p99", "away%", "hits%",
      "hedg%", "move%", "refus%", "ref.ms");
}

void printRow(const std::string &Scenario, const std::string &Policy,
              const Outcome &O) {
  auto Arrived = static_cast<double>(O.Arrived);
  auto Percent = [&](std::uint64_t Count) {
    return 100 * ratio(static_cast<double>(Count), Arrived);
  };
  std::printf(
      "%-16s %-12s %7.2f %7.0f %6.2f %6.3f %6.0f %6.0f %6.0f %6.0f %6.0f "
      "%6.0f %6.0f %5.1f %5.1f %5.1f %5.1f %6.1f %6.1f\n",
      Scenario.c_str(), Policy.c_str(), O.goodput(),
      ratio(static_cast<double>(O.TokensInTime), O.Seconds), Percent(O.InTime),
      O.cost(), O.ShortTotal.quantile(0.5), O.ShortTotal.quantile(0.99),
      O.ShortTotal.quantile(0.999), O.ShortFirstToken.mean(),
      O.ShortFirstToken.quantile(0.99), O.LongTotal.quantile(0.5),
      O.LongTotal.quantile(0.99), 100 * O.shareAway(), 100 * O.prefixHits(),
      Percent(O.Hedges), Percent(O.Moves), Percent(O.Refused),
      O.Refusal.quantile(0.99));
  std::fflush(stdout);
}

} // namespace celerybeam::bench
