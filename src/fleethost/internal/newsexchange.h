#ifndef CELERYBEAM_FLEETHOST_INTERNAL_NEWSEXCHANGE_H
#define CELERYBEAM_FLEETHOST_INTERNAL_NEWSEXCHANGE_H

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "dispatch/placementclient.h"
#include "fleet/hostregistry.h"
#include "framework/runtime.h"
#include "messages/fleetnews.pb.h"
#include "relay/newslink.h"

namespace celerybeam::detail {

/// What the exchange tells of and hears for.
struct ExchangeComponents {
  FleetView &Fleet;
  HostRegistry &Hosts;
  Dispatcher &Decisions;
  PlacementDesk &LocalPlacer;
  PlacementClient &Placement;
};

/// Tells the other hosts what this one does, and takes in what they tell.
///
/// A host writes to its region's messengers, who tell it of all others; the
/// placers of a region tell those of the other regions how it stands. So the
/// datagrams of a host do not grow with the fleet. Notes on placements go to
/// one placer each, at once.
class NewsExchange {
public:
  struct Hooks {
    std::function<void(const std::string &Ip, const std::string &Bytes)> Send;
    /// A host has applied changes of the store up to the revisions it names.
    std::function<void(const HostState &Host)> StateReceived;
  };

  NewsExchange(Runtime R, ExchangeComponents Components, Hooks H);

  void receive(std::string_view Bytes);
  /// Sends what is due. Call every TickInterval.
  void tick();
  /// Tells a host of a placement.
  void note(const std::string &Ip, PlacementId Id, const PlacementNote &Note);
  /// Tells at once that this host leaves.
  void sendLeaving();
  /// Tells the region's placers at once what an endpoint said to this host, and
  /// again with the next messages, since one may be lost.
  void sendReport(const EndpointWord &Report);
  /// Whether this host is one of those that tell the region of its hosts.
  bool isAggregator() const;
  /// Whether this host is one of those that watch the store for the region and
  /// tell it of its hosts.
  bool isWatcher() const;

  static constexpr Duration TickInterval = std::chrono::milliseconds(50);
  /// Notes within this time go into one message.
  static constexpr Duration NoteBatchDelay = std::chrono::microseconds(300);
  /// Messages between hosts and their messengers: a placer that is silent for
  /// two and a half of these no longer keeps requests waiting.
  static constexpr Duration RegionInterval = PlacementDesk::ListInterval;
  /// Messages to the placers of other regions; their bytes are paid for.
  static constexpr Duration RemoteInterval = std::chrono::milliseconds(500);
  /// What a messenger tells of the region's hosts, and of all hosts.
  static constexpr Duration RegionDigestInterval = std::chrono::seconds(1);
  static constexpr Duration FullDigestInterval = std::chrono::seconds(5);
  /// The same to other regions.
  static constexpr Duration RemoteDigestInterval = std::chrono::seconds(2);
  /// Messages to addresses at which nobody was heard of late.
  static constexpr Duration GreetingInterval = std::chrono::seconds(1);
  static constexpr std::size_t GreetingsPerInterval = 6;
  /// Words of endpoints are told again for this long.
  static constexpr Duration ReportRepeatTime = 3 * RegionInterval;
  /// Words that are told again at most; the newest.
  static constexpr std::size_t MaxRepeatedReports = 100;
  /// Hosts in one datagram; each takes some 80 bytes.
  static constexpr std::size_t HostsPerDatagram = 100;
  /// Listed placements in one datagram; each takes some 35 bytes.
  static constexpr std::size_t ListedPerDatagram = 300;
  /// Notes are sent at once when they have reached this size: the next one may
  /// take some kilobytes.
  static constexpr std::size_t NoteBatchBytes = NewsLink::MaxBytes / 2;

private:
  using Update = messages::FleetNews;

  Update updateOfSelf() const;
  void send(const std::string &Ip, const Update &Message);
  void flushNotes();
  void sendNotes(const std::string &Ip, Update &Message);
  void sendToRegion();
  void addReports(Update &Message);
  /// Lists this host's placements to a placer, in as many parts as it takes.
  void sendList(const std::string &Ip);
  void sendToOtherRegions();
  void sendGreetings();
  void sendHosts(const std::set<std::string> &To,
                  const HostRegistry::Hosts &Of);
  void sendChangedHosts();
  void sendCrashes();
  std::set<std::string> regionIps() const;
  std::set<std::string> remotePlacers() const;
  void handleNote(const std::string &From, const messages::PlacementNote &Note);
  void applyUpdate(const HostState &From, const Update &Message);

  Runtime Runtime_;
  ExchangeComponents Components_;
  Hooks Hooks_;
  std::map<std::string, Update> Outbox_;
  bool FlushDue_ = false;
  struct ReceivedReport {
    EndpointWord Report;
    TimePoint At{};
  };
  std::deque<ReceivedReport> Reports_;
  /// Hosts whose state has changed since the region was told.
  std::set<std::string> ChangedHosts_;
  TimePoint NextRegionUpdate_{};
  TimePoint NextRemoteUpdate_{};
  TimePoint NextGreeting_{};
  TimePoint NextRegionDigest_{};
  TimePoint NextFullDigest_{};
  TimePoint NextRemoteDigest_{};
};

} // namespace celerybeam::detail

#endif
