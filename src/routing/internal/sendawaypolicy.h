#ifndef CELERYBEAM_ROUTING_INTERNAL_SENDAWAYPOLICY_H
#define CELERYBEAM_ROUTING_INTERNAL_SENDAWAYPOLICY_H

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

/// What the hosts of another region say of a pool there.
struct RemotePool {
  RegionId Region;
  /// Hosts that can take requests.
  std::vector<HostId> Hosts;
  double Slots = 0;
  double Busy = 0;
  Duration Wait{};
};

/// What a decision about sending away starts from.
struct SendAwayCase {
  const RouteQuery *Query = nullptr;
  const RouteRow *Route = nullptr;
  const PoolRow *Pool = nullptr;
  /// Predicted time to the first token in this region; empty when no endpoint
  /// here can serve.
  std::optional<Duration> LocalScore;
  Duration Remaining{};
};

/// Decides whether a request is worth a trip to another region.
///
/// Keeps, for each route, whether sending away is on, the share sent and, for
/// each link, the bytes sent. Thread-safe.
class SendAwayPolicy {
public:
  SendAwayPolicy(Blackboard &Board, Runtime R, const RouterSettings &Settings);

  std::optional<SendAway> choose(const SendAwayCase &Case);

  /// Nobody answered in the region; it gets nothing for HoldOff.
  void failed(const RegionId &Region);
  static constexpr Duration HoldOff = std::chrono::seconds(5);

  /// Accounts for bytes on the link beyond those of the query.
  void sent(const RegionId &Region, std::uint64_t Bytes);

private:
  struct RouteState {
    bool On = false;
    /// Moving average of the local score.
    double LocalScoreMicros = 0;
    /// Since when the other region has been cheaper by the margin.
    std::optional<TimePoint> OverSince;
    double ShareTokens = 0;
  };
  struct LinkState {
    double Bytes = 0;
    TimePoint RefilledAt{};
    bool Started = false;
  };
  /// Requests sent to a region since its hosts told of their load.
  struct SentState {
    double Count = 0;
    TimePoint DecayedAt{};
  };
  struct Remotes {
    TimePoint MadeAt{};
    std::vector<RemotePool> Pools;
    /// Hosts alive in this region, this one included.
    double OwnHosts = 1;
  };

  std::shared_ptr<const Remotes> remotesOf(const PoolName &Pool);
  Duration remoteScore(const RemotePool &Remote, const SendAwayCase &Case,
                       double OwnHosts);
  bool pays(RouteState &State, const SendAwayCase &Case, Duration Remote) const;
  bool takeBytes(const RegionId &Region, double Bytes, double OwnHosts);
  void refill(LinkState &Link, double OwnHosts) const;
  double recentlySent(const RegionId &Region);
  bool heldOff(const RegionId &Region) const;

  Blackboard &Board_;
  Runtime Runtime_;
  RouterSettings Settings_;
  std::mutex Mutex_;
  std::map<RouteName, RouteState> Routes_;
  std::map<RegionId, LinkState> Links_;
  std::map<RegionId, SentState> Sent_;
  std::map<RegionId, TimePoint> FailedAt_;
  std::map<PoolName, std::shared_ptr<const Remotes>> Remotes_;
};

} // namespace celerybeam::detail

#endif
