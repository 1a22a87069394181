// Answers from endpoints: a call ends once, the same however the bytes are
// split, and never as complete when its answer was cut.

#include <optional>

#include "fuzzing.h"
#include "platform/wirenames.h"
#include "relay/httpcaller.h"
#include "relay/internal/responsehead.h"
#include "wire.h"

using namespace celerybeam;
using fuzzing::expect;

namespace {

/// Splits of one input; more are not tried.
constexpr std::size_t MostPieces = 24;
constexpr int Turns = 4;

/// Whether the first status is neither a final nor an interim one.
bool beginsWithInvalidStatus(std::string_view Bytes) {
  constexpr std::string_view Version = "HTTP/1.1 ";
  if (!Bytes.starts_with(Version))
    return false;
  std::string_view Status = Bytes.substr(Version.size(), 3);
  return Status.starts_with('0') || Status == "101" ||
         (!Status.empty() && Status.front() > '5');
}

/// \param Source  its lowest bits: from an entry host, on a connection in use.
/// \return what the call tells of an answer that comes in pieces, after which
/// the endpoint closes.
std::string played(std::string_view Bytes, std::size_t Piece, bool Head,
                   unsigned Source) {
  const WireNames Names = platform::wireNames();
  const bool Invalid = beginsWithInvalidStatus(Bytes);
  fuzzing::ScriptClock Clock;
  EventLoop Loop(Clock.reader());
  HttpCaller Caller(Loop);
  fuzzing::WireListener Listener;
  std::string Log;
  unsigned Ends = 0;
  HttpCallHooks Hooks;
  Hooks.Head = [&](const HttpResponseHead &Said) {
    expect(Ends == 0, "nothing comes after the end");
    expect(Said.Status >= 200 && Said.Status <= 599,
           "a final status is from 200 to 599");
    expect(!Invalid, "no response is taken after an invalid status");
    if (auto Load = findField(Said.Fields, Names.Load))
      platform::decodeLoad(*Load);
    auto Wants = platform::decodeWillingness(Said);
    expect(Wants.BackOffFor >= Duration::zero() &&
               Wants.BackOffFor <= platform::MaxBackOff,
           "a rest has its limits");
    auto Kind = detail::classifyResponse(
        Said, Names, RequestId("q"), {Source / 2 % 2 == 1, Source % 2 == 1});
    Log += renderResponseHead(Said, "", false);
    if (Kind == detail::ResponseKind::Invalid)
      return HeadVerdict::Invalid;
    return Kind == detail::ResponseKind::OtherRequest ? HeadVerdict::Skip
                                                      : HeadVerdict::Accept;
  };
  Hooks.Body = [&](std::string_view Data) {
    expect(Ends == 0, "nothing comes after the end");
    Log += Data;
    return true;
  };
  Hooks.End = [&](HttpCallEnd End) {
    ++Ends;
    if (End == HttpCallEnd::Unmarked)
      Log += "unmarked";
    else if (End != HttpCallEnd::Complete)
      Log = "broken";
  };
  HttpCallRequest Request;
  Request.To = Address(Listener.address());
  Request.Head = {Head ? "HEAD" : "POST", "/", {{"Host", "x"}}};
  Request.Body = std::make_shared<const std::string>("b");
  auto Call = Caller.call(std::move(Request), std::move(Hooks));
  std::optional<fuzzing::Wire> Endpoint;
  for (int I = 0; I < Turns; ++I) {
    fuzzing::turn(Loop, Clock);
    if (auto Next = Listener.accept())
      Endpoint.emplace(std::move(*Next));
  }
  expect(Endpoint.has_value(), "the call connects");
  std::string Received;
  Endpoint->receive(Received);
  for (; !Bytes.empty(); Bytes.remove_prefix(std::min(Piece, Bytes.size()))) {
    Endpoint->send(Bytes.substr(0, Piece));
    fuzzing::turn(Loop, Clock);
  }
  Endpoint->endSending();
  for (int I = 0; I < Turns; ++I)
    fuzzing::turn(Loop, Clock);
  expect(Ends == 1, "a call ends once");
  return Log;
}

} // namespace

// NOLINTNEXTLINE: name of libFuzzer
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  fuzzing::Script Input(Data, Size);
  unsigned First = Input.byte();
  bool Head = First % 16 == 0;
  std::size_t Piece = 1 + First / 2;
  const std::string Bytes = Input.rest();
  const std::string Whole = played(Bytes, Bytes.size() + 1, Head, First);
  expect(played(Bytes, std::max(Piece, Bytes.size() / MostPieces + 1), Head,
                First) == Whole,
         "pieces do not matter");
  return 0;
}
