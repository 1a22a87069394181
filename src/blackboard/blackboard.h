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

/// Who this host is; fixed for the life of the process.
struct HostIdentity {
  HostId Id;
  RegionId Region;
  ZoneId Zone;
  Address CallerAddress;
  Address PeerAddress;
  Incarnation Number = 1;
};

/// The state that the controllers of one entry host share.
///
/// Controllers read and write it and never call each other. Thread-safe:
/// each board is in shards under locks of their own.
class Blackboard {
public:
  explicit Blackboard(HostIdentity Self);
  ~Blackboard();

  const HostIdentity &self() const;

  /// The tables in force; never null, revision 0 before the first adoption.
  TablesSnapshot tables() const;
  /// Puts tables in force. Returns false, and changes nothing, unless their
  /// revision is higher than the one in force.
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

  /// Ids of the endpoints whose label is that of the pool, in every region,
  /// sorted; kept as an index so that a decision need not visit all.
  std::shared_ptr<const std::vector<EndpointId>>
  endpointsWithLabel(const std::string &Label) const;
  /// Inserts or changes an endpoint's descriptor and state and keeps the
  /// index; observations stay.
  void describeEndpoint(const EndpointDescriptor &Descriptor,
                        EndpointState State);
  /// Forgets an endpoint.
  void removeEndpoint(const EndpointId &Id);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
