#ifndef CELERYBEAM_REQUESTS_INTERNAL_REPLYCOLLECTOR_H
#define CELERYBEAM_REQUESTS_INTERNAL_REPLYCOLLECTOR_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "framework/error.h"
#include "framework/httptypes.h"
#include "recovery/streamassembler.h"

namespace celerybeam::detail {

/// Turns the raw reply of one attempt into bytes for the caller.
///
/// Streams come out in whole events, each token once. Other replies are held
/// back up to HoldBytes, so that an attempt that breaks off early can be
/// replaced unnoticed; longer ones pass through from there on.
class ReplyCollector {
public:
  /// \param Assembler  of the request, shared by its attempts; outlives this.
  ReplyCollector(StreamAssembler &Assembler, AttemptNumber Number);

  void head(ResponseHead Head);

  /// Takes raw bytes; returns bytes that may go to the caller, perhaps none.
  /// Fails with EndpointFailed when the stream is malformed.
  Result<std::string> data(std::string_view Bytes);

  /// The reply has ended without a transport error. Returns the bytes still
  /// held; fails with ConnectionLost when a stream lacks its end.
  Result<std::string> finish();

  const ResponseHead &responseHead() const { return Head_; }
  bool hasHead() const { return Head_.Status != 0; }
  bool isStream() const { return IsStream_; }
  /// Whether bytes that cannot be taken back have gone to the caller.
  bool passedThrough() const { return PassedThrough_; }

  static constexpr std::size_t HoldBytes = std::size_t{256} * 1024;

private:
  ResponseHead Head_;
  bool IsStream_ = false;
  bool PassedThrough_ = false;
  std::string Held_;
  StreamAssembler &Assembler_;
  AttemptNumber Number_;
};

} // namespace celerybeam::detail

#endif
