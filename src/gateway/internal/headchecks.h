#ifndef CELERYBEAM_GATEWAY_INTERNAL_HEADCHECKS_H
#define CELERYBEAM_GATEWAY_INTERNAL_HEADCHECKS_H

#include <cstddef>
#include <cstdint>
#include <optional>

#include "framework/error.h"
#include "framework/httptypes.h"

namespace celerybeam {

/// How a request head declares the length of its body.
struct BodyFraming {
  /// Set when the head has a Content-Length.
  std::optional<std::uint64_t> Length;
  bool Chunked = false;

  bool hasBody() const { return Chunked || Length.value_or(0) > 0; }
};

/// Splits a request target into path and query without decoding them. Fails
/// with BadRequest for characters that are not allowed in a target and for dot
/// segments.
Result<void> readTarget(std::string_view Target, RequestHead &Head);

/// Reads the length of the body. Fails with BadRequest when it is ambiguous:
/// Content-Length twice, with Transfer-Encoding, or not a number; any
/// Transfer-Encoding but chunked.
Result<BodyFraming> readFraming(const RequestHead &Head);

/// Checks a request against both limits in bytes. Fails with HeadersTooLarge
/// or BodyTooLarge.
Result<void> checkSizes(const RequestHead &Head, const BodyFraming &Framing,
                        std::size_t HeaderLimit, std::size_t BodyLimit);

/// Returns the error for a body above the limit in bytes.
Error bodyTooLarge(std::size_t BodyLimit);

} // namespace celerybeam

#endif
