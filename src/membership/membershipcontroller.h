#ifndef CELERYBEAM_MEMBERSHIP_MEMBERSHIPCONTROLLER_H
#define CELERYBEAM_MEMBERSHIP_MEMBERSHIPCONTROLLER_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "blackboard/blackboard.h"
#include "framework/runtime.h"
#include "messages/peerhooks.h"

namespace celerybeam {

/// An entry host on the platform's list, which lags behind the real state.
struct ListedEntryHost {
  HostId Id;
  Address CallerAddress;
  Address PeerAddress;
  RegionId Region;
  ZoneId Zone;
  bool Leaving = false;
};

/// An endpoint on the platform's list.
struct ListedEndpoint {
  EndpointDescriptor Descriptor;
  bool Leaving = false;
};

/// The platform's list of entry hosts and endpoints, as last read.
struct PlatformList {
  std::vector<ListedEntryHost> EntryHosts;
  std::vector<ListedEndpoint> Endpoints;
};

/// One entry host that a caller may use, with its share of new requests.
struct EntryAdvice {
  HostId Host;
  Address Where;
  RegionId Region;
  ZoneId Zone;
  /// Relative share of new requests, above 0.
  double Weight = 1;
};

/// Discovers other entry hosts, detects those that fail or leave, and
/// distributes the state that hosts report of themselves and of endpoints.
///
/// Within a zone it uses the SWIM protocol: one member is probed per period,
/// indirect probes go through other members, states carry incarnation numbers,
/// and updates are piggybacked on probes. Between zones a few delegates, chosen
/// by rendezvous rank, exchange digests.
///
/// Reads: peers, endpoints, tables (revision). Writes: peers, endpoints
/// (descriptor and state). Runs on: tick, messages, platform list.
/// Thread-safe.
class MembershipController {
public:
  /// Called with each outgoing gossip so that other controllers can add their
  /// own content.
  using GossipContributor = std::function<void(messages::Gossip &)>;

  MembershipController(Blackboard &Board, Runtime R, PeerHooks Peers,
                       GossipContributor Contribute);
  ~MembershipController();

  /// Applies the platform's list. Hosts on it become known; a host missing
  /// from it is not considered dead.
  void platformListed(const PlatformList &List);

  /// Handles Ping, PingRequest, Ack and Gossip; ignores other bodies.
  void handle(const messages::Envelope &Message);

  /// Probes members and sends gossip. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);

  /// Tells every peer of the region, and the delegates of other zones, that
  /// this host is leaving.
  void announceLeaving();

  /// Tells every peer of the region immediately that an endpoint is leaving.
  void announceEndpointLeaving(const EndpointId &Endpoint);

  /// Entry hosts that callers should use, best first: own zone, then own
  /// region, then others. If a region is given, only hosts of that region.
  /// Leaving, suspect and dead hosts are left out.
  std::vector<EntryAdvice> entries(const RegionId &Only = RegionId()) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
