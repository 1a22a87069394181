#ifndef CELERYBEAM_GATEWAY_INTERNAL_RESPONSEBUFFER_H
#define CELERYBEAM_GATEWAY_INTERNAL_RESPONSEBUFFER_H

#include <cstddef>
#include <string>

namespace celerybeam {

/// Buffers the bytes of a response until they are sent to the caller. Not
/// thread-safe.
class ResponseBuffer {
public:
  /// Takes over the memory of the data when the buffer is empty.
  void append(std::string Data);

  /// Moves at most Max bytes to Target; returns their number.
  std::size_t take(char *Target, std::size_t Max);

  std::size_t size() const { return Data_.size() - Taken_; }
  bool empty() const { return size() == 0; }

  /// True when the appended data ends with a complete server-sent event, so
  /// that a comment line may follow.
  bool atEventBoundary() const;

  void clear();

private:
  /// Number of consumed bytes at which the rest is moved to the front.
  static constexpr std::size_t CompactAt = std::size_t{16} * 1024;

  std::string Data_;
  std::size_t Taken_ = 0;
  /// The last appended bytes, without carriage returns.
  std::string Tail_;
};

} // namespace celerybeam

#endif
