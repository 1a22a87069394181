#ifndef CELERYBEAM_FLEETHOST_FLEETHOST_H
#define CELERYBEAM_FLEETHOST_FLEETHOST_H

#include <functional>
#include <memory>
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

/// Where an entry host listens and what it was told at its start.
struct FleetHostSettings {
  HostState Self;
  /// Callers' requests.
  Address Callers;
  /// Port for requests and datagrams between entry hosts, the same on all.
  std::string HostPort;
  /// IP numbers at which other hosts may be.
  std::vector<std::string> Contacts;
  RetryBudgetBounds RetryBounds;
  /// From the request to stop until the process is killed.
  Duration Grace = std::chrono::seconds(8);
  /// Bytes that it may hold of answers that are not complete yet.
  std::size_t AnswerMemoryBytes = RelayContext::DefaultAnswerMemory;
  DispatchSettings Dispatch;
};

/// The parts of the store that a host mirrors.
enum class MirrorPart { OperatorTables, Endpoints };

/// What the interface in use brings in.
struct FleetHostHooks {
  StoreAccess Store;
  /// Key prefixes in the store: of each mirrored part and of the hosts' own
  /// entries.
  std::string OperatorPrefix;
  std::string EndpointPrefix;
  std::string HostPrefix;
  /// Applies one changed key to the view. Unreadable values are logged there
  /// and change nothing else.
  std::function<void(MirrorPart, const StoreChange &, Duration Grace,
                     FleetView &)>
      Apply;
  WireNames Names;
  /// Decode and DecodeLoad are the interface's; the others are set here.
  RelayHooks Relay;
};

/// Wires one entry host of a fleet that a platform runs: its view of tables,
/// endpoints and hosts, its decisions and its sockets, all on one loop.
class FleetHost {
public:
  FleetHost(EventLoop &Loop, HttpCaller &Caller, FleetHostSettings Settings,
            FleetHostHooks Hooks);
  ~FleetHost();

  /// Opens the listeners and begins to learn. Errors: InvalidSettings.
  Result<void> start();

  /// Stops taking callers, finishes what is in flight, then calls Done.
  void drain(std::function<void()> Done);

  /// Whether callers may be sent here.
  bool isReady() const;
  /// IP numbers of the hosts that a caller in a region should use for a name.
  std::vector<std::string> entriesFor(const RegionId &Region,
                                      std::string_view Name) const;
  /// All metrics as text.
  std::string metricsText() const;

  /// Takes settings that may change while the host runs.
  void reload(const FleetHostSettings &Settings);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
