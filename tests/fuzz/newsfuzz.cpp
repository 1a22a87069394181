// Datagrams of other entry hosts: read, taken in, and written again.

#include "dispatch/placementclient.h"
#include "fleethost/internal/updatecodec.h"
#include "fleethost/internal/updateexchange.h"
#include "fuzzing.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using fuzzing::expect;

namespace {

/// An entry host with all that exchanges news.
struct Host {
  Host() {
    FleetTables Tables;
    Tables.Version = 1;
    FleetPool Pool;
    Pool.Name = PoolName("p");
    Pool.Engine = EngineSettings{2, 1000, 0};
    Tables.Pools[Pool.Name] = Pool;
    Fleet.adoptTables(Tables);
    FleetEndpoint E;
    E.Id = EndpointId("e");
    E.Key = EndpointKey{7};
    E.Pool = Pool.Name;
    E.Where = Address("10.0.1.1:80");
    E.Region = RegionId("r");
    E.Slots = 2;
    Fleet.putEndpoint(E);
  }

  static HostState self() {
    HostState H;
    H.Id = HostId("k1");
    H.Ip = "10.0.0.1";
    H.Region = RegionId("r");
    H.Ready = true;
    return H;
  }

  testing::VirtualTime Time{1};
  FleetView Fleet{Time.runtime(), {}};
  HostRegistry Hosts{Time.runtime(), self()};
  Dispatcher Decisions{
      Time.runtime(), Fleet, Hosts, {1, std::chrono::seconds(10), 100}};
  PlacementServer LocalPlacer{Time.runtime(), Fleet, Decisions, self().Ip,
                              [this](const std::string &Ip, PlacementId Id,
                                     const PlacementAnswer &Answer) {
                                Exchange.sendNote(Ip, Id, Answer);
                              }};
  PlacementClient Placement{
      Time.runtime(),
      Fleet,
      Hosts,
      Decisions,
      LocalPlacer,
      [this](const std::string &Ip, PlacementId Id, const PlacementNote &Note) {
        Exchange.sendNote(Ip, Id, Note);
      }};
  detail::UpdateExchange Exchange{
      Time.runtime(),
      {Fleet, Hosts, Decisions, LocalPlacer, Placement},
      {[](const std::string &, const std::string &Bytes) {
         messages::FleetNews Sent;
         expect(Sent.ParseFromString(Bytes), "what is sent can be read");
       },
       [](const HostState &) {}}};
};

/// Once read and written, a message stays the same.
void checkCodec(const messages::FleetNews &In, const Host &H) {
  for (const auto &Note : In.notes()) {
    auto Read = detail::readNote(Note, H.Time.now(), H.Fleet);
    if (!Read)
      continue;
    messages::PlacementNote Once;
    detail::writeNote({Note.id()}, *Read, H.Time.now(), Once);
    auto ReadAgain = detail::readNote(Once, H.Time.now(), H.Fleet);
    expect(ReadAgain.has_value(), "a note that was written can be read");
    messages::PlacementNote Twice;
    detail::writeNote({Note.id()}, *ReadAgain, H.Time.now(), Twice);
    expect(Once.SerializeAsString() == Twice.SerializeAsString(),
           "and says the same");
  }
  for (const auto &Listed : In.listed()) {
    messages::ListedPlacement Once;
    detail::writeListed(detail::readListed(Listed), Once);
    expect(Once.id() == Listed.id(), "a listed placement keeps its id");
  }
}

} // namespace

// NOLINTNEXTLINE: name of libFuzzer
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  Host H;
  messages::FleetNews Message;
  if (Message.ParseFromArray(Data, static_cast<int>(Size)))
    checkCodec(Message, H);
  H.Exchange.receive(Bytes);
  H.Exchange.tick();
  H.Time.runFor(std::chrono::milliseconds(200));
  H.Exchange.receive(Bytes);
  H.Exchange.tick();
  H.Time.runFor(std::chrono::seconds(1));
  H.Exchange.tick();
  return 0;
}
