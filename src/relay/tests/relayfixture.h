#ifndef CELERYBEAM_RELAY_TESTS_RELAYFIXTURE_H
#define CELERYBEAM_RELAY_TESTS_RELAYFIXTURE_H

#include <optional>
#include <string>
#include <vector>

#include "relay/requestrelay.h"
#include "relay/tests/rawpeer.h"

namespace celerybeam::testing {

/// An entry host on loopback with scripted endpoints.
class RelayFixture {
public:
  /// \param Now  a clock that the test advances; random numbers then use a
  /// fixed seed. Unset: the machine's clock and random numbers.
  explicit RelayFixture(const std::function<TimePoint()> &Now = {});

  /// Adds an endpoint to a pool. Its script may call ran() for a successful
  /// response.
  RawServer &addEndpoint(const std::string &Id, const std::string &Pool,
                         RawServer::Script Script);
  /// Adds an endpoint that the test operates outside of the loop.
  void addEndpointAt(const std::string &Id, const std::string &Pool,
                     const std::string &Where);

  /// Adds a host in musanze that has room in the pool and responds as scripted.
  /// \param LoadKnown  whether its region has reported that.
  RawServer &addOtherHost(const std::string &Pool, RawServer::Script Script,
                          bool LoadKnown = true);

  /// The response of an endpoint that has run the request.
  static RawServer::Answer ran(const std::string &Request,
                               const std::string &Body);
  /// The head of a chunked event stream.
  static std::string streamHead(const std::string &Request);
  static std::string event(unsigned Id);

  /// Builds a request for the route of a repeat kind: "book" (at most once),
  /// "look" (idempotent), "draft" (stream) or "ask" (resumable stream).
  std::string request(const std::string &Route, const std::string &Extra = {},
                      const std::string &Body = "x");
  /// Sends the request and waits for the complete response or the end of the
  /// connection.
  std::string ask(const std::string &Request);

  /// The value of a field in a request's head; empty when it is not there.
  static std::string field(const std::string &Head, const std::string &Name);

  EventLoop Loop;
  Runtime Time;
  HttpCaller Caller{Loop};
  FleetView Fleet{Time, {}};
  HostRegistry Hosts;
  Dispatcher Decisions;
  PlacementServer LocalPlacer;
  PlacementClient Placement;
  RelayContext Context;
  HttpServer Front;
  std::vector<RequestRecord> Done;
  bool TablesCurrent = true;

private:
  static HostState self();
  static FleetTables tables();
  RelayContext makeContext();

  std::vector<std::unique_ptr<RawServer>> Servers_;
  unsigned Requests_ = 0;
};

/// A clock that the test advances. A base class, so that it exists before the
/// host that reads it.
struct AdvancedClock {
  TimePoint Now{std::chrono::seconds(1000)};
};

/// An entry host whose time the test advances.
class VirtualTimeRelay : public AdvancedClock, public RelayFixture {
public:
  VirtualTimeRelay() : RelayFixture([this] { return Now; }) {}

  /// Runs handlers and due timers until the condition holds. The time does not
  /// advance.
  void runUntilHolds(const std::function<bool()> &Holds);
  /// Runs due timers and the handlers that are ready.
  void runReady();

  /// Runs due timers and handlers until loopback has delivered what was sent.
  void runUntilIdle();

  /// Lets other requests take the slots of an endpoint, and gives them back.
  void takeSlots(const std::string &Id);
  void freeSlots();

private:
  std::vector<DispatchId> TakenSlots_;
};

} // namespace celerybeam::testing

#endif
