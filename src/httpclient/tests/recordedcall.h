#ifndef CELERYBEAM_HTTPCLIENT_TESTS_RECORDEDCALL_H
#define CELERYBEAM_HTTPCLIENT_TESTS_RECORDEDCALL_H

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>

#include "framework/httptypes.h"

namespace celerybeam::tests {

/// Limit for waiting for an event. A passing test waits only until the event
/// occurs.
constexpr std::chrono::seconds EventTimeout(30);

/// Records what the hooks of one call receive. Thread-safe.
class RecordedCall {
public:
  ResponseHooks hooks() {
    ResponseHooks H;
    H.Head = [this](ResponseHead Value) {
      change([&] { Head_ = std::move(Value); });
    };
    H.Chunk = [this](std::string Data) {
      Flow Next = Flow::Continue;
      change([&] {
        Body_ += Data;
        Next = PauseAfterChunk_ ? Flow::Pause : Flow::Continue;
        PauseAfterChunk_ = false;
      });
      return Next;
    };
    H.End = [this](Result<void> Value) {
      change([&] {
        ++Ends_;
        End_ = std::move(Value);
      });
    };
    return H;
  }

  /// Pauses the call at the next chunk.
  void pauseAfterChunk() { PauseAfterChunk_ = true; }

  Result<void> waitEnd() {
    wait([this] { return End_.has_value(); });
    return *End_;
  }
  ResponseHead waitHead() {
    wait([this] { return Head_.has_value(); });
    return *Head_;
  }
  std::string waitBody(std::size_t Bytes) {
    wait([&] { return Body_.size() >= Bytes; });
    return Body_;
  }
  /// Returns the kind of the error; unset when the call succeeded.
  std::optional<ErrorKind> waitError() {
    Result<void> End = waitEnd();
    return End ? std::nullopt : std::optional(End.error().Kind);
  }
  std::string body() {
    std::lock_guard Lock(Mutex_);
    return Body_;
  }
  unsigned ends() {
    std::lock_guard Lock(Mutex_);
    return Ends_;
  }

private:
  template <typename Function> void change(Function Change) {
    std::lock_guard Lock(Mutex_);
    Change();
    Changed_.notify_all();
  }
  template <typename Predicate> void wait(Predicate Ready) {
    std::unique_lock Lock(Mutex_);
    if (!Changed_.wait_for(Lock, EventTimeout, Ready))
      throw std::runtime_error(
          "the expected event did not occur within the time limit");
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::optional<ResponseHead> Head_;
  std::string Body_;
  std::optional<Result<void>> End_;
  unsigned Ends_ = 0;
  bool PauseAfterChunk_ = false;
};

} // namespace celerybeam::tests

#endif
