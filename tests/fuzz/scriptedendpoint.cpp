#include "scriptedendpoint.h"

#include <utility>

#include "relay/httptext.h"
#include "relay/tests/relayfixture.h"

namespace celerybeam::fuzzing {

namespace {

using Fixture = testing::RelayFixture;

/// More than the kernel takes at once for a caller that does not read.
constexpr std::size_t LongBody = 100000;

std::string goodAnswer(const ArrivedRequest &R, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + R.Id +
         "\r\nSignature: s\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

std::string answerOf(const ArrivedRequest &R) {
  using Way = AnswerPlan::Way;
  std::string Good = goodAnswer(R, "done " + R.Id);
  switch (R.Plan.How) {
  case Way::NotRun:
    return "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  case Way::Failure:
    return "HTTP/1.1 500 Failed\r\nRequest-Id: " + R.Id +
           "\r\nSignature: s\r\nContent-Length: 3\r\n\r\nbad";
  case Way::Events:
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + R.Id +
           "\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
           Fixture::event(1) + Fixture::event(2) + std::string(LastChunk);
  case Way::Half:
    return Good.substr(0, Good.size() / 2);
  case Way::Raw:
    return R.Plan.Bytes;
  case Way::Long:
    return goodAnswer(R, std::string(LongBody, 'x'));
  case Way::OfAnother:
    return "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: "
           "s\r\nContent-Length: 1\r\n\r\nx" +
           Good;
  default:
    return Good;
  }
}

} // namespace

bool ScriptedEndpoint::play() {
  bool Any = false;
  while (auto Next = Listener_.accept()) {
    Connections_.emplace_back(std::move(*Next));
    Any = true;
  }
  for (Connection &C : Connections_) {
    if (!C.Line.receive(C.In))
      continue;
    Any = true;
    serve(C);
  }
  Connections_.remove_if([](const Connection &C) { return C.Line.isEnded(); });
  return Any;
}

void ScriptedEndpoint::serve(Connection &C) {
  // One at a time, as the relay sends them.
  std::size_t Head = C.In.find("\r\n\r\n");
  if (Head == std::string::npos || !C.Line.isOpen())
    return;
  Head += 4;
  const std::string Length =
      Fixture::field(C.In.substr(0, Head), "Content-Length");
  std::size_t Body = Length.empty() ? 0 : std::stoul(Length);
  if (C.In.size() < Head + Body)
    return;
  ArrivedRequest R;
  R.Id = Fixture::field(C.In.substr(0, Head), "Request-Id");
  std::size_t Target = C.In.find(' ') + 1;
  R.Target = C.In.substr(Target, C.In.find(' ', Target) - Target);
  R.Body = C.In.substr(Head, Body);
  C.In.erase(0, Head + Body);
  if (!Plans_.empty()) {
    R.Plan = std::move(Plans_.front());
    Plans_.pop_front();
  }
  Arrived_(R);
  answer(C, R);
}

void ScriptedEndpoint::answer(Connection &C, const ArrivedRequest &Request) {
  using Way = AnswerPlan::Way;
  const std::string Bytes = answerOf(Request);
  switch (Request.Plan.How) {
  case Way::Reset:
    return C.Line.reset();
  case Way::Close:
    return C.Line.endSending();
  case Way::Hold:
    C.Held = Bytes;
    C.IsHeld = true;
    return;
  case Way::Half:
    C.Held = goodAnswer(Request, "done " + Request.Id).substr(Bytes.size());
    C.IsHeld = true;
    break;
  default:
    break;
  }
  C.Line.send(Bytes);
  if (Request.Plan.How == Way::GoodThenClose)
    C.Line.endSending();
}

bool ScriptedEndpoint::release() {
  for (Connection &C : Connections_) {
    if (!std::exchange(C.IsHeld, false))
      continue;
    C.Line.send(std::exchange(C.Held, {}));
    return true;
  }
  return false;
}

} // namespace celerybeam::fuzzing
