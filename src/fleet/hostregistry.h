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

/// The other entry hosts, as their messages show them.
///
/// A host is known at first hand from its own messages, or from what another
/// host tells of it. One that was not heard of for a while is not named to
/// callers and gets no requests; it stays known and is written to now and then,
/// so that it is heard again once it is back. Not thread-safe.
class HostRegistry {
public:
  using Hosts = std::vector<HostState>;

  HostRegistry(Runtime R, HostState Self);
  ~HostRegistry();

  const HostState &self() const;
  /// Changes what this host says of itself.
  void setSelf(const HostState &Self);

  /// An address at which a host may be, from settings, store or peers.
  void addContact(const std::string &Ip);
  /// A message came from a host. Messages of an earlier start that come right
  /// after those of a later one are ignored. \return false when ignored.
  bool heard(const HostState &Host);
  /// Another host tells of a host that it heard of this long ago. \return
  /// whether it was news: the host was unknown, or its state has changed.
  bool toldOf(const HostState &Host, Duration Age);
  /// A connection to the host could not be made, or it does not answer; it
  /// gets no requests for HoldOff.
  void unreachable(const std::string &Ip);

  /// Hosts heard of late, leaving ones included, self excluded.
  Hosts alive() const;
  /// Those of own region.
  Hosts aliveInRegion() const;
  /// Those that take requests, in one region, self excluded.
  Hosts serving(const RegionId &Region) const;
  /// One of them, drawn by size; empty when there is none.
  std::optional<HostState> drawServing(const RegionId &Region) const;
  /// Regions of other hosts that are alive, own one excluded.
  std::set<RegionId> otherRegions() const;
  /// The hosts of a region that work for the others there; of own region with
  /// self among them. Of a region without hosts: empty.
  RegionDelegates delegates(const RegionId &Region) const;

  /// Whether a host was heard of late.
  bool isAlive(const std::string &Ip) const;
  /// How long ago a host was last heard of; empty when it is unknown.
  std::optional<Duration> silence(const std::string &Ip) const;
  /// Grows whenever another host comes, goes or changes its state.
  std::uint64_t generation() const;

  /// Hosts known of late, alive or silent, self included: by how many a
  /// common budget is divided.
  std::size_t knownHosts() const;
  /// Some addresses at which nobody was heard of late, drawn at random.
  std::vector<std::string> silentContacts(std::size_t Most) const;

  /// Addresses for a caller in a region: ready hosts of the caller's region
  /// or, when there are none, of another one: of own region first. Where hosts
  /// differ in size, some are drawn so that each gets callers by its size.
  /// \param Homes  regions to which a caller elsewhere may be led; empty: all.
  std::vector<std::string> entriesFor(const RegionId &Region,
                                      const std::set<RegionId> &Homes) const;

  /// Silence after which a host of own region is not named to callers.
  static constexpr Duration RegionSilence = std::chrono::milliseconds(1300);
  /// The same for a host of another region.
  static constexpr Duration FarSilence = std::chrono::milliseconds(2600);
  /// The same for hosts known from others, whose word comes once a second for
  /// own region and every five for the others.
  static constexpr Duration ToldSilence = std::chrono::milliseconds(3000);
  static constexpr Duration FarToldSilence = std::chrono::seconds(13);
  /// Longest time that a message is on its way. Starts are told by the time of
  /// day, which may have jumped back in between: after a longer silence the
  /// latest message counts.
  static constexpr Duration MessageLife = std::chrono::milliseconds(500);
  static constexpr Duration HoldOff = std::chrono::milliseconds(1000);
  /// Hosts silent for longer are forgotten.
  static constexpr Duration Retention = std::chrono::seconds(60);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
