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

/// A host or endpoint on the platform's lagging list.
struct ListedEntryHost {
  HostId Id;
  Address CallerAddress;
  Address PeerAddress;
  RegionId Region;
  ZoneId Zone;
  bool Leaving = false;
};

struct ListedEndpoint {
  EndpointDescriptor Descriptor;
  bool Leaving = false;
};

/// The platform's list of hosts, as last read.
struct PlatformList {
  std::vector<ListedEntryHost> EntryHosts;
  std::vector<ListedEndpoint> Endpoints;
};

/// One line of the answer to "which entry host should I use?".
struct EntryAdvice {
  HostId Host;
  Address Where;
  RegionId Region;
  ZoneId Zone;
  /// Relative share of new requests, above 0.
  double Weight = 1;
};

/// Finds other entry hosts, notices those that fail or leave, and spreads
/// what hosts tell of themselves and of endpoints.
///
/// Within a zone it probes in the SWIM manner: one member a period, indirect
/// probes through others, incarnation numbers, news carried on probes. Between
/// zones a few delegates by rendezvous rank exchange digests.
///
/// Reads: peers, endpoints, tables (revision). Writes: peers, endpoints
/// (descriptor and state). Wakes: tick, messages, platform list.
/// Thread-safe.
class MembershipController {
public:
  /// Called on each outgoing gossip so that other controllers add to it.
  using GossipContributor = std::function<void(messages::Gossip &)>;

  MembershipController(Blackboard &Board, Runtime R, PeerHooks Peers,
                       GossipContributor Contribute);
  ~MembershipController();

  /// Takes the platform's list. Hosts on it become known; a host missing
  /// from it is not taken for dead.
  void platformListed(const PlatformList &List);

  /// Takes Ping, PingRequest, Ack and Gossip; ignores other bodies.
  void handle(const messages::Envelope &Message);

  /// Probes and spreads. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);

  /// Tells every peer of the zone, and the delegates, that this host leaves.
  void announceLeaving();

  /// Tells the zone at once that an endpoint leaves.
  void announceEndpointLeaving(const EndpointId &Endpoint);

  /// Entry hosts that callers should use, best first: own zone, then own
  /// region, then others. With a region given, only hosts of that region.
  /// Leaving, suspect and dead hosts are not in it.
  std::vector<EntryAdvice> entries(const RegionId &Only = RegionId()) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
