#ifndef CELERYBEAM_FLEET_HOSTREGISTRY_H
#define CELERYBEAM_FLEET_HOSTREGISTRY_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "fleet/storemirror.h"
#include "framework/runtime.h"

namespace celerybeam {

/// What an entry host says of itself.
struct HostState {
  HostId Id;
  /// IP number; ports are the same on all hosts.
  std::string Ip;
  ZoneId Zone;
  RegionId Region;
  /// Unix milliseconds of its start: larger is newer.
  std::int64_t StartedAt = 0;
  bool Ready = false;
  bool Leaving = false;
  StoreRevision OperatorRevision = 0;
  StoreRevision EndpointRevision = 0;
};

/// The other entry hosts, as their messages show them.
///
/// A host that was not heard for a while is not named to callers and gets no
/// requests; it stays known and is written to now and then, so that it is
/// heard again once it is back. Not thread-safe.
class HostRegistry {
public:
  HostRegistry(Runtime R, HostState Self);
  ~HostRegistry();

  HostState &self();
  const HostState &self() const;

  /// An address at which a host may be, from settings, store or peers.
  void addContact(const std::string &Ip);
  /// A message came from a host. Messages of an earlier start that come right
  /// after those of a later one are ignored. \return false when ignored.
  bool heard(const HostState &Host);
  /// A connection to the host could not be made; it gets no requests for
  /// HoldOff.
  void unreachable(const std::string &Ip);

  /// Hosts heard of late, leaving ones included, self excluded.
  std::vector<HostState> alive() const;
  /// Those of them that take requests, in one region.
  std::vector<HostState> serving(const RegionId &Region) const;
  /// Hosts of own region that are alive, self included; 1 at least.
  std::size_t aliveInRegion() const;
  /// Hosts known of late, alive or silent, self included: by how many a
  /// common budget is divided.
  std::size_t knownHosts() const;
  /// Every address to write to. \param Silent  only those not alive.
  std::vector<std::string> contacts(bool Silent) const;

  /// Addresses for a caller in a region: the ready hosts of the caller's
  /// region or, when there are none, of another one: of own region first.
  /// \param Homes  regions to which a caller elsewhere may be led; empty: all.
  std::vector<std::string> entriesFor(const RegionId &Region,
                                      const std::set<RegionId> &Homes) const;

  /// Silence after which a host of own region is not named to callers.
  static constexpr Duration RegionSilence = std::chrono::milliseconds(1300);
  /// The same for a host of another region.
  static constexpr Duration FarSilence = std::chrono::milliseconds(2600);
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
