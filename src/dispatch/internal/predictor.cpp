#include "dispatch/predictor.h"

#include <algorithm>
#include <cmath>

namespace celerybeam {

namespace {

constexpr double UsPerMs = 1000;
/// Weights of one observation.
constexpr double EndpointWeight = 0.15;
constexpr double PoolWeight = 0.02;
/// Bounds of one observation's ratio, so that one stall does not mark an
/// endpoint for long.
constexpr double LeastRatio = 0.4;
constexpr double MostRatio = 3;
/// Bounds of what is learned.
constexpr double LeastFactor = 0.5;
constexpr double MostFactor = 6;
/// Observations shorter than this say little of speed.
constexpr Duration LeastPrediction = std::chrono::milliseconds(25);
/// What an endpoint says of its slowness holds for about this long.
constexpr Duration SaidHolds = std::chrono::milliseconds(700);

double millis(Duration D) { return static_cast<double>(D.count()) / UsPerMs; }
Duration fromMillis(double Ms) {
  return Duration(static_cast<Duration::rep>(Ms * UsPerMs));
}

} // namespace

Predictor::Predictor(Runtime R, LoadBook &Loads, PrefixBook &Prefixes)
    : Runtime_(std::move(R)), Loads_(Loads), Prefixes_(Prefixes) {}

const Predictor::PoolSpeed &Predictor::speedOf(const PoolName &Pool) const {
  static const PoolSpeed Unknown;
  auto Found = Pools_.find(Pool);
  return Found == Pools_.end() ? Unknown : Found->second;
}

double Predictor::slowness(const EndpointKey &Endpoint) const {
  auto Found = Endpoints_.find(Endpoint);
  if (Found == Endpoints_.end())
    return 1;
  const Speed &S = Found->second;
  bool Holds = Runtime_.Now() - S.SaidAt < SaidHolds;
  return std::max(S.Learned, Holds ? S.Said : 1);
}

Duration Predictor::ownTime(const FleetPool &Pool, std::uint32_t Tokens) const {
  const PoolSpeed &Speed = speedOf(Pool.Name);
  if (Pool.Engine)
    return EngineOverhead + fromMillis(Tokens * Speed.MsPerToken);
  return Speed.ServiceMs > 0 ? fromMillis(Speed.ServiceMs) : AssumedService;
}

Duration Predictor::ownTimeAt(const FleetEndpoint &Endpoint,
                              const FleetPool &Pool, const Work &Asked) const {
  return fromMillis(millis(ownTime(Pool, Asked.UncachedTokens)) *
                    std::max(1.0, slowness(Endpoint.Key)));
}

std::uint32_t Predictor::cachedTokens(const FleetEndpoint &Endpoint,
                                      const FleetPool &Pool,
                                      const RequestDescriptor &Request) const {
  std::uint64_t Used = Loads_.at(Endpoint.Key).MemoryTokens;
  std::uint64_t Capacity = Pool.Engine ? Pool.Engine->CacheTokens : 0;
  return std::min(Prefixes_.cachedTokens(Endpoint.Key, Request.Levels,
                                         Capacity - std::min(Used, Capacity)),
                  Request.PromptTokens);
}

PrefixSource
Predictor::sourceAmong(const std::vector<const FleetEndpoint *> &Endpoints,
                       const FleetPool &Pool,
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

Prediction Predictor::predictEngine(const FleetEndpoint &Endpoint,
                                    const FleetPool &Pool,
                                    const RequestDescriptor &Request,
                                    const FleetRoute &Route,
                                    const PrefixSource &Source) const {
  const EndpointLoad &Load = Loads_.at(Endpoint.Key);
  std::uint64_t Capacity = Pool.Engine->CacheTokens;
  std::uint32_t Needed = Request.PromptTokens + Request.MaxOutputTokens;
  std::uint32_t Cached = cachedTokens(Endpoint, Pool, Request);
  Prediction P;
  if (Source.Tokens >= Cached + LeastCopy)
    P.CopiedTokens = Source.Tokens - Cached;
  P.UncachedTokens = Request.PromptTokens - Cached - P.CopiedTokens;
  P.HasRoom =
      Load.InFlight < Endpoint.Slots &&
      Needed + Load.MemoryTokens <= static_cast<double>(Capacity) * MemoryShare;
  std::uint32_t Waiting =
      Route.Rank == 0 ? Load.UrgentPrefill : Load.AllPrefill;
  P.Ready =
      P.HasRoom && isPaced(Endpoint, Pool, Route, Waiting, P.UncachedTokens);
  std::uint32_t Others =
      Load.AllPrefill - std::min(Load.AllPrefill, Load.UrgentPrefill);
  double Ahead = Route.Rank == 0
                     ? Load.UrgentPrefill + std::min(Others, PrefillChunk)
                     : Load.AllPrefill;
  double PerToken = speedOf(Pool.Name).MsPerToken * slowness(Endpoint.Key);
  double WaitMs = Ahead * PerToken;
  // The oldest prompt in flight has been read in part.
  if (auto Oldest = Loads_.oldestWaiting(Endpoint.Key))
    WaitMs = std::max(WaitMs / 2, WaitMs - millis(Runtime_.Now() - *Oldest));
  if (!P.HasRoom)
    WaitMs += placeWaitMs(Endpoint, Pool, Load);
  P.Wait = fromMillis(WaitMs);
  P.ToFirstOutput =
      P.Wait + EngineOverhead + fromMillis(P.UncachedTokens * PerToken);
  if (P.CopiedTokens > 0)
    P.ToFirstOutput +=
        CopySetUp + fromMillis(P.CopiedTokens * Pool.Engine->CopyMsPerToken);
  return P;
}

double Predictor::placeWaitMs(const FleetEndpoint &Endpoint,
                              const FleetPool &Pool,
                              const EndpointLoad &Load) const {
  // Its streams end one after the other, evenly over their length. Where memory
  // is short, one of them makes room.
  double Streams = std::max(1U, Load.InFlight);
  double Ends =
      Load.InFlight < Endpoint.Slots ? 1 : Load.InFlight - Endpoint.Slots + 1.0;
  return speedOf(Pool.Name).StreamMs * Ends / Streams;
}

bool Predictor::isPaced(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                        const FleetRoute &Route, std::uint32_t Waiting,
                        std::uint32_t Own) const {
  if (Loads_.at(Endpoint.Key).InFlight > 0 &&
      Loads_.readingShare(Endpoint.Key) > MostReading)
    return false;
  double PerToken = speedOf(Pool.Name).MsPerToken;
  double PauseMs = millis(Route.EventGapTarget);
  if ((Waiting + Own) * PerToken <= PauseMs * PrefillShare)
    return true;
  double EventMs = PrefillChunk * PerToken * Pool.Engine->StepsPerEvent;
  return Waiting == 0 &&
         (EventMs <= PauseMs * HarmlessShare || isSpaced(Endpoint.Key));
}

bool Predictor::isSpaced(const EndpointKey &Endpoint) const {
  return Runtime_.Now() - Loads_.lastRead(Endpoint) >= PrefillSpacing;
}

Prediction Predictor::predictPlain(const FleetEndpoint &Endpoint,
                                   const FleetPool &Pool) const {
  const EndpointLoad &Load = Loads_.at(Endpoint.Key);
  double Slots = std::max(1U, Endpoint.Slots);
  double Service = millis(ownTime(Pool, 0)) * slowness(Endpoint.Key);
  double Beyond = std::max(0.0, Load.InFlight + 1 - Slots);
  Prediction P;
  P.Wait = fromMillis(Service * Beyond / Slots);
  P.ToFirstOutput = P.Wait + fromMillis(Service);
  P.HasRoom = Beyond <= 0;
  P.Ready = P.HasRoom;
  return P;
}

Prediction Predictor::predict(const FleetEndpoint &Endpoint,
                              const FleetPool &Pool,
                              const RequestDescriptor &Request,
                              const FleetRoute &Route,
                              const PrefixSource &Source) const {
  return Pool.Engine ? predictEngine(Endpoint, Pool, Request, Route, Source)
                     : predictPlain(Endpoint, Pool);
}

Duration Predictor::streamTime(const FleetPool &Pool,
                               std::uint32_t MaxOutputTokens) const {
  return fromMillis(speedOf(Pool.Name).MsPerOutputToken * MaxOutputTokens);
}

void Predictor::streamed(const PoolName &Pool, std::uint32_t MaxOutputTokens,
                         Duration Took) {
  if (MaxOutputTokens == 0)
    return;
  PoolSpeed &Speed = Pools_[Pool];
  Speed.MsPerOutputToken +=
      (millis(Took) / MaxOutputTokens - Speed.MsPerOutputToken) * PoolWeight;
  Speed.StreamMs += (millis(Took) - Speed.StreamMs) * PoolWeight;
}

void Predictor::observed(const FleetEndpoint &Endpoint, const FleetPool &Pool,
                         const Prediction &Expected, Duration Took) {
  if (Expected.ToFirstOutput < LeastPrediction)
    return;
  double Ratio = std::clamp(millis(Took) / millis(Expected.ToFirstOutput),
                            LeastRatio, MostRatio);
  Speed &S = Endpoints_[Endpoint.Key];
  S.Learned = std::clamp(S.Learned * std::pow(Ratio, EndpointWeight),
                         LeastFactor, MostFactor);
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

void Predictor::saidSlowness(const EndpointKey &Endpoint, double Factor) {
  Speed &S = Endpoints_[Endpoint];
  S.Said = std::clamp(Factor, LeastFactor, MostFactor);
  S.SaidAt = Runtime_.Now();
}

} // namespace celerybeam
