#ifndef CELERYBEAM_RECOVERY_STREAMASSEMBLER_H
#define CELERYBEAM_RECOVERY_STREAMASSEMBLER_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "blackboard/idtypes.h"
#include "framework/error.h"

namespace celerybeam {

/// The part of the response that one chunk of an engine's stream completes.
struct StreamOutput {
  /// Complete events in text/event-stream format, in order.
  std::string Events;
  /// Number of tokens in Events.
  std::uint32_t Tokens = 0;
  /// Whether the final event is in Events; nothing follows it.
  bool Done = false;
};

/// Assembles the response to one request from the event streams of its
/// attempts. Delivers each token once, in order and without gaps.
///
/// Events carry the index of their token in `id:`; the final one has the data
/// `[DONE]`. Not thread-safe; each request has its own.
class StreamAssembler {
public:
  /// \param FirstIndex  index of the first token to deliver; above 0 when
  ///                    another entry host delivered those before it.
  explicit StreamAssembler(std::uint64_t FirstIndex = 0);
  ~StreamAssembler();

  /// Maximum size of one event, in bytes.
  static constexpr std::size_t MaxEventBytes = std::size_t{1} << 20U;

  /// Makes this attempt the current one; bytes of others are dropped from now
  /// on. Drops a partial event of the previous attempt.
  void beginAttempt(AttemptNumber Number);

  /// Processes a chunk of an attempt's stream; chunks may split events
  /// anywhere. Chunks of any attempt but the current one are counted and
  /// dropped, as are tokens that were already delivered. Fails with
  /// EndpointFailed when a token is missing or an event violates the contract;
  /// neither that event nor anything after it is delivered, and another attempt
  /// can resume the stream. Events before the invalid one are delivered by the
  /// next call that succeeds.
  Result<StreamOutput> take(AttemptNumber Number, std::string_view Bytes);

  /// Index of the next token to deliver, for X-Resume-From.
  std::uint64_t nextIndex() const;

  /// Whether the final event was delivered.
  bool done() const;

  /// Number of chunks dropped because they belong to another attempt.
  std::uint64_t staleChunks() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
