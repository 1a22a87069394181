#ifndef CELERYBEAM_FLEETHOST_FLEETHOST_H
#define CELERYBEAM_FLEETHOST_FLEETHOST_H

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/dispatcher.h"
#include "fleet/fleetview.h"
#include "fleet/hostregistry.h"
#include "fleet/storeaccess.h"
#include "relay/eventloop.h"
#include "relay/httpcaller.h"
#include "relay/relaytypes.h"

namespace celerybeam {

/// The settings of an entry host: its addresses, contacts and limits.
struct FleetHostSettings {
  HostState Self;
  /// Address for callers' requests.
  Address Callers;
  /// Port for requests and datagrams between entry hosts, the same on all.
  std::string HostPort;
  /// IP addresses at which other hosts may be.
  std::vector<std::string> Contacts;
  /// All regions that may have hosts.
  std::set<RegionId> Regions;
  RetryBudgetBounds RetryBounds;
  /// See PredictedHedges::setShare.
  double HedgeShare = 0;
  /// A request that arrives later than this after the tables were last
  /// confirmed is not handled by a customer's key, which may have been removed.
  /// Unset where only hosts in touch with the store have to follow.
  std::optional<Duration> KeyLifetime;
  /// Time from the request to stop until the process is killed.
  Duration Grace = std::chrono::seconds(8);
  /// Memory above which the process is killed, in bytes. Unset when it is
  /// unknown; requests are then never refused for it.
  std::optional<std::size_t> MemoryBytes;
  /// Limit on the bytes of incomplete responses in memory.
  std::size_t ResponseMemoryBytes = RelayContext::DefaultResponseMemory;
  DispatchSettings Dispatch;
};

/// The parts of the store that a host mirrors.
enum class MirrorPart { OperatorTables, Endpoints };

/// What the platform interface in use provides to the host.
struct FleetHostHooks {
  StoreAccess Store;
  /// Key prefixes in the store, of each mirrored part and of the hosts' own
  /// entries.
  std::string OperatorPrefix;
  std::string EndpointPrefix;
  std::string HostPrefix;
  /// Applies one changed key to the view. An unreadable value is only logged.
  std::function<void(MirrorPart, const StoreChange &, Duration Grace,
                     FleetView &)>
      Apply;
  /// See StoreMirrorHooks.
  std::function<std::optional<std::uint64_t>(const StoreChange &)> VersionOf;
  WireNames Names;
  /// The platform interface sets Decode and DecodeLoad; FleetHost sets the
  /// others.
  RelayHooks Relay;
};

/// Runs one entry host of a fleet on a platform. It connects the view of
/// tables, endpoints and hosts, the dispatcher and the sockets, all on one
/// event loop.
class FleetHost {
public:
  FleetHost(EventLoop &Loop, HttpCaller &Caller, FleetHostSettings Settings,
            FleetHostHooks Hooks);
  ~FleetHost();

  /// Opens the listeners and begins to read the store and to exchange updates
  /// with other hosts. Errors: InvalidSettings.
  Result<void> start();

  /// Stops accepting callers, finishes the requests in flight, then calls Done.
  void drain(std::function<void()> Done);

  /// Whether callers may be sent to this host.
  bool isReady() const;
  /// IP addresses of the hosts that a caller in a region should use for a host
  /// name.
  std::vector<std::string> entriesFor(const RegionId &Region,
                                      std::string_view Name) const;
  /// All metrics as text.
  std::string metricsText() const;

  /// Applies the settings that may change while the host runs.
  void reload(const FleetHostSettings &Settings);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
