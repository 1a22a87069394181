#include "relay/internal/answerhead.h"

#include <algorithm>

namespace celerybeam::detail {

namespace {

constexpr unsigned FirstSuccess = 200;
constexpr unsigned LastSuccess = 299;
constexpr unsigned Misdirected = 421;

} // namespace

AnswerKind classifyAnswer(const HttpResponseHead &Head, const WireNames &Names,
                          const RequestId &Id) {
  auto Said = findField(Head.Fields, Names.RequestId);
  if (Said && *Said != Id.str())
    return AnswerKind::OfAnother;
  if (Head.Status == Misdirected || findField(Head.Fields, Names.NotExecuted) ||
      findField(Head.Fields, NotRunField))
    return AnswerKind::NotRun;
  bool Success = Head.Status >= FirstSuccess && Head.Status <= LastSuccess;
  if (Success && (!Said || !findField(Head.Fields, Names.Signature)))
    return AnswerKind::Spoiled;
  if (findField(Head.Fields, "Content-Encoding"))
    return AnswerKind::Spoiled;
  return AnswerKind::Answer;
}

HttpRequestHead outgoingHead(const HttpRequestHead &Arrived,
                             const WireNames &Names, Duration TimeLeft) {
  HttpRequestHead Head = Arrived;
  removeConnectionFields(Head.Fields);
  removeField(Head.Fields, "Expect");
  for (const std::string &Name : Names.Reserved)
    removeField(Head.Fields, Name);
  auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(TimeLeft).count();
  setField(Head.Fields, Names.TimeLeft,
           std::to_string(std::max<std::int64_t>(1, Millis)));
  return Head;
}

} // namespace celerybeam::detail
