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

/// Hooks through which an Exchange notifies the producer of its response and
/// controls the connection.
struct ExchangeHooks {
  /// Notify the producer that the caller can receive more, or has left.
  std::function<void(const RequestId &)> CallerReady;
  std::function<void(const RequestId &)> CallerGone;
  /// Take the connection out of the event loop and put it back in.
  std::function<void()> Suspend;
  std::function<void()> Resume;
};

/// Passes one response from its producer to one connection.
///
/// The hooks of the producer may run on any thread; the functions for the
/// connection (awaitHead, read) run on the connection's thread only. The
/// connection is suspended while there is nothing to send.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  using Clock = std::chrono::steady_clock;

  /// \param BufferLimit  bytes buffered before the producer must pause.
  /// \param DiscardBody  the caller gets no body (HEAD).
  Exchange(ExchangeHooks Hooks, std::size_t BufferLimit, bool DiscardBody);

  /// Returns the hooks that the producer calls.
  ResponseHooks producer();

  /// Sets the id of the request once it has started.
  void started(RequestId Id);

  /// Returns true when the head of the response, its end or an abort is known.
  /// Otherwise suspends the connection, which calls this again when resumed.
  bool awaitHead();

  /// Returns the head of the response; unset when the exchange was aborted.
  std::optional<ResponseHead> takeHead();

  enum class ReadState {
    /// Some bytes were read.
    Data,
    /// The connection is suspended until there is more.
    Suspended,
    /// The response is complete.
    End,
    /// The response broke off or the exchange was aborted.
    Broken,
  };
  struct ReadResult {
    ReadState State = ReadState::Suspended;
    std::size_t Size = 0;
  };
  ReadResult read(char *Target, std::size_t Max);

  /// Ends the exchange because the caller has left or must be disconnected:
  /// notifies the producer once and resumes the connection so that it closes.
  void abort();

  /// Detaches the connection; nothing more is sent to it.
  /// \param Whole  the response was sent in full.
  void finish(bool Whole);

  /// Adds a comment line when the response is an event stream that has been
  /// idle for the interval.
  void keepAlive(Clock::time_point Now, Clock::duration Interval);

private:
  void onHead(ResponseHead Head);
  Flow onChunk(std::string Data);
  void onEnd(const Result<void> &Outcome);
  /// The lock must be held for both.
  void suspend();
  void resume();
  /// Both take over the held lock and release it before they call the
  /// producer.
  void notifyReady(std::unique_lock<std::mutex> Lock);
  void notifyGone(std::unique_lock<std::mutex> Lock);

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
  bool GoneNotificationPending_ = false;
  bool Finished_ = false;
};

} // namespace celerybeam

#endif
