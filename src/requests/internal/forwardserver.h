#ifndef CELERYBEAM_REQUESTS_INTERNAL_FORWARDSERVER_H
#define CELERYBEAM_REQUESTS_INTERNAL_FORWARDSERVER_H

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_set>

#include "blackboard/calltypes.h"
#include "framework/shardedmap.h"
#include "messages/peerhooks.h"

namespace celerybeam::detail {

/// Runs what a forwarded request asks for; implemented by the request
/// controller.
struct ForwardRunner {
  /// Starts it; the answer goes to the hooks.
  std::function<void(const messages::ForwardRequest &, ResponseHooks)> Start;
  /// The origin takes data again.
  std::function<void(const AttemptId &)> Ready;
  /// The origin has withdrawn the request.
  std::function<void(const AttemptId &)> Gone;
};

/// The serving side of requests that another region sent here.
///
/// Serves or refuses, never sends on. A repeated ForwardRequest is dropped,
/// so that no answer is produced twice. Thread-safe.
class ForwardServer {
public:
  ForwardServer(PeerHooks Peers, ForwardRunner Runner);

  /// Takes ForwardRequest, ForwardCancel and ForwardCredit; ignores other
  /// bodies.
  void handle(const messages::Envelope &Message);

  /// Attempt ids remembered to drop repeated requests.
  static constexpr std::size_t RememberedAttempts = 65536;
  /// A forwarded request has left its region once.
  static constexpr std::uint32_t AllowedHops = 1;

private:
  struct Reply {
    HostId Origin;
    std::uint64_t Chunks = 0;
    std::int64_t Credit = 0;
  };

  void serve(const HostId &Origin, const messages::ForwardRequest &Request);
  ResponseHooks replyHooks(const AttemptId &Id);
  void sendHead(const AttemptId &Id, const ResponseHead &Head);
  Flow sendChunk(const AttemptId &Id, std::string Data);
  void sendEnd(const AttemptId &Id, const Result<void> &Outcome);
  /// False when the attempt was seen before.
  bool remember(const AttemptId &Id);

  PeerHooks Peers_;
  ForwardRunner Runner_;
  ShardedMap<AttemptId, Reply> Replies_;
  std::mutex SeenMutex_;
  std::unordered_set<AttemptId> Seen_;
  std::deque<AttemptId> SeenOrder_;
};

} // namespace celerybeam::detail

#endif
