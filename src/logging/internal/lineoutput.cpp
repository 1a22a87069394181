#include "logging/lineoutput.h"

#include <streambuf>
#include <string>

#include <fcntl.h>
#include <unistd.h>

namespace celerybeam {

class LineOutput::Buffer : public std::streambuf {
public:
  explicit Buffer(int Descriptor) : Descriptor_(Descriptor) {
    int Flags = ::fcntl(Descriptor_, F_GETFL);
    ::fcntl(Descriptor_, F_SETFL, Flags | O_NONBLOCK);
  }

  std::uint64_t Dropped_ = 0;

protected:
  int_type overflow(int_type C) override {
    if (traits_type::eq_int_type(C, traits_type::eof()))
      return traits_type::not_eof(C);
    Text_ += traits_type::to_char_type(C);
    return C;
  }

  std::streamsize xsputn(const char *Data, std::streamsize Size) override {
    Text_.append(Data, static_cast<std::size_t>(Size));
    return Size;
  }

  int sync() override {
    // The rest of a partly written line goes first.
    while (!Text_.empty()) {
      ssize_t Written = ::write(Descriptor_, Text_.data(), Text_.size());
      if (Written > 0) {
        Text_.erase(0, static_cast<std::size_t>(Written));
        InLine_ = !Text_.empty();
        continue;
      }
      dropLines();
      break;
    }
    return 0;
  }

private:
  /// Drops all but the rest of a partly written line.
  void dropLines() {
    auto End = InLine_ ? Text_.find('\n') : std::string::npos;
    std::size_t Keep = End == std::string::npos ? 0 : End + 1;
    if (InLine_ && End == std::string::npos)
      Keep = Text_.size();
    for (std::size_t I = Keep; I < Text_.size(); ++I)
      Dropped_ += Text_[I] == '\n' ? 1 : 0;
    Text_.resize(Keep);
  }

  int Descriptor_;
  std::string Text_;
  bool InLine_ = false;
};

LineOutput::LineOutput(int Descriptor)
    : std::ostream(nullptr), Buffer_(std::make_unique<Buffer>(Descriptor)) {
  rdbuf(Buffer_.get());
}
LineOutput::~LineOutput() = default;

std::uint64_t LineOutput::dropped() const { return Buffer_->Dropped_; }

} // namespace celerybeam
