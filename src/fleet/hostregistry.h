#ifndef CELERYBEAM_FLEET_HOSTREGISTRY_H
#define CELERYBEAM_FLEET_HOSTREGISTRY_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "fleet/hoststate.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Number of hosts that share a budget.
struct FleetSize {
  std::size_t Hosts = 1;
  /// Since when the number has been known. Unset while it may leave out hosts
  /// of which no message has come yet.
  std::optional<TimePoint> KnownSince;
};

/// Tracks the other entry hosts and decides which of them are alive.
///
/// A host is known directly, from its own messages, or from what another host
/// reports of it. A host without updates for a while is not named to callers
/// and gets no requests. It stays known and is sent a message periodically, so
/// that contact is restored once it is back. Not thread-safe.
class HostRegistry {
public:
  using Hosts = std::vector<HostState>;

  /// \param Regions  all regions that may have hosts.
  HostRegistry(Runtime R, HostState Self, std::set<RegionId> Regions = {});
  ~HostRegistry();

  const HostState &self() const;
  /// Replaces the state that this host sends to the others. The fleet's size in
  /// it comes from the registry.
  void setSelf(const HostState &Self);

  /// Adds an address at which a host may be, from settings, store or peers.
  void addContact(const std::string &Ip);
  /// Applies the state in a message that a host sent itself. A message of an
  /// earlier incarnation that arrives right after one of a later incarnation is
  /// ignored. \return false when ignored.
  bool received(const HostState &Host);
  /// Applies a host's state as another host reports it. \param Age  time since
  /// the last update about the host reached the reporter. \return whether the
  /// host was unknown or its state has changed.
  bool hostReported(const HostState &Host, Duration Age);
  /// Records that a connection to the host failed or that it does not respond;
  /// it gets no requests for HoldOff.
  void unreachable(const std::string &Ip);

  /// Hosts with a recent update, leaving ones included, self excluded.
  Hosts alive() const;
  /// The alive hosts of this host's region.
  Hosts aliveInRegion() const;
  /// The hosts of a region that accept requests, self excluded.
  Hosts serving(const RegionId &Region) const;
  /// One of the serving hosts, drawn at random in proportion to its size; empty
  /// when there is none. One whose tables are stale only if all are.
  std::optional<HostState> drawServing(const RegionId &Region) const;
  /// Regions with alive hosts, this host's region excluded.
  std::set<RegionId> otherRegions() const;
  /// The delegates of a region. This host may be among those of its own region.
  /// Empty for a region without hosts.
  RegionDelegates delegates(const RegionId &Region) const;

  /// The last known state of another host, alive or not; empty when it is
  /// unknown.
  std::optional<HostState> stateOf(const std::string &Ip) const;
  /// When a host's process started, by the last update; zero when it is
  /// unknown.
  std::int64_t startOf(const std::string &Ip) const;
  /// Whether there was a recent update about a host.
  bool isAlive(const std::string &Ip) const;
  /// Time since the last update about a host; empty when it is unknown.
  std::optional<Duration> silence(const std::string &Ip) const;
  /// Grows whenever another host appears, disappears or changes its state.
  std::uint64_t generation() const;

  /// Number of hosts with an update within Retention, alive or not, self
  /// included, or the number that another host knows if that is larger. It is
  /// known once there was an update from each region, or once another host has
  /// told it: a host that has just started, or is partitioned, can't tell the
  /// hosts that it has not heard of from none.
  FleetSize fleetSize() const;
  /// Whether more than half of the hosts of this host's region with an update
  /// within this time, self included, are alive.
  bool isInContactWithMost(Duration Within) const;
  /// Whether all hosts with an update within this time are alive, and each of
  /// their regions has sent this host a message within RegionSilence: reports
  /// about a region's hosts go on for some seconds after it is cut off. For
  /// placers, to which those of all regions send every 500 ms.
  bool allInContact(Duration Within) const;
  /// Addresses without a recent update, at most Max, drawn at random.
  std::vector<std::string> silentContacts(std::size_t Max) const;

  /// IP addresses of the ready hosts of a region. Where hosts differ in size, a
  /// sample is drawn so that each host gets callers in proportion to its size.
  std::vector<std::string> entriesIn(const RegionId &Region) const;
  /// Time since a host of the region was last known to be ready; since the
  /// start when none was.
  Duration sinceServing(const RegionId &Region) const;

  /// Time without a message after which a host of this region counts as not
  /// alive and is not named to callers.
  static constexpr Duration RegionSilence = std::chrono::milliseconds(1300);
  /// The same for a host of another region.
  static constexpr Duration RemoteSilence = std::chrono::milliseconds(2600);
  /// The same for hosts known from others, whose reports come every second for
  /// this region and every five seconds for the others.
  static constexpr Duration ReportedSilence = std::chrono::milliseconds(3000);
  static constexpr Duration RemoteReportedSilence = std::chrono::seconds(13);
  /// Longest time that a message is in transit. Incarnations are compared by
  /// wall-clock start times, and the wall clock may have jumped back in
  /// between: after a longer silence the latest message counts.
  static constexpr Duration MaxMessageDelay = std::chrono::milliseconds(500);
  /// A host without an update for longer is not named to callers: it may have
  /// been killed. Reports come often enough to lose one.
  static constexpr Duration MaxEntrySilence = std::chrono::seconds(7);
  /// How long an unreachable host gets no requests.
  static constexpr Duration HoldOff = std::chrono::milliseconds(1000);
  /// Hosts without updates for longer no longer count. Longer than regions stay
  /// partitioned: each part keeps its share of a budget meanwhile.
  static constexpr Duration Retention = std::chrono::hours(2);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
