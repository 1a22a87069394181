#ifndef CELERYBEAM_BLACKBOARD_BLACKBOARD_H
#define CELERYBEAM_BLACKBOARD_BLACKBOARD_H

#include <memory>
#include <vector>

#include "blackboard/endpointtypes.h"
#include "blackboard/idtypes.h"
#include "blackboard/peertypes.h"
#include "blackboard/tabletypes.h"
#include "framework/shardedmap.h"

namespace celerybeam {

/// The identity and addresses of this host; fixed while the process runs.
struct HostIdentity {
  HostId Id;
  RegionId Region;
  ZoneId Zone;
  Address CallerAddress;
  Address PeerAddress;
  Incarnation Number = 1;
};

/// Holds the state that the controllers of one entry host share: the routing
/// tables, the known endpoints and the other entry hosts.
///
/// Controllers read and write it and never call each other. Thread-safe:
/// endpoints and peers are kept in shards, each with its own lock.
class Blackboard {
public:
  explicit Blackboard(HostIdentity Self);
  ~Blackboard();

  const HostIdentity &self() const;

  /// The active tables; never null. Their revision is 0 before the first
  /// adoptTables.
  TablesSnapshot tables() const;
  /// Makes the tables active. Returns false, and changes nothing, unless their
  /// revision is higher than the active one.
  bool adoptTables(TablesSnapshot Next);

  /// Whether this host is shutting down.
  bool leaving() const;
  void setLeaving();

  using Endpoints = ShardedMap<EndpointId, EndpointRecord>;
  using Peers = ShardedMap<HostId, PeerRecord>;

  Endpoints &endpoints();
  const Endpoints &endpoints() const;
  Peers &peers();
  const Peers &peers() const;

  /// The sorted ids of the endpoints with the label, in all regions. Comes from
  /// an index, so that a routing decision does not visit all endpoints.
  std::shared_ptr<const std::vector<EndpointId>>
  endpointsWithLabel(const std::string &Label) const;
  /// Inserts an endpoint, or replaces its descriptor and state, and updates
  /// the label index. Load report and observations are kept.
  void upsertEndpoint(const EndpointDescriptor &Descriptor,
                      EndpointState State);
  /// Removes an endpoint from the records and the label index.
  void removeEndpoint(const EndpointId &Id);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
