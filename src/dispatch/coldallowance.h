#ifndef CELERYBEAM_DISPATCH_COLDALLOWANCE_H
#define CELERYBEAM_DISPATCH_COLDALLOWANCE_H

#include <string>
#include <unordered_map>
#include <vector>

#include "blackboard/idtypes.h"
#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Which hosts may send to a cold endpoint, and how often.
///
/// Answers to "endpoints come back cold together while all hosts have work
/// waiting": a few hosts of the region, by rendezvous rank, share the bound,
/// so that it holds without messages, also while a few disagree on who is
/// there. Not thread-safe.
class ColdAllowance {
public:
  ColdAllowance(Runtime R, HostId Self);

  /// Whether one request may be sent to the endpoint now; counts it if so.
  /// \param Region  the ids of all hosts of the region that are alive.
  bool take(const EndpointKey &Endpoint, double RequestsPerSecond,
            const std::vector<HostId> &Region);
  /// The same without counting.
  bool wouldTake(const EndpointKey &Endpoint, double RequestsPerSecond,
                 const std::vector<HostId> &Region);

  /// Hosts that share one cold endpoint.
  static constexpr std::size_t Senders = 2;

private:
  bool isSender(const EndpointKey &Endpoint,
                const std::vector<HostId> &Region) const;

  Runtime Runtime_;
  HostId Self_;
  /// When the next request may be sent.
  std::unordered_map<EndpointKey, TimePoint> Next_;
};

} // namespace celerybeam

#endif
