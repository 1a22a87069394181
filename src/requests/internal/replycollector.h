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

/// Converts the raw response of one attempt into bytes for the caller.
///
/// Streams are returned in complete events, each token once. Other responses
/// are buffered up to BufferLimitBytes, so that an attempt that fails early can
/// be replaced without the caller noticing; longer ones are passed through from
/// that point on.
class ReplyCollector {
public:
  /// \param Assembler  shared by all attempts of the request; outlives this.
  ReplyCollector(StreamAssembler &Assembler, AttemptNumber Number);

  void head(ResponseHead Head);

  /// Adds raw bytes; returns the bytes to send to the caller, possibly none.
  /// Fails with EndpointFailed when the stream is malformed.
  Result<std::string> data(std::string_view Bytes);

  /// Ends a response that had no transport error. Returns the bytes still
  /// buffered; fails with ConnectionLost if a stream is incomplete.
  Result<std::string> finish();

  const ResponseHead &responseHead() const { return Head_; }
  bool hasHead() const { return Head_.Status != 0; }
  bool isStream() const { return IsStream_; }
  /// Whether the response exceeded the buffer, so that bytes of it have gone
  /// to the caller and the attempt cannot be replaced.
  bool passedThrough() const { return PassedThrough_; }

  static constexpr std::size_t BufferLimitBytes = std::size_t{256} * 1024;

private:
  ResponseHead Head_;
  bool IsStream_ = false;
  bool PassedThrough_ = false;
  std::string Buffer_;
  StreamAssembler &Assembler_;
  AttemptNumber Number_;
};

} // namespace celerybeam::detail

#endif
