#ifndef CELERYBEAM_LIMITS_LIMITSHARES_H
#define CELERYBEAM_LIMITS_LIMITSHARES_H

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/shardedmap.h"
#include "limits/limitallocator.h"

namespace celerybeam {

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
  LimitName Limit;
  LimitValues Values;
  std::uint32_t Tokens = 0;
};

/// Holds this host's shares of the limits, tracks their use and requests larger
/// shares from the allocators. Checked for each request before it is queued.
///
/// Holds state only for limits in use. Thread-safe.
class LimitShares {
public:
  LimitShares(Runtime R, LimitHooks Hooks, LimitSettings Settings = {});

  /// \param MayRequestShare  whether the request may wait for a larger share.
  /// \param MeanServiceTime  how long a request occupies its slot on average.
  LimitResult take(const LimitUse &Use, bool MayRequestShare,
                   Duration MeanServiceTime);

  /// Releases what a request took; it used TokensUsed in place of Use.Tokens.
  void release(const LimitUse &Use, std::uint32_t TokensUsed);

  /// Gives back what a request took that has not run.
  void refund(const LimitUse &Use);

  /// Processes a share request or a grant; returns the limit whose share a
  /// grant changed.
  std::optional<LimitName> handle(const HostId &From, const ShareNote &Note);

  /// Renews shares in use, repeats lost share requests and removes idle
  /// limits.
  void tick();

  /// The share held now, in [0, 1]; 0 when it has expired.
  double held(const LimitName &Limit) const;
  /// Whether a share request to the allocator awaits its reply.
  bool hasOpenRequest(const LimitName &Limit) const;
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
    /// Largest tokens that a request needed and did not find since the last
    /// share request.
    double MissingTokens = 0;
    /// Largest tokens that a request needed since the share was last idle.
    double LargestNeed = 0;
    /// The rates before the latest request.
    double EarlierRequestRate = 0;
    double EarlierTokenRate = 0;
    TimePoint LastUsed{};
  };

  void refill(Share &S, TimePoint Now) const;
  static void observe(Share &S, std::uint32_t Tokens, TimePoint Now);
  /// Tokens that have to be there for a request.
  double neededTokens(const LimitValues &Values, std::uint32_t Tokens) const;
  bool passes(const Share &S, std::uint32_t Tokens) const;
  double wanted(const Share &S, TimePoint Now) const;
  /// Unused capacity that one waiting request needs, in seconds of the rate.
  double neededSeconds(const Share &S) const;
  static double heldOrInUse(const Share &S, TimePoint Now);
  Duration retryAfter(const Share &S, std::uint32_t Tokens,
                      Duration MeanServiceTime) const;
  bool mayRequestShare(const Share &S, TimePoint Now) const;
  /// How long a holder uses a share.
  Duration holderLifetime() const;
  void requestShare(const LimitName &Limit);
  bool apply(const LimitName &Limit, std::uint64_t Serial,
             const ShareGrant &Grant);
  void reply(const HostId &From, const ShareNote &Request);

  Runtime Runtime_;
  LimitHooks Hooks_;
  LimitSettings Settings_;
  LimitAllocator Allocator_;
  std::atomic<std::uint64_t> LastSerial_{0};
  ShardedMap<LimitName, Share> Shares_;
};

} // namespace celerybeam

#endif
