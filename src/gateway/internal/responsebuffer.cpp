#include "gateway/internal/responsebuffer.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace celerybeam {

namespace {

constexpr std::string_view BlankLine = "\n\n";
/// Length in bytes of the longest blank line, "\r\n\r\n".
constexpr std::size_t LongestBlankLine = 4;

} // namespace

void ResponseBuffer::append(std::string Data) {
  std::string_view Last = Data;
  if (Last.size() > LongestBlankLine)
    Last.remove_prefix(Last.size() - LongestBlankLine);
  for (char C : Last) {
    if (C != '\r')
      Tail_.push_back(C);
  }
  if (Tail_.size() > BlankLine.size())
    Tail_.erase(0, Tail_.size() - BlankLine.size());
  if (empty())
    Data_ = std::move(Data);
  else
    Data_.append(Data);
}

std::size_t ResponseBuffer::take(char *Target, std::size_t Max) {
  std::size_t Count = std::min(Max, size());
  std::copy_n(Data_.data() + Taken_, Count, Target);
  Taken_ += Count;
  if (empty()) {
    clear();
  } else if (Taken_ >= CompactAt) {
    Data_.erase(0, Taken_);
    Taken_ = 0;
  }
  return Count;
}

bool ResponseBuffer::atEventBoundary() const {
  return Tail_.empty() || Tail_ == BlankLine;
}

void ResponseBuffer::clear() {
  Data_.clear();
  Taken_ = 0;
}

} // namespace celerybeam
