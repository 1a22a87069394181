#include "dispatch/latencypredictor.h"

#include <algorithm>
#include <cmath>

namespace celerybeam {

namespace {

constexpr double UsPerMs = 1000;
/// Weights of one observation.
constexpr double EndpointWeight = 0.15;
constexpr double PoolWeight = 0.02;
/// Limits of one observation's ratio, so that one stall does not affect an
/// endpoint for long.
constexpr double MinRatio = 0.4;
constexpr double MaxRatio = 3;
/// Limits of the learned factors.
constexpr double MinFactor = 0.5;
constexpr double MaxFactor = 6;
/// Observations shorter than this say little about speed.
constexpr Duration MinPrediction = std::chrono::milliseconds(25);
/// A slowness that an endpoint reported is used for about this long.
constexpr Duration ReportValidity = std::chrono::milliseconds(700);

double millis(Duration D) { return static_cast<double>(D.count()) / UsPerMs; }
Duration fromMillis(double Ms) {
  return Duration(static_cast<Duration::rep>(Ms * UsPerMs));
}

} // namespace

LatencyPredictor::LatencyPredictor(Runtime R, EndpointLoadTracker &Loads,
                                   PrefixCacheTracker &Prefixes)
    : Runtime_(std::move(R)), Loads_(Loads), Prefixes_(Prefixes) {}

const LatencyPredictor::PoolSpeed &
LatencyPredictor::speedOf(const PoolName &Pool) const {
  static const PoolSpeed Unknown;
  auto Found = Pools_.find(Pool);
  return Found == Pools_.end() ? Unknown : Found->second;
}

double LatencyPredictor::slowness(const EndpointKey &Endpoint) const {
  auto Found = Endpoints_.find(Endpoint);
  if (Found == Endpoints_.end())
    return 1;
  const Speed &S = Found->second;
  bool Holds = Runtime_.Now() - S.ReportedAt < ReportValidity;
  return std::max(S.Learned, Holds ? S.Reported : 1);
}

Duration LatencyPredictor::serviceTime(const FleetPool &Pool,
                                       std::uint32_t Tokens) const {
  const PoolSpeed &Speed = speedOf(Pool.Name);
  if (Pool.Engine)
    return EngineOverhead + fromMillis(Tokens * Speed.MsPerToken);
  return Speed.ServiceMs > 0 ? fromMillis(Speed.ServiceMs) : AssumedService;
}

Duration LatencyPredictor::serviceTimeAt(const FleetEndpoint &Endpoint,
                                         const FleetPool &Pool,
                                         const RequestCost &Cost) const {
  return fromMillis(millis(serviceTime(Pool, Cost.UncachedTokens)) *
                    std::max(1.0, slowness(Endpoint.Key)));
}

std::uint32_t
LatencyPredictor::cachedTokens(const FleetEndpoint &Endpoint,
                               const FleetPool &Pool,
                               const RequestDescriptor &Request) const {
  std::uint64_t Used = Loads_.at(Endpoint.Key).MemoryTokens;
  std::uint64_t Capacity = Pool.Engine ? Pool.Engine->CacheTokens : 0;
  return std::min(Prefixes_.cachedTokens(Endpoint.Key, Request.Levels,
                                         Capacity - std::min(Used, Capacity)),
                  Request.PromptTokens);
}

PrefixSource LatencyPredictor::findPrefixSource(
    const std::vector<const FleetEndpoint *> &Endpoints, const FleetPool &Pool,
    const RequestDescriptor &Request) const {
  PrefixSource Best;
  if (!Pool.Engine || Pool.Engine->CopyMsPerToken <= 0)
    return Best;
  for (const FleetEndpoint *E : Endpoints) {
    std::uint32_t Tokens = cachedTokens(*E, Pool, Request);
    if (Tokens > Best.Tokens)
      Best = {E, Tokens};
  }
  return Best;
}

Prediction LatencyPredictor::predictEngine(const FleetEndpoint &Endpoint,
                                           const FleetPool &Pool,
                                           const RequestDescriptor &Request,
                                           const FleetRoute &Route,
                                           const PrefixSource &Source) const {
  const EndpointLoad &Load = Loads_.at(Endpoint.Key);
  std::uint64_t Capacity = Pool.Engine->CacheTokens;
  std::uint32_t Needed = Request.PromptTokens + Request.MaxOutputTokens;
  std::uint32_t Cached = cachedTokens(Endpoint, Pool, Request);
  Prediction P;
  if (Source.Tokens >= Cached + MinCopyTokens)
    P.CopiedTokens = Source.Tokens - Cached;
  P.UncachedTokens = Request.PromptTokens - Cached - P.CopiedTokens;
  P.HasCapacity =
      Load.InFlight < Endpoint.Slots &&
      Needed + Load.MemoryTokens <= static_cast<double>(Capacity) * MemoryShare;
  std::uint32_t Waiting =
      Route.Rank == 0 ? Load.UrgentPrefill : Load.AllPrefill;
  P.Ready = P.HasCapacity &&
            fitsPauseTarget(Endpoint, Pool, Route, Waiting, P.UncachedTokens);
  std::uint32_t Others =
      Load.AllPrefill - std::min(Load.AllPrefill, Load.UrgentPrefill);
  double Ahead = Route.Rank == 0
                     ? Load.UrgentPrefill + std::min(Others, PrefillChunk)
                     : Load.AllPrefill;
  double PerToken = speedOf(Pool.Name).MsPerToken * slowness(Endpoint.Key);
  double WaitMs = Ahead * PerToken;
  // Part of the oldest prompt in flight has been processed already.
  if (auto Oldest = Loads_.oldestWaiting(Endpoint.Key))
    WaitMs = std::max(WaitMs / 2, WaitMs - millis(Runtime_.Now() - *Oldest));
  if (!P.HasCapacity)
    WaitMs += slotWaitMs(Endpoint, Pool, Load);
  P.Wait = fromMillis(WaitMs);
  P.ToFirstOutput =
      P.Wait + EngineOverhead + fromMillis(P.UncachedTokens * PerToken);
  if (P.CopiedTokens > 0)
    P.ToFirstOutput +=
        CopySetUp + fromMillis(P.CopiedTokens * Pool.Engine->CopyMsPerToken);
  return P;
}

double LatencyPredictor::slotWaitMs(const FleetEndpoint &Endpoint,
                                    const FleetPool &Pool,
                                    const EndpointLoad &Load) const {
  // Its streams end one after the other, evenly over their length. If memory is
  // short, the end of one of them frees enough.
  double Streams = std::max(1U, Load.InFlight);
  double Ends =
      Load.InFlight < Endpoint.Slots ? 1 : Load.InFlight - Endpoint.Slots + 1.0;
  return speedOf(Pool.Name).StreamMs * Ends / Streams;
}

bool LatencyPredictor::fitsPauseTarget(const FleetEndpoint &Endpoint,
                                       const FleetPool &Pool,
                                       const FleetRoute &Route,
                                       std::uint32_t Waiting,
                                       std::uint32_t OwnTokens) const {
  if (Loads_.at(Endpoint.Key).InFlight > 0 &&
      Loads_.prefillUtilization(Endpoint.Key) > MaxPrefillUtilization)
    return false;
  double PerToken = speedOf(Pool.Name).MsPerToken;
  double PauseMs = millis(Route.EventGapTarget);
  if ((Waiting + OwnTokens) * PerToken <= PauseMs * PrefillShare)
    return true;
  double EventMs = PrefillChunk * PerToken * Pool.Engine->StepsPerEvent;
  return Waiting == 0 && (EventMs <= PauseMs * NoSpacingShare ||
                          hasPrefillSpacing(Endpoint.Key));
}

bool LatencyPredictor::hasPrefillSpacing(const EndpointKey &Endpoint) const {
  return Runtime_.Now() - Loads_.lastPrefillEnd(Endpoint) >= PrefillSpacing;
}

Prediction LatencyPredictor::predictPlain(const FleetEndpoint &Endpoint,
                                          const FleetPool &Pool) const {
  const EndpointLoad &Load = Loads_.at(Endpoint.Key);
  double Slots = std::max(1U, Endpoint.Slots);
  double Service = millis(serviceTime(Pool, 0)) * slowness(Endpoint.Key);
  double Beyond = std::max(0.0, Load.InFlight + 1 - Slots);
  Prediction P;
  P.Wait = fromMillis(Service * Beyond / Slots);
  P.ToFirstOutput = P.Wait + fromMillis(Service);
  P.HasCapacity = Beyond <= 0;
  P.Ready = P.HasCapacity;
  return P;
}

Prediction LatencyPredictor::predict(const FleetEndpoint &Endpoint,
                                     const FleetPool &Pool,
                                     const RequestDescriptor &Request,
                                     const FleetRoute &Route,
                                     const PrefixSource &Source) const {
  return Pool.Engine ? predictEngine(Endpoint, Pool, Request, Route, Source)
                     : predictPlain(Endpoint, Pool);
}

Duration LatencyPredictor::streamTime(const FleetPool &Pool,
                                      std::uint32_t MaxOutputTokens) const {
  return fromMillis(speedOf(Pool.Name).MsPerOutputToken * MaxOutputTokens);
}

void LatencyPredictor::recordStream(const PoolName &Pool,
                                    std::uint32_t MaxOutputTokens,
                                    Duration Took) {
  if (MaxOutputTokens == 0)
    return;
  PoolSpeed &Speed = Pools_[Pool];
  Speed.MsPerOutputToken +=
      (millis(Took) / MaxOutputTokens - Speed.MsPerOutputToken) * PoolWeight;
  Speed.StreamMs += (millis(Took) - Speed.StreamMs) * PoolWeight;
}

void LatencyPredictor::recordLatency(const FleetEndpoint &Endpoint,
                                     const FleetPool &Pool,
                                     const Prediction &Expected,
                                     Duration Took) {
  if (Expected.ToFirstOutput < MinPrediction)
    return;
  double Ratio = std::clamp(millis(Took) / millis(Expected.ToFirstOutput),
                            MinRatio, MaxRatio);
  Speed &S = Endpoints_[Endpoint.Key];
  S.Learned = std::clamp(S.Learned * std::pow(Ratio, EndpointWeight), MinFactor,
                         MaxFactor);
  PoolSpeed &Whole = Pools_[Pool.Name];
  if (Pool.Engine) {
    Whole.MsPerToken *= std::pow(Ratio, PoolWeight);
    return;
  }
  double Service = std::max(0.0, millis(Took) - millis(Expected.Wait));
  if (Whole.ServiceMs <= 0)
    Whole.ServiceMs = millis(AssumedService);
  Whole.ServiceMs += (Service - Whole.ServiceMs) * PoolWeight;
}

void LatencyPredictor::recordSlowness(const EndpointKey &Endpoint,
                                      double Factor) {
  Speed &S = Endpoints_[Endpoint];
  S.Reported = std::clamp(Factor, MinFactor, MaxFactor);
  S.ReportedAt = Runtime_.Now();
}

} // namespace celerybeam
