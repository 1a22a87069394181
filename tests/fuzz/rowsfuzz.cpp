// Rows of the platform's store. The first byte chooses: E for an endpoint's
// entry, its key first; all others for the operator's tables.

#include "fleet/fleetview.h"
#include "fuzzing.h"
#include "platform/tabledecoder.h"
#include "relay/httpcaller.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using fuzzing::expect;

namespace {

void readEntry(fuzzing::Script &Input, testing::VirtualTime &Time,
               FleetView &Fleet) {
  const platform::ZoneRegions Zones = {{ZoneId("z"), RegionId("r")}};
  const std::string Key = platform::EndpointPrefix + Input.text();
  auto Entry = platform::decodeEndpoint(Key, Input.rest(), Zones, Time.now());
  if (!Entry)
    return expect(!Entry.error().Message.empty(), "a refusal says why");
  expect(Entry->Region == RegionId("r"), "it lies in its zone's region");
  expect(isCallable(Entry->Where) && Entry->Slots > 0, "it can be used");
  Fleet.putEndpoint(*Entry);
  Fleet.removeEndpoint(Entry->Id, std::chrono::seconds(1));
}

void readTables(fuzzing::Script &Input, FleetView &Fleet) {
  auto Tables = platform::decodeTables(Input.rest());
  if (!Tables)
    return expect(!Tables.error().Message.empty(), "a refusal says why");
  Fleet.adoptTables(*Tables);
  if (Fleet.tables())
    Fleet.tables()->find("x.example", "/a/b");
}

} // namespace

// NOLINTNEXTLINE: name of libFuzzer
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  fuzzing::Script Input(Data, Size);
  testing::VirtualTime Time{1};
  FleetView Fleet(Time.runtime(), {});
  if (Input.byte() == 'E')
    readEntry(Input, Time, Fleet);
  else
    readTables(Input, Fleet);
  Time.runFor(std::chrono::seconds(2));
  return 0;
}
