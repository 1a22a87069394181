#ifndef CELERYBEAM_GATEWAY_INTERNAL_EXCHANGE_H
#define CELERYBEAM_GATEWAY_INTERNAL_EXCHANGE_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <sys/types.h>

#include "blackboard/idtypes.h"
#include "framework/httptypes.h"
#include "gateway/internal/responsebuffer.h"

struct MHD_Connection;

namespace celerybeam {

/// How an exchange talks back to the producer of its answer and to the
/// connection.
struct ExchangeHooks {
  std::function<void(const RequestId &)> CallerReady;
  std::function<void(const RequestId &)> CallerGone;
  /// Take the connection out of the event loop and put it back in.
  std::function<void()> Suspend;
  std::function<void()> Resume;
};

/// One answer on its way from its producer to one connection.
///
/// The producer's side (hooks) may run on any thread, the connection's side
/// (awaitHead, read) on the connection's thread only. The connection is
/// suspended while there is nothing to send.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  using Clock = std::chrono::steady_clock;

  /// \param BufferLimit  bytes held before the producer is told to pause.
  /// \param DiscardBody  the caller gets no body (HEAD).
  Exchange(ExchangeHooks Hooks, std::size_t BufferLimit, bool DiscardBody);

  /// What the producer calls.
  ResponseHooks producer();

  /// Names the request once it runs.
  void started(RequestId Id);

  /// Waits for the head of the answer. False: the connection is suspended
  /// and has to ask again once it runs.
  bool awaitHead();

  /// The head of the answer; unset when the exchange was cut off before.
  std::optional<ResponseHead> takeHead();

  enum class ReadState {
    /// Some bytes were read.
    Data,
    /// The connection is suspended until there is more.
    Suspended,
    /// The answer is whole.
    End,
    /// The answer was cut off.
    Broken,
  };
  struct ReadResult {
    ReadState State = ReadState::Suspended;
    std::size_t Size = 0;
  };
  ReadResult read(char *Target, std::size_t Max);

  /// The caller has left or is to be cut off: tells the producer, once, and
  /// lets the connection run so that it closes.
  void cutOff();

  /// The connection is done with this exchange; nothing is sent to it any
  /// more. \param Whole  the answer was sent in full.
  void finish(bool Whole);

  /// Adds a comment line when the answer is an event stream that has been
  /// silent for the interval.
  void keepAlive(Clock::time_point Now, Clock::duration Interval);

private:
  void onHead(ResponseHead Head);
  Flow onChunk(std::string Data);
  void onEnd(const Result<void> &Outcome);
  /// Both need the lock.
  void suspend();
  void resume();
  /// Both need the lock and free it before they call the producer.
  void tellReady(std::unique_lock<std::mutex> Lock);
  void tellGone(std::unique_lock<std::mutex> Lock);

  const ExchangeHooks Hooks_;
  const std::size_t BufferLimit_;
  const bool DiscardBody_;

  std::mutex Mutex_;
  std::optional<RequestId> Id_;
  std::optional<ResponseHead> Head_;
  bool HasHead_ = false;
  bool EventStream_ = false;
  ResponseBuffer Buffer_;
  Clock::time_point LastData_ = Clock::now();
  bool Paused_ = false;
  bool Suspended_ = false;
  bool Ended_ = false;
  bool Broken_ = false;
  bool Gone_ = false;
  bool GoneToTell_ = false;
  bool Finished_ = false;
};

} // namespace celerybeam

#endif
