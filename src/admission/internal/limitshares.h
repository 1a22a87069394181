#ifndef CELERYBEAM_ADMISSION_INTERNAL_LIMITSHARES_H
#define CELERYBEAM_ADMISSION_INTERNAL_LIMITSHARES_H

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/internal/limitkeeper.h"
#include "framework/shardedmap.h"
#include "messages/peerhooks.h"

namespace celerybeam::detail {

/// Whether a request may pass a limit.
enum class LimitVerdict {
  Taken,
  /// The keeper was asked for a larger share; ask again when it answers.
  Wait,
  Refused,
};

struct LimitAnswer {
  LimitVerdict Verdict = LimitVerdict::Refused;
  /// Set when refused.
  Duration RetryAfter{};
};

/// What one request takes of a limit.
struct LimitUse {
  LimitKey Key;
  LimitValues Values;
  std::uint32_t Tokens = 0;
};

/// The shares of limits that this host holds and what is used of them.
///
/// Holds state only for limits in use. Thread-safe.
class LimitShares {
public:
  LimitShares(Blackboard &Board, Runtime R, PeerHooks Peers);

  /// \param MayAsk  whether the request may wait for a larger share.
  /// \param MeanService  how long a request holds its place.
  LimitAnswer take(const LimitUse &Use, bool MayAsk, Duration MeanService);

  /// The request ended and used this many tokens instead of those taken.
  void giveBack(const LimitUse &Use, std::uint32_t TokensUsed);

  /// Takes a question or a grant; returns the limit whose share a grant
  /// changed.
  std::optional<std::string> handle(const HostId &From,
                                    const messages::ShareTransfer &Transfer);

  /// Renews shares in use, repeats questions and forgets idle limits.
  void tick();

  /// The share held now; 0 when it has expired.
  double held(const LimitKey &Key) const;
  /// Whether a question to the keeper is open.
  bool asking(const LimitKey &Key) const;
  std::size_t limits() const { return Shares_.size(); }

private:
  struct Share {
    LimitValues Values;
    double Amount = 0;
    TimePoint ValidUntil{};
    std::uint64_t Serial = 0;
    /// Set while a question is open.
    std::optional<TimePoint> AskedAt;
    double AskedFor = 0;
    /// Whether the last grant was smaller than asked for.
    bool Contended = false;
    TimePoint LastGrant{};
    TimePoint RefilledAt{};
    double RequestTokens = 0;
    double TokenTokens = 0;
    std::uint32_t InUse = 0;
    /// Requests that wait for the open question.
    std::uint32_t Waiting = 0;
    /// Moving averages, a second.
    double RequestRate = 0;
    double TokenRate = 0;
    TimePoint LastUsed{};
  };

  static void refill(Share &S, TimePoint Now);
  static void observe(Share &S, std::uint32_t Tokens, TimePoint Now);
  static bool passes(const Share &S);
  static double wanted(const Share &S);
  static double heldOrInUse(const Share &S, TimePoint Now);
  static Duration retryAfter(const Share &S, Duration MeanService);
  static bool mayAsk(const Share &S, TimePoint Now);
  void ask(const std::string &Limit);
  bool apply(const std::string &Limit, std::uint64_t Serial,
             const ShareGrant &Grant);
  void answer(const HostId &From, const messages::ShareTransfer &Question);

  Blackboard &Board_;
  Runtime Runtime_;
  PeerHooks Peers_;
  LimitKeeper Keeper_;
  std::atomic<std::uint64_t> LastSerial_{0};
  ShardedMap<std::string, Share> Shares_;
};

} // namespace celerybeam::detail

#endif
