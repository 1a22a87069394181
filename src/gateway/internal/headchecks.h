#ifndef CELERYBEAM_GATEWAY_INTERNAL_HEADCHECKS_H
#define CELERYBEAM_GATEWAY_INTERNAL_HEADCHECKS_H

#include <cstddef>
#include <cstdint>
#include <optional>

#include "framework/error.h"
#include "framework/httptypes.h"

namespace celerybeam {

/// How a request says where its body ends.
struct BodyFraming {
  /// Set when the head has a Content-Length.
  std::optional<std::uint64_t> Length;
  bool Chunked = false;

  bool hasBody() const { return Chunked || Length.value_or(0) > 0; }
};

/// Splits a request target into path and query, as sent, without decoding.
/// Fails with BadRequest for characters that no target may contain and for
/// dot segments.
Result<void> readTarget(std::string_view Target, RequestHead &Head);

/// Reads how long the body is. Fails with BadRequest when the head allows
/// two readings: Content-Length twice, with Transfer-Encoding, or not a
/// number; any Transfer-Encoding but chunked.
Result<BodyFraming> readFraming(const RequestHead &Head);

/// Fails with HeadersTooLarge or BodyTooLarge.
Result<void> checkSizes(const RequestHead &Head, const BodyFraming &Framing,
                        std::size_t HeaderLimit, std::size_t BodyLimit);

/// The failure for a body above the limit.
Error bodyTooLarge(std::size_t BodyLimit);

} // namespace celerybeam

#endif
