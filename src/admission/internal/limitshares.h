#ifndef CELERYBEAM_ADMISSION_INTERNAL_LIMITSHARES_H
#define CELERYBEAM_ADMISSION_INTERNAL_LIMITSHARES_H

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/internal/limitallocator.h"
#include "framework/shardedmap.h"
#include "messages/peerhooks.h"

namespace celerybeam::detail {

/// Whether a request may proceed under a limit.
enum class LimitDecision {
  Taken,
  /// A larger share was requested; try again when the allocator replies.
  Wait,
  Refused,
};

struct LimitResult {
  LimitDecision Decision = LimitDecision::Refused;
  /// Set when refused.
  Duration RetryAfter{};
};

/// The part of a limit that one request takes.
struct LimitUse {
  LimitKey Key;
  LimitValues Values;
  std::uint32_t Tokens = 0;
};

/// Holds this host's shares of the limits, tracks their use and requests larger
/// shares from the allocators. Checked for each request before it is queued.
///
/// Holds state only for limits in use. Thread-safe.
class LimitShares {
public:
  LimitShares(Blackboard &Board, Runtime R, PeerHooks Peers);

  /// \param MayRequestShare  whether the request may wait for a larger share.
  /// \param MeanServiceTime  how long a request occupies its slot on average.
  LimitResult take(const LimitUse &Use, bool MayRequestShare,
                   Duration MeanServiceTime);

  /// Releases what a request took; it used TokensUsed in place of Use.Tokens.
  void release(const LimitUse &Use, std::uint32_t TokensUsed);

  /// Processes a share request or a grant; returns the limit whose share a
  /// grant changed.
  std::optional<std::string> handle(const HostId &From,
                                    const messages::ShareTransfer &Transfer);

  /// Renews shares in use, repeats lost share requests and removes idle
  /// limits.
  void tick();

  /// The share held now, in [0, 1]; 0 when it has expired.
  double held(const LimitKey &Key) const;
  /// Whether a share request to the allocator awaits its reply.
  bool hasOpenRequest(const LimitKey &Key) const;
  std::size_t limits() const { return Shares_.size(); }

private:
  struct Share {
    LimitValues Values;
    double Amount = 0;
    TimePoint ValidUntil{};
    std::uint64_t Serial = 0;
    /// Set while a share request awaits its reply.
    std::optional<TimePoint> RequestedAt;
    double RequestedAmount = 0;
    /// Whether the last grant was smaller than the requested amount.
    bool Contended = false;
    TimePoint LastGrant{};
    TimePoint RefilledAt{};
    double RequestBudget = 0;
    double TokenBudget = 0;
    std::uint32_t InUse = 0;
    /// Requests that wait for the reply to the open share request.
    std::uint32_t Waiting = 0;
    /// Moving averages, per second.
    double RequestRate = 0;
    double TokenRate = 0;
    TimePoint LastUsed{};
  };

  static void refill(Share &S, TimePoint Now);
  static void observe(Share &S, std::uint32_t Tokens, TimePoint Now);
  static bool passes(const Share &S);
  static double wanted(const Share &S);
  static double heldOrInUse(const Share &S, TimePoint Now);
  static Duration retryAfter(const Share &S, Duration MeanServiceTime);
  static bool mayRequestShare(const Share &S, TimePoint Now);
  void requestShare(const std::string &Limit);
  bool apply(const std::string &Limit, std::uint64_t Serial,
             const ShareGrant &Grant);
  void reply(const HostId &From, const messages::ShareTransfer &Request);

  Blackboard &Board_;
  Runtime Runtime_;
  PeerHooks Peers_;
  LimitAllocator Allocator_;
  std::atomic<std::uint64_t> LastSerial_{0};
  ShardedMap<std::string, Share> Shares_;
};

} // namespace celerybeam::detail

#endif
