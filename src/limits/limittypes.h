#ifndef CELERYBEAM_LIMITS_LIMITTYPES_H
#define CELERYBEAM_LIMITS_LIMITTYPES_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Names a limit that several hosts share.
using LimitName = std::string;

/// Values of one limit; 0 means no limit. Rates are per second and apply to all
/// hosts together.
struct LimitValues {
  double Requests = 0;
  double Tokens = 0;
  std::uint32_t Concurrency = 0;
  /// Most unused capacity that may be used at once, in seconds of the rate.
  double BurstSeconds = 1;

  /// Shares are multiples of this part of the limit, or of one request.
  double Granularity = 1e-3;

  bool any() const { return Requests > 0 || Tokens > 0 || Concurrency > 0; }
  /// The smallest share that admits a request.
  double quantum() const;
};

/// Times of the exchange of shares.
struct LimitSettings {
  /// How long a share is valid. Its holder counts from the moment of the
  /// request, the allocator from the moment of the grant. The grant is later,
  /// so a share ends at its holder before the allocator grants it to another
  /// host.
  Duration ShareLifetime = std::chrono::seconds(2);
  /// Time after which a share in use is renewed.
  Duration RenewAfter = std::chrono::seconds(1);
  /// Time without a reply after which a share request counts as lost.
  Duration RequestTimeout = std::chrono::milliseconds(100);
  /// Minimum time between a grant smaller than requested and the next share
  /// request.
  Duration MinRequestInterval = std::chrono::milliseconds(50);
  /// Factor by which the requested share exceeds the observed rate.
  double Headroom = 1.3;
  /// Whether hosts that get a request now and then are served without a share:
  /// the allocator grants them what one request needs. A request then passes
  /// only if all its tokens are there. Otherwise the last one that passes may
  /// take more, which is too much where each of many hosts holds a small share.
  bool ServesSingleRequests = false;
};

/// A message between a holder of a share and the allocator of its limit.
struct ShareNote {
  LimitName Limit;
  /// Share of the limit, in [0, 1], that is requested or granted.
  double Amount = 0;
  /// Chosen by the holder; the grant repeats it.
  std::uint64_t Serial = 0;
  /// Whether this is the grant.
  bool Acknowledged = false;
  /// In a request: the share that the holder may use or has in use.
  double Held = 0;
  /// In a request: unused capacity that a single request needs, in seconds of
  /// the limit's rate. A host with a request now and then holds no share.
  double Needed = 0;
  /// In a grant: unused capacity that the holder may use at once, in seconds of
  /// the limit's rate.
  double Credit = 0;
  /// In a request: the start of the holder's process. A later process has
  /// nothing of its predecessor's share.
  std::int64_t HolderStart = 0;
};

struct LimitHooks {
  HostId Self;
  std::int64_t SelfStart = 0;
  /// The group of a limit: limits of one group have the same candidates.
  std::function<std::string(const LimitName &)> GroupOf;
  /// The group of whose candidates this host may be one.
  std::string OwnGroup;
  /// The hosts among which the allocators of a group's limits are drawn, the
  /// same at all hosts that see the same hosts. Empty while there is none.
  std::function<std::vector<HostId>(const std::string &Group)> Candidates;
  std::function<LimitValues(const LimitName &)> ValuesOf;
  /// Sends a note to another host; it may be lost.
  std::function<void(const HostId &To, const ShareNote &)> Send;
  /// Whether every host that may hold a share is in contact now. A host that
  /// becomes the allocator then knows all shares as soon as their holders have
  /// renewed them; otherwise only when they have expired. May be empty.
  std::function<bool()> AllHostsInContact = {};
};

} // namespace celerybeam

#endif
