// Event streams: cut at any places, the same events come out, whole and in
// order.

#include "fuzzing.h"
#include "relay/eventsplitter.h"

using namespace celerybeam;
using fuzzing::expect;

// NOLINTNEXTLINE: name of libFuzzer
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  fuzzing::Script Input(Data, Size);
  unsigned Step = 1 + Input.byte();
  const std::string Text = Input.rest();
  EventSplitter AtOnce;
  const std::string Whole = AtOnce.take(Text);
  expect(Whole.size() + AtOnce.partial().size() <= Text.size(),
         "nothing is made up");
  expect(AtOnce.outOfOrder() || Whole + AtOnce.partial() == Text,
         "nothing is lost");
  EventSplitter InPieces;
  std::string Joined;
  for (std::size_t At = 0; At < Text.size(); At += Step)
    Joined += InPieces.take(std::string_view(Text).substr(At, Step));
  expect(Joined == Whole, "pieces do not matter");
  expect(InPieces.partial() == AtOnce.partial(), "nor for what is left");
  expect(InPieces.delivered() == AtOnce.delivered(), "nor for the count");
  expect(InPieces.lastId() == AtOnce.lastId(), "nor for the last id");
  InPieces.beginRun();
  expect(InPieces.partial().empty(), "a new run starts at an event");
  return 0;
}
