#include "requests/internal/replycollector.h"

#include <utility>

namespace celerybeam::detail {

ReplyCollector::ReplyCollector(StreamAssembler &Assembler, AttemptNumber Number)
    : Assembler_(Assembler), Number_(Number) {}

void ReplyCollector::head(ResponseHead Head) {
  Head_ = std::move(Head);
  std::string_view Type = findHeader(Head_.Headers, "content-type");
  IsStream_ = Head_.Status == 200 && Type.starts_with("text/event-stream");
}

Result<std::string> ReplyCollector::data(std::string_view Bytes) {
  if (IsStream_)
    return Assembler_.take(Number_, Bytes).map([](StreamOutput Output) {
      return std::move(Output.Events);
    });
  if (PassedThrough_)
    return std::string(Bytes);
  Buffer_ += Bytes;
  if (Buffer_.size() <= BufferLimitBytes)
    return std::string();
  PassedThrough_ = true;
  return std::exchange(Buffer_, std::string());
}

Result<std::string> ReplyCollector::finish() {
  if (IsStream_ && !Assembler_.done())
    return makeError(ErrorKind::ConnectionLost,
                     "the endpoint's stream broke off before its end");
  return std::exchange(Buffer_, std::string());
}

} // namespace celerybeam::detail
