#include "requests/internal/wireerror.h"

namespace celerybeam::detail {

messages::WireError toWire(const Error &E) {
  messages::WireError Wire;
  Wire.set_kind(static_cast<std::uint32_t>(E.Kind));
  Wire.set_text(E.Message);
  Wire.set_has_retry_after(E.RetryAfter.has_value());
  if (E.RetryAfter)
    Wire.set_retry_after_ms(static_cast<std::uint32_t>(E.RetryAfter->count()));
  return Wire;
}

Error fromWire(const messages::WireError &Wire) {
  Error E;
  if (Wire.kind() < static_cast<std::uint32_t>(ErrorKind::Internal))
    E.Kind = static_cast<ErrorKind>(Wire.kind());
  E.Message = Wire.text();
  if (Wire.has_retry_after())
    E.RetryAfter = std::chrono::milliseconds(Wire.retry_after_ms());
  return E;
}

} // namespace celerybeam::detail
