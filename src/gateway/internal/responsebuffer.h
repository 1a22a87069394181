#ifndef CELERYBEAM_GATEWAY_INTERNAL_RESPONSEBUFFER_H
#define CELERYBEAM_GATEWAY_INTERNAL_RESPONSEBUFFER_H

#include <cstddef>
#include <string>

namespace celerybeam {

/// Bytes of an answer on their way to a caller. Not thread-safe.
class ResponseBuffer {
public:
  /// Takes over the memory of the data when nothing else is held.
  void append(std::string Data);

  /// Moves at most Max bytes out; returns how many.
  std::size_t take(char *Target, std::size_t Max);

  std::size_t size() const { return Data_.size() - Taken_; }
  bool empty() const { return size() == 0; }

  /// True when all that was appended ends with a whole server-sent event, so
  /// that a comment line may follow.
  bool atEventBoundary() const;

  void clear();

private:
  /// Bytes already taken that are kept before the rest is moved down.
  static constexpr std::size_t CompactAt = std::size_t{16} * 1024;

  std::string Data_;
  std::size_t Taken_ = 0;
  /// The last bytes appended, carriage returns left out.
  std::string Tail_;
};

} // namespace celerybeam

#endif
