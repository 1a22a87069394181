#include "scriptedcaller.h"

#include <algorithm>
#include <charconv>

#include "relay/httptext.h"
#include "relay/tests/relayfixture.h"

namespace celerybeam::fuzzing {

namespace {

constexpr unsigned FirstFinal = 200;

/// Parts of a request's shape.
constexpr unsigned CloseBit = 1;
constexpr unsigned ChunkedBit = 2;
constexpr unsigned ExpectBit = 4;
constexpr unsigned OldBit = 8;
constexpr unsigned BodyUnit = 16;

/// Length of a chunked body at the start of a text with what it holds; 0 when
/// it is not whole.
std::size_t readChunks(std::string_view Text, std::string &Body) {
  constexpr int Hexadecimal = 16;
  std::size_t At = 0;
  for (;;) {
    std::size_t Length = 0;
    std::size_t Line = Text.find("\r\n", At);
    if (Line == std::string_view::npos)
      return 0;
    std::from_chars(Text.data() + At, Text.data() + Line, Length, Hexadecimal);
    if (Text.size() < Line + 2 + Length + 2)
      return 0;
    Body += Text.substr(Line + 2, Length);
    At = Line + 2 + Length + 2;
    if (Length == 0)
      return At;
  }
}

} // namespace

void ScriptedCaller::mean(const std::string &Id, const std::string &Route,
                          unsigned Shape) {
  MeantRequest R;
  R.Id = Id;
  R.Target = "/" + Route + "/a";
  R.Body = std::string(1 + Shape / BodyUnit, 'b');
  std::string Head = "POST " + R.Target +
                     ((Shape & OldBit) != 0 ? " HTTP/1.0" : " HTTP/1.1") +
                     "\r\nHost: x.example\r\nRequest-Id: " + Id + "\r\n";
  if ((Shape & CloseBit) != 0)
    Head += "Connection: close\r\n";
  if ((Shape & ExpectBit) != 0)
    Head += "Expect: 100-continue\r\n";
  std::string Body = R.Body;
  if ((Shape & ChunkedBit) != 0) {
    Head += "Transfer-Encoding: chunked\r\n\r\n";
    Body = renderChunk(Body) + std::string(LastChunk);
  } else {
    Head += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  }
  Unsent_ += Head + Body;
  R.End = Sent_.size() + Unsent_.size();
  Requests_.push_back(std::move(R));
}

void ScriptedCaller::meanRaw(const std::string &Bytes) {
  Raw_ = true;
  Unsent_ += Bytes;
}

void ScriptedCaller::send(std::size_t Bytes) {
  Bytes = std::min(Bytes, Unsent_.size());
  if (!Line_.isOpen() || Bytes == 0)
    return;
  Line_.send(std::string_view(Unsent_).substr(0, Bytes));
  Sent_ += Unsent_.substr(0, Bytes);
  Unsent_.erase(0, Bytes);
}

void ScriptedCaller::read() { Line_.receive(Received_); }

std::optional<std::vector<SeenAnswer>> ScriptedCaller::answers() const {
  constexpr std::string_view Start = "HTTP/1.1 ";
  std::vector<SeenAnswer> All;
  std::string_view Rest = Received_;
  while (!Rest.empty()) {
    std::size_t End = Rest.find("\r\n\r\n");
    if (!Rest.starts_with(Start.substr(0, Rest.size())))
      return std::nullopt;
    if (End == std::string_view::npos)
      break;
    SeenAnswer A;
    A.Head = std::string(Rest.substr(0, End + 4));
    Rest.remove_prefix(A.Head.size());
    std::from_chars(A.Head.data() + Start.size(), A.Head.data() + A.Head.size(),
                    A.Status);
    if (A.Status < FirstFinal)
      continue;
    std::string Length = testing::RelayFixture::field(A.Head, "Content-Length");
    std::size_t Used = Length.empty() ? 0 : std::stoul(Length);
    if (Used > Rest.size())
      break;
    A.Body = std::string(Rest.substr(0, Used));
    if (Length.empty())
      Used = readChunks(Rest, A.Body);
    if (Length.empty() && Used == 0)
      break;
    Rest.remove_prefix(Used);
    All.push_back(std::move(A));
  }
  return All;
}

} // namespace celerybeam::fuzzing
