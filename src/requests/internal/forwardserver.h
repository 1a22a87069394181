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

/// Callbacks that run forwarded requests; the request controller provides
/// them.
struct ForwardRunner {
  /// Starts a request; the hooks receive the response.
  std::function<void(const messages::ForwardRequest &, ResponseHooks)> Start;
  /// The origin host accepts data again.
  std::function<void(const AttemptId &)> Resume;
  /// The origin host has cancelled the request.
  std::function<void(const AttemptId &)> Cancel;
};

/// Serves requests that hosts of other regions forwarded to this host; the
/// peer of ForwardClient.
///
/// Serves or refuses a request, but never forwards it again. A repeated
/// ForwardRequest is dropped, so that no response is produced twice.
/// Thread-safe.
class ForwardServer {
public:
  ForwardServer(PeerHooks Peers, ForwardRunner Runner);

  /// Handles ForwardRequest, ForwardCancel and ForwardCredit; ignores other
  /// bodies.
  void handle(const messages::Envelope &Message);

  /// Number of attempt ids kept to detect repeated requests.
  static constexpr std::size_t MaxSeenAttempts = 65536;
  /// Hop count of a forwarded request: a request is forwarded only once.
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
  /// Records an attempt id; returns false if it was recorded before.
  bool markSeen(const AttemptId &Id);

  PeerHooks Peers_;
  ForwardRunner Runner_;
  ShardedMap<AttemptId, Reply> Replies_;
  std::mutex SeenMutex_;
  std::unordered_set<AttemptId> Seen_;
  std::deque<AttemptId> SeenOrder_;
};

} // namespace celerybeam::detail

#endif
