#ifndef CELERYBEAM_REQUESTS_INTERNAL_FORWARDCLIENT_H
#define CELERYBEAM_REQUESTS_INTERNAL_FORWARDCLIENT_H

#include <cstdint>
#include <memory>

#include "blackboard/calltypes.h"
#include "framework/runtime.h"
#include "framework/shardedmap.h"
#include "messages/peerhooks.h"

namespace celerybeam::detail {

/// Number of chunks that a serving host may send before it needs more credit.
inline constexpr std::uint32_t ForwardWindowChunks = 64;

/// Forwards requests to hosts of other regions and receives the responses;
/// the peer of ForwardServer.
///
/// A response arrives as numbered chunks. A gap ends the call with
/// ConnectionLost; repeated frames are dropped. Thread-safe.
class ForwardClient {
public:
  ForwardClient(PeerHooks Peers, Runtime R);

  /// Time in which the serving host must confirm that it received the
  /// request; otherwise the call ends with ConnectFailed.
  static constexpr Duration AcceptTimeout = std::chrono::milliseconds(500);

  /// Sends the request; the observer is called as by EndpointHooks::Start.
  void start(const HostId &Host, messages::ForwardRequest Request,
             CallObserver Observer);

  /// Cancels the call; the observer is not called again.
  void cancel(const AttemptId &Id);

  /// Reports that the observer accepts data again after it returned
  /// Flow::Pause.
  void resume(const AttemptId &Id);

  /// Handles ForwardAccepted, ForwardHead, ForwardChunk and ForwardEnd;
  /// ignores other bodies.
  void handle(const messages::Envelope &Message);

private:
  struct Call {
    HostId Host;
    CallObserver Observer;
    std::uint64_t NextChunk = 0;
    std::uint32_t UncreditedChunks = 0;
    bool Accepted = false;
    bool HeadSeen = false;
    bool Paused = false;
  };

  void handleHead(const HostId &From, const messages::ForwardHead &Head);
  void handleChunk(const HostId &From, const messages::ForwardChunk &Chunk);
  void handleEnd(const HostId &From, const messages::ForwardEnd &End);
  void watchAcceptance(const AttemptId &Id);
  void sendCredit(const HostId &Host, const AttemptId &Id,
                  std::uint32_t Chunks);
  void failCall(const AttemptId &Id, ErrorKind Kind);

  PeerHooks Peers_;
  Runtime Time_;
  ShardedMap<AttemptId, Call> Calls_;
};

} // namespace celerybeam::detail

#endif
