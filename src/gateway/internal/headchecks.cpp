#include "gateway/internal/headchecks.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace celerybeam {

namespace {

/// Bytes of a header field's colon, space and line end.
constexpr std::size_t FieldOverhead = 4;

bool isTargetCharacter(char C) { return C > ' ' && C < '\x7f' && C != '#'; }

char lowerCase(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](char C) { return lowerCase(C); });
  return Lower;
}

/// Returns a path segment in lower case with its encoded dots decoded, so that
/// encoded dot segments are found as well.
std::string decodeDots(std::string_view Segment) {
  std::string Text = lowerCase(Segment);
  for (auto At = Text.find("%2e"); At != std::string::npos;
       At = Text.find("%2e", At))
    Text.replace(At, 3, ".");
  return Text;
}

bool hasDotSegment(std::string_view Path) {
  while (!Path.empty()) {
    auto End = Path.find('/');
    std::string Segment = decodeDots(Path.substr(0, End));
    if (Segment == "." || Segment == "..")
      return true;
    if (End == std::string_view::npos)
      return false;
    Path.remove_prefix(End + 1);
  }
  return false;
}

std::size_t headSize(const RequestHead &Head) {
  std::size_t Size = Head.Method.size() + Head.Path.size() + Head.Query.size();
  for (const HeaderField &Field : Head.Headers)
    Size += Field.Name.size() + Field.Value.size() + FieldOverhead;
  return Size;
}

std::optional<std::uint64_t> readNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Code != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

} // namespace

Result<void> readTarget(std::string_view Target, RequestHead &Head) {
  if (Target.empty() || Target.front() != '/')
    return makeError(ErrorKind::BadRequest,
                     "The request target must start with a slash; send the "
                     "path of the host itself.");
  if (!std::all_of(Target.begin(), Target.end(), isTargetCharacter))
    return makeError(ErrorKind::BadRequest,
                     "The request target contains characters that are not "
                     "allowed; percent-encode them.");
  auto Question = Target.find('?');
  Head.Path = Target.substr(0, Question);
  if (Question != std::string_view::npos)
    Head.Query = Target.substr(Question + 1);
  if (hasDotSegment(Head.Path))
    return makeError(ErrorKind::BadRequest,
                     "The path contains \".\" or \"..\" segments; send the "
                     "resolved path.");
  return {};
}

Result<BodyFraming> readFraming(const RequestHead &Head) {
  BodyFraming Framing;
  auto Lengths = countHeaders(Head.Headers, "content-length");
  auto Encodings = countHeaders(Head.Headers, "transfer-encoding");
  if (Lengths > 1 || Encodings > 1 || (Lengths == 1 && Encodings == 1))
    return makeError(ErrorKind::BadRequest,
                     "The length of the body is given twice; send exactly "
                     "one Content-Length or one Transfer-Encoding: chunked.");
  if (Encodings == 1) {
    auto Encoding = findHeader(Head.Headers, "transfer-encoding");
    if (lowerCase(Encoding) != "chunked")
      return makeError(ErrorKind::BadRequest,
                       "This Transfer-Encoding is not supported; send chunked "
                       "or a Content-Length.");
    Framing.Chunked = true;
  }
  if (Lengths == 1) {
    Framing.Length = readNumber(findHeader(Head.Headers, "content-length"));
    if (!Framing.Length)
      return makeError(ErrorKind::BadRequest,
                       "Content-Length is not a number; send the body's "
                       "length in bytes.");
  }
  return Framing;
}

Result<void> checkSizes(const RequestHead &Head, const BodyFraming &Framing,
                        std::size_t HeaderLimit, std::size_t BodyLimit) {
  if (headSize(Head) > HeaderLimit)
    return makeError(ErrorKind::HeadersTooLarge,
                     "The request line and headers are larger than " +
                         std::to_string(HeaderLimit) +
                         " bytes; send fewer or shorter header fields.");
  if (Framing.Length.value_or(0) > BodyLimit)
    return tl::unexpected<Error>(bodyTooLarge(BodyLimit));
  return {};
}

Error bodyTooLarge(std::size_t BodyLimit) {
  return {ErrorKind::BodyTooLarge,
          "The body is larger than " + std::to_string(BodyLimit) +
              " bytes; send a shorter one or ask the operators to raise the "
              "body limit."};
}

} // namespace celerybeam
