#include "membership/internal/stragglerdetector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Limits as multiples of the pool's median, with minimums so that jitter in a
/// fast pool does not count as slowness.
constexpr double GapFactor = 3;
constexpr double FirstTokenFactor = 4;
constexpr double StallGapFactor = 12;
constexpr double StallFirstTokenFactor = 5;
constexpr Duration MinGapLimit = std::chrono::milliseconds(20);
constexpr Duration MinFirstTokenLimit = std::chrono::milliseconds(400);
constexpr Duration MinStallLimit = std::chrono::milliseconds(300);
constexpr double FailureLimit = 3;
constexpr std::size_t MinSamples = 2;

Duration lowerMedian(std::vector<Duration> Values) {
  if (Values.size() < MinSamples)
    return {};
  auto Middle = Values.begin() + static_cast<long>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

double overLimit(Duration Value, Duration Median, double Factor, Duration Min) {
  if (Median == Duration::zero())
    return 0;
  double Limit = std::max(static_cast<double>(Median.count()) * Factor,
                          static_cast<double>(Min.count()));
  return static_cast<double>(Value.count()) / Limit;
}

double stallSeverity(const EndpointSample &Sample, const PoolNorm &Norm) {
  if (Sample.Streaming)
    return overLimit(Sample.SinceProgress, Norm.TokenGap, StallGapFactor,
                     MinStallLimit);
  return overLimit(Sample.SinceProgress, Norm.FirstToken, StallFirstTokenFactor,
                   MinFirstTokenLimit);
}

std::size_t remainingEjections(const std::vector<EndpointSample> &Samples,
                               double EjectionCap) {
  auto Size = static_cast<double>(Samples.size());
  auto MaxEjected = static_cast<std::size_t>(std::floor(Size * EjectionCap));
  if (MaxEjected == 0 && EjectionCap > 0 && Samples.size() >= 2)
    MaxEjected = 1;
  auto AlreadyEjected = static_cast<std::size_t>(std::count_if(
      Samples.begin(), Samples.end(), [](const EndpointSample &S) {
        return S.Probation == ProbationState::Ejected;
      }));
  return MaxEjected > AlreadyEjected ? MaxEjected - AlreadyEjected : 0;
}

} // namespace

PoolNorm poolNorm(const std::vector<EndpointSample> &Samples) {
  std::vector<Duration> FirstTokens;
  std::vector<Duration> Gaps;
  for (const EndpointSample &S : Samples) {
    if (S.Probation == ProbationState::Ejected)
      continue;
    if (S.FirstToken > Duration::zero())
      FirstTokens.push_back(S.FirstToken);
    if (S.TokenGap > Duration::zero())
      Gaps.push_back(S.TokenGap);
  }
  return {lowerMedian(std::move(FirstTokens)), lowerMedian(std::move(Gaps))};
}

double severity(const EndpointSample &Sample, const PoolNorm &Norm) {
  double Worst = Sample.ConsecutiveFailures / FailureLimit;
  if (Sample.ConsecutiveFailures >= FailureLimit)
    Worst += 1;
  Worst = std::max(
      Worst, overLimit(Sample.TokenGap, Norm.TokenGap, GapFactor, MinGapLimit));
  Worst = std::max(Worst, overLimit(Sample.FirstToken, Norm.FirstToken,
                                    FirstTokenFactor, MinFirstTokenLimit));
  return std::max(Worst, stallSeverity(Sample, Norm));
}

std::vector<EndpointId>
pickStragglers(const std::vector<EndpointSample> &Samples, const PoolNorm &Norm,
               double EjectionCap) {
  std::vector<std::pair<double, EndpointId>> Found;
  for (const EndpointSample &S : Samples) {
    double Severity = severity(S, Norm);
    if (S.Probation != ProbationState::Ejected && Severity > 1)
      Found.emplace_back(Severity, S.Id);
  }
  std::sort(Found.begin(), Found.end(), std::greater<>());
  Found.resize(
      std::min(Found.size(), remainingEjections(Samples, EjectionCap)));
  std::vector<EndpointId> Ids;
  Ids.reserve(Found.size());
  for (auto &[Severity, Id] : Found)
    Ids.push_back(std::move(Id));
  return Ids;
}

} // namespace celerybeam::detail
