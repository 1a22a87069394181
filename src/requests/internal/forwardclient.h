#ifndef CELERYBEAM_REQUESTS_INTERNAL_FORWARDCLIENT_H
#define CELERYBEAM_REQUESTS_INTERNAL_FORWARDCLIENT_H

#include <cstdint>
#include <memory>

#include "blackboard/calltypes.h"
#include "framework/runtime.h"
#include "framework/shardedmap.h"
#include "messages/peerhooks.h"

namespace celerybeam::detail {

/// Chunks that a serving host may send before it needs further credit.
inline constexpr std::uint32_t ForwardWindowChunks = 64;

/// The sending side of requests that another region serves.
///
/// The answer comes as numbered chunks; a gap ends the exchange with
/// ConnectionLost, a repeated frame is dropped. Thread-safe.
class ForwardClient {
public:
  ForwardClient(PeerHooks Peers, Runtime R);

  /// Time for the serving host to say that the request arrived; after it the
  /// exchange ends with ConnectFailed.
  static constexpr Duration AcceptTimeout = std::chrono::milliseconds(500);

  /// Sends the request; the observer hears as from EndpointHooks::Start.
  void start(const HostId &Host, messages::ForwardRequest Request,
             CallObserver Observer);

  /// Ends the exchange; the observer hears nothing more.
  void cancel(const AttemptId &Id);

  /// The observer takes data again after it asked for a pause.
  void resume(const AttemptId &Id);

  /// Takes ForwardAccepted, ForwardHead, ForwardChunk and ForwardEnd; ignores
  /// other bodies.
  void handle(const messages::Envelope &Message);

private:
  struct Call {
    HostId Host;
    CallObserver Observer;
    std::uint64_t NextChunk = 0;
    std::uint32_t UnreportedChunks = 0;
    bool Accepted = false;
    bool HeadSeen = false;
    bool Paused = false;
  };

  void handleHead(const HostId &From, const messages::ForwardHead &Head);
  void handleChunk(const HostId &From, const messages::ForwardChunk &Chunk);
  void handleEnd(const HostId &From, const messages::ForwardEnd &End);
  void watchAcceptance(const AttemptId &Id);
  void giveCredit(const HostId &Host, const AttemptId &Id,
                  std::uint32_t Chunks);
  void breakOff(const AttemptId &Id, ErrorKind Kind);

  PeerHooks Peers_;
  Runtime Time_;
  ShardedMap<AttemptId, Call> Calls_;
};

} // namespace celerybeam::detail

#endif
