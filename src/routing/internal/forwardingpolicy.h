#ifndef CELERYBEAM_ROUTING_INTERNAL_FORWARDINGPOLICY_H
#define CELERYBEAM_ROUTING_INTERNAL_FORWARDINGPOLICY_H

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "blackboard/blackboard.h"
#include "framework/runtime.h"
#include "routing/routersettings.h"
#include "routing/routingtypes.h"

namespace celerybeam::detail {

/// Load of a pool in another region, as reported by that region's hosts.
struct RemotePool {
  RegionId Region;
  /// Hosts that accept forwarded requests.
  std::vector<HostId> Hosts;
  double Slots = 0;
  double Busy = 0;
  Duration Wait{};
};

/// The inputs of one forwarding decision.
struct ForwardingInput {
  const RouteQuery *Query = nullptr;
  const RouteRow *Route = nullptr;
  const PoolRow *Pool = nullptr;
  /// Predicted time to the first token in this region; empty when no local
  /// endpoint can serve.
  std::optional<Duration> LocalScore;
  Duration Remaining{};
};

/// Decides whether a request is forwarded to another region, and to which.
///
/// Tracks for each route whether forwarding is active and the share of requests
/// forwarded, and for each link the bytes sent. Thread-safe.
class ForwardingPolicy {
public:
  ForwardingPolicy(Blackboard &Board, Runtime R,
                   const RouterSettings &Settings);

  std::optional<ForwardToRegion> choose(const ForwardingInput &Input);

  /// Records that the region did not respond; nothing is forwarded to it for
  /// BackOff.
  void recordFailure(const RegionId &Region);
  static constexpr Duration BackOff = std::chrono::seconds(5);

  /// Counts bytes sent on the link in addition to the query's WireBytes.
  void recordBytes(const RegionId &Region, std::uint64_t Bytes);

private:
  struct RouteState {
    bool Enabled = false;
    /// Moving average of the local score.
    double LocalScoreMicros = 0;
    /// Since when the other region's score has been lower by the margin.
    std::optional<TimePoint> OverSince;
    double ShareTokens = 0;
  };
  struct LinkState {
    double Bytes = 0;
    TimePoint RefilledAt{};
    bool Started = false;
  };
  /// Requests recently sent to a region, which its reported load does not yet
  /// include.
  struct SentState {
    double Count = 0;
    TimePoint DecayedAt{};
  };
  struct RemotePools {
    TimePoint MadeAt{};
    std::vector<RemotePool> Pools;
    /// Number of hosts alive in this region, including this one.
    double LocalHosts = 1;
  };

  std::shared_ptr<const RemotePools> remotePools(const PoolName &Pool);
  Duration remoteScore(const RemotePool &Remote, const ForwardingInput &Input,
                       double LocalHosts);
  bool isWorthwhile(RouteState &State, const ForwardingInput &Input,
                    Duration Remote) const;
  bool reserveBytes(const RegionId &Region, double Bytes, double LocalHosts);
  void refill(LinkState &Link, double LocalHosts) const;
  double recentlySent(const RegionId &Region);
  bool isBackingOff(const RegionId &Region) const;

  Blackboard &Board_;
  Runtime Runtime_;
  RouterSettings Settings_;
  std::mutex Mutex_;
  std::map<RouteName, RouteState> Routes_;
  std::map<RegionId, LinkState> Links_;
  std::map<RegionId, SentState> RecentlySent_;
  std::map<RegionId, TimePoint> FailedAt_;
  std::map<PoolName, std::shared_ptr<const RemotePools>> RemotePools_;
};

} // namespace celerybeam::detail

#endif
