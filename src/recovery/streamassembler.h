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

/// What one piece of an engine's stream adds to the answer.
struct StreamOutput {
  /// Whole events in the form of text/event-stream, in order.
  std::string Events;
  /// Tokens in Events.
  std::uint32_t Tokens = 0;
  /// Whether the final event is in Events; nothing follows it.
  bool Done = false;
};

/// Puts the answer of one request together from the event streams of its
/// attempts: each token once, in order, without gaps.
///
/// Events carry the index of their token in `id:`; the final one has the data
/// `[DONE]`. Not thread-safe; one for each request.
class StreamAssembler {
public:
  /// \param FirstIndex  index of the first token to deliver; above 0 when
  ///                    another entry host delivered those before it.
  explicit StreamAssembler(std::uint64_t FirstIndex = 0);
  ~StreamAssembler();

  /// Bytes of one event at most.
  static constexpr std::size_t MaxEventBytes = std::size_t{1} << 20U;

  /// From now on only this attempt's bytes count. A part of an event that an
  /// earlier attempt left is dropped.
  void beginAttempt(AttemptNumber Number);

  /// Takes bytes of an attempt, cut at any place. Bytes of another attempt
  /// than the one begun are counted and dropped; tokens that were delivered
  /// before are dropped. Fails with EndpointFailed when a token is missing or
  /// an event breaks the contract; nothing of that event, nor of what follows
  /// it, is delivered, and the stream can be resumed by another attempt.
  /// Events before the broken one are delivered by the next call that
  /// succeeds.
  Result<StreamOutput> take(AttemptNumber Number, std::string_view Bytes);

  /// Index of the next token, for X-Resume-From.
  std::uint64_t nextIndex() const;

  /// Whether the final event was delivered.
  bool done() const;

  /// Pieces dropped since they belong to another attempt.
  std::uint64_t crossedPieces() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
