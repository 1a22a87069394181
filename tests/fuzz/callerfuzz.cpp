// Heads and bodies from callers: the same requests are read however the bytes
// are split, and each that is handed on can be decoded and passed on.

#include "fuzzing.h"
#include "platform/wirenames.h"
#include "relay/httpserver.h"
#include "relay/internal/responsehead.h"
#include "wire.h"

using namespace celerybeam;
using fuzzing::expect;

namespace {

/// Splits of one input; more are not tried.
constexpr std::size_t MostPieces = 24;
constexpr int TurnsPerPiece = 2;
constexpr int TurnsAtTheEnd = 8;

void decode(const HttpServerRequest &Request) {
  const WireNames Names = platform::wireNames();
  auto Said = platform::decodeRequest(Request);
  expect(Said || !Said.error().Message.empty(), "a refusal says why");
  HttpRequestHead Out = detail::outgoingHead(Request.Head, Names);
  if (Said)
    detail::setTimeLeft(Out, Names, Said->Deadline - Request.Arrived);
  for (const std::string &Name : Names.Reserved)
    expect(!findField(Out.Fields, Name), "reserved fields are dropped");
  for (const char *Name : {"Connection", "Transfer-Encoding", "Content-Length"})
    expect(!findField(Out.Fields, Name), "framing is not passed on");
  const std::string Wire = renderRequestHead(Out, Request.Body->size());
  expect(Wire.find("\r\n\r\n") == Wire.size() - 4, "one head is passed on");
}

/// What the server hands on of bytes that come in pieces, and how it ends.
std::string played(std::string_view Bytes, std::size_t Piece) {
  fuzzing::ScriptClock Clock;
  EventLoop Loop(Clock.reader());
  std::string Log;
  HttpServer Server(Loop, [&](const HttpServerRequest &Request, auto Answer) {
    decode(Request);
    Log += "[" + renderRequestHead(Request.Head, 1) + *Request.Body + "]";
    Answer->respond({200, {}}, "ok");
  });
  expect(Server.listen(Address("127.0.0.1:0")).has_value(), "it listens");
  fuzzing::Wire Caller(Server.address().str());
  fuzzing::turn(Loop, Clock);
  for (; !Bytes.empty(); Bytes.remove_prefix(std::min(Piece, Bytes.size()))) {
    Caller.send(Bytes.substr(0, Piece));
    for (int I = 0; I < TurnsPerPiece; ++I)
      fuzzing::turn(Loop, Clock);
  }
  std::string Received;
  for (int I = 0; I < TurnsAtTheEnd; ++I) {
    fuzzing::turn(Loop, Clock);
    Caller.receive(Received);
  }
  expect(Received.empty() || Received.starts_with("HTTP/1.1 "),
         "an answer is one");
  Caller.reset();
  fuzzing::turn(Loop, Clock);
  expect(Server.inFlight() == 0, "nothing is left in flight");
  return Log;
}

} // namespace

// NOLINTNEXTLINE: name of libFuzzer
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  fuzzing::Script Input(Data, Size);
  std::size_t Piece = 1 + Input.byte();
  const std::string Bytes = Input.rest();
  const std::string Whole = played(Bytes, Bytes.size() + 1);
  expect(played(Bytes, std::max(Piece, Bytes.size() / MostPieces + 1)) == Whole,
         "pieces do not matter");
  return 0;
}
