#ifndef CELERYBEAM_FLEETHOST_INTERNAL_UPDATEEXCHANGE_H
#define CELERYBEAM_FLEETHOST_INTERNAL_UPDATEEXCHANGE_H

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "dispatch/customerlimits.h"
#include "dispatch/placementclient.h"
#include "dispatch/regionloadwatch.h"
#include "fleet/confirmationtracker.h"
#include "fleet/hostregistry.h"
#include "framework/runtime.h"
#include "messages/fleetnews.pb.h"
#include "relay/datagramlink.h"

namespace celerybeam::detail {

/// The objects whose state the exchange sends and to which it applies received
/// updates.
struct ExchangeComponents {
  FleetView &Fleet;
  HostRegistry &Hosts;
  Dispatcher &Decisions;
  PlacementServer &LocalPlacer;
  PlacementClient &Placement;
  /// May be null; hosts then do not tell each other the age of their tables.
  ConfirmationTracker *Confirmations = nullptr;
  /// May be null.
  CustomerLimits *Limits = nullptr;
};

/// Sends updates on this host's state to the other hosts and applies the
/// updates that they send. It must outlive the event loop's timers: the one
/// that sends a batch refers to it.
///
/// A host sends its updates to the aggregators of its region, which send it
/// those of all others. The placers of a region send the region's load to the
/// placers of the other regions. So the datagrams of a host do not grow with
/// the fleet. Each placement message goes to one placer only, without waiting
/// for the next update.
class UpdateExchange {
public:
  struct Hooks {
    /// Sends a datagram to a host.
    std::function<void(const std::string &Ip, const std::string &Bytes)> Send;
    /// Called when a host reports up to which revisions it has applied changes
    /// of the store.
    std::function<void(const HostState &Host)> StateReceived;
    /// Called when the load of another region, which this host needs, is no
    /// longer known, and when it is again. May be empty.
    std::function<void(const RegionLoadChange &)> RegionLoadChanged{};
  };

  UpdateExchange(Runtime R, ExchangeComponents Components, Hooks H);

  /// Applies a datagram from another host; an unreadable one is ignored.
  void receive(std::string_view Bytes);
  /// Sends the updates that are due. Call every TickInterval.
  void tick();
  /// Sends a placement message to a host, batched over NoteBatchDelay.
  void sendNote(const std::string &Ip, PlacementId Id,
                const PlacementNote &Note);
  /// Sends a note on a share of a limit to a host, batched in the same way.
  void sendShare(const std::string &Ip, const ShareNote &Note);
  /// Sends at once that this host is leaving.
  void sendLeaving();
  /// Sends an endpoint's report to the region's placers at once, and again with
  /// the next updates, since a datagram may be lost.
  void sendReport(const EndpointReport &Report);
  /// Whether this host is one of its region's aggregators.
  bool isAggregator() const;
  /// Regions whose load this host needs as an aggregator, and whether it lacks
  /// that of one.
  std::set<RegionId> neededRegions() const;
  bool isRegionLoadUnknown(const RegionId &Region) const {
    return RegionLoads_.isUnknown(Region);
  }
  /// Whether this host is one of the aggregators that watch the store for the
  /// region and send it the state of its hosts.
  bool isWatcher() const;

  static constexpr Duration TickInterval = std::chrono::milliseconds(50);
  /// Placement messages to one host within this time share a datagram.
  static constexpr Duration NoteBatchDelay = std::chrono::microseconds(300);
  /// Time between updates of hosts and their aggregators. Requests no longer
  /// wait for a placer that is silent for two and a half of these.
  static constexpr Duration RegionInterval = PlacementServer::ListInterval;
  /// Time between updates to the placers of other regions; their bytes are paid
  /// for.
  static constexpr Duration RemoteInterval = std::chrono::milliseconds(500);
  /// How long a host of another region that has said that it is a placer gets
  /// the load of this one: a few of its updates may be lost.
  static constexpr Duration RemoteSenderMemory = 4 * RemoteInterval;
  /// Time between the digests that a watcher sends to its region: of the
  /// region's hosts, and of all hosts.
  static constexpr Duration RegionDigestInterval = std::chrono::seconds(1);
  static constexpr Duration FullDigestInterval = std::chrono::seconds(5);
  /// Time between the digests of the region's hosts sent to other regions.
  static constexpr Duration RemoteDigestInterval = std::chrono::seconds(2);
  /// Time between greetings to addresses without a recent update, and how many
  /// are sent each time.
  static constexpr Duration GreetingInterval = std::chrono::seconds(1);
  static constexpr std::size_t GreetingsPerInterval = 6;
  /// Reports of endpoints are repeated for this long.
  static constexpr Duration ReportRepeatTime = 3 * RegionInterval;
  /// Number of reports, the newest ones, that are repeated.
  static constexpr std::size_t MaxRepeatedReports = 100;
  /// Hosts in one datagram; each takes about 80 bytes.
  static constexpr std::size_t HostsPerDatagram = 100;
  /// Crash reports in one datagram; each takes up to 5 kB.
  static constexpr std::size_t CrashesPerDatagram = 8;
  /// Reports of sound or refused suspects in one datagram; each takes up to 60
  /// bytes.
  static constexpr std::size_t SuspectsPerDatagram = 400;
  /// Loads of other regions' pools in one datagram; each takes about 60 bytes.
  static constexpr std::size_t OutlooksPerDatagram = 200;
  /// Listed placements in one datagram; each takes about 35 bytes.
  static constexpr std::size_t ListedPerDatagram = 300;
  /// A batch of placement messages is sent at once when it has reached this
  /// size: the next message may take some kilobytes.
  static constexpr std::size_t NoteBatchBytes = DatagramLink::MaxBytes / 2;

private:
  using Update = messages::FleetNews;

  Update updateOfSelf() const;
  void send(const std::string &Ip, Update Message);
  /// Adds this host's time stamp and the confirmation of the tables for the
  /// receiver.
  void addConfirmation(const std::string &Ip, Update &Message) const;
  void flushNotesSoon(const std::string &Ip);
  void flushNotes();
  void sendNotes(const std::string &Ip, Update &Message);
  void sendToRegion();
  void addReports(Update &Message);
  /// Sends the list of this host's placements to a placer, in as many datagrams
  /// as needed.
  void sendList(const std::string &Ip);
  void sendToOtherRegions();
  /// Sends what the placers of other regions reported to the region's other
  /// aggregators: the next placer needs it the moment this host falls silent.
  void relayOutlooks();
  /// Hosts of other regions that have just said that they are placers. One that
  /// has become one gets the load before others name it here.
  std::set<std::string> recentRemoteSenders();
  void sendGreetings();
  void sendHosts(const std::set<std::string> &To,
                 const HostRegistry::Hosts &Of);
  void sendChangedHosts();
  void sendCrashes();
  void sendCrashNews(const std::set<std::string> &To, const CrashNews &News);
  std::set<std::string> regionIps() const;
  std::set<std::string> remotePlacers() const;
  /// Whether this host is one of its region's placers.
  bool isPlacer() const;
  void handleNote(const std::string &From, const messages::PlacementNote &Note);
  void watchRegionLoads();
  void applyUpdate(const HostState &From, const Update &Message);

  Runtime Runtime_;
  ExchangeComponents Components_;
  Hooks Hooks_;
  RegionLoadWatch RegionLoads_;
  std::map<std::string, Update> Outbox_;
  bool FlushDue_ = false;
  struct ReceivedReport {
    EndpointReport Report;
    TimePoint At{};
  };
  std::deque<ReceivedReport> Reports_;
  /// By address; when the latest such update arrived.
  std::map<std::string, TimePoint> RemoteSenders_;
  /// Hosts whose state has changed since the last update to the region.
  std::set<std::string> ChangedHosts_;
  bool WasPlacer_ = false;
  TimePoint NextRegionUpdate_{};
  TimePoint NextRemoteUpdate_{};
  TimePoint NextGreeting_{};
  TimePoint NextRegionDigest_{};
  TimePoint NextFullDigest_{};
  TimePoint NextRemoteDigest_{};
};

} // namespace celerybeam::detail

#endif
