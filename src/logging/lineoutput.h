#ifndef CELERYBEAM_LOGGING_LINEOUTPUT_H
#define CELERYBEAM_LOGGING_LINEOUTPUT_H

#include <cstdint>
#include <memory>
#include <ostream>

namespace celerybeam {

/// A stream to a file descriptor that never blocks: a line that the descriptor
/// cannot take at once is dropped whole and counted.
///
/// Sets the descriptor to non-blocking and does not close it.
class LineOutput : public std::ostream {
public:
  explicit LineOutput(int Descriptor);
  ~LineOutput() override;

  /// Lines dropped since the start.
  std::uint64_t dropped() const;

private:
  class Buffer;
  std::unique_ptr<Buffer> Buffer_;
};

} // namespace celerybeam

#endif
