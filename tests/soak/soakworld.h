#ifndef CELERYBEAM_TESTS_SOAK_SOAKWORLD_H
#define CELERYBEAM_TESTS_SOAK_SOAKWORLD_H

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/posix/stream_descriptor.hpp>

#include "gateway/gatewayprocess.h"
#include "gateway/storestandin.h"
#include "soak/endpointprocess.h"
#include "soak/faultproxy.h"
#include "soak/soakjudge.h"
#include "support/temporaryfolder.h"

namespace celerybeam::testing {

/// How large a soak is and with which seed it runs.
struct SoakOptions {
  std::uint64_t Seed = 1;
  Duration Length = std::chrono::seconds(20);
  /// This program, to start endpoints with.
  std::string Self;
  /// Entry hosts and endpoints, in units of the smallest soak.
  unsigned Scale = 1;
  double RequestsPerSecond = 60;
  /// A fault of the endpoints that the checks must find.
  std::string Plant;
  /// Hosts paused in series, and hostile callers.
  bool Rough = false;
  /// Tables name no customers.
  bool Plain = false;
};

/// An entry host, its place in the fleet and its way to the store.
struct SoakHost {
  GatewayOptions Options;
  std::unique_ptr<FaultProxy> ToStore;
  std::unique_ptr<GatewayProcess> Process;
  unsigned Starts = 0;
  bool Stopping = false;
  bool Paused = false;
  TimePoint PausedAt{};
  /// Of the pauses that have ended.
  Duration StoodBefore{};

  void pause(TimePoint Now);
  void resume(TimePoint Now);
  /// For how long it has stood still in pauses.
  Duration stood(TimePoint Now) const {
    return StoodBefore + (Paused ? Now - PausedAt : Duration{});
  }
  std::string address() const;
  /// Names one start of it.
  std::string start() const {
    return Options.Name + "#" + std::to_string(Starts);
  }
};

/// An endpoint process and the way to it.
struct SoakEndpoint {
  std::string Id;
  std::string Service;
  std::string Zone;
  std::string Region;
  std::unique_ptr<FaultProxy> Way;
  int Process = 0;
  unsigned Starts = 0;
  bool Paused = false;
  std::shared_ptr<boost::asio::posix::stream_descriptor> Output;
  std::string Text;
};

/// A customer of the soak's tables, with a limit unless its rate is zero.
struct SoakCustomer {
  std::string Name;
  std::string Unit;
  std::set<std::string> Keys;
  SoakLimit Limit;
};

/// The processes of a soak and the platform around them.
class SoakWorld {
public:
  SoakWorld(EventLoop &Loop, const SoakOptions &Options, SoakJudge &Judge);
  ~SoakWorld();

  void startHost(SoakHost &Host);
  /// Starts again those hosts that have ended.
  void restartEnded();
  void startEndpoint(SoakEndpoint &Endpoint);
  void killEndpoint(SoakEndpoint &Endpoint);
  /// Writes the endpoint's entry. \param State  "ready", "draining", or empty
  /// to remove it.
  void announce(const SoakEndpoint &Endpoint, const std::string &State);
  /// Writes the next version of the tables.
  void nextTables();

  /// Writes tables with one key of a customer replaced and other limits.
  void changeCustomers();

  /// Draws who calls: a customer, mostly with a key that holds.
  SoakIdentity anyCaller();
  /// A caller with a key that holds, of the customer without a limit.
  SoakIdentity steadyCaller();

  /// The routes that callers use now; the last is the one of this version.
  std::vector<SoakRoute> routes() const;
  /// A route that each version of the tables adds below a safe one; none of
  /// them is removed.
  static SoakRoute onceBelowSafe(unsigned Version);
  bool rough() const { return Options_.Rough; }
  bool namesCustomers() const { return !Options_.Plain; }

  /// Time-outs of a rough soak's tables: short enough to be passed by a pause.
  static constexpr Duration RoughHeader = std::chrono::milliseconds(800);
  static constexpr Duration RoughIdle = std::chrono::milliseconds(1500);
  /// The whole time of each request, as its caller says.
  static constexpr Duration WholeTime = std::chrono::seconds(5);

  EventLoop &Loop;
  StoreStandIn Store;
  std::vector<SoakHost> Hosts;
  std::vector<SoakEndpoint> Endpoints;

private:
  void addHost(const std::string &Region, const std::string &Zone);
  void addEndpoint(const std::string &Service, const std::string &Region,
                   const std::string &Zone);
  void addCustomer(const std::string &Name, const std::string &Unit,
                   double PerSecond, double Burst, double MostCost);
  std::string newKey() { return KeyPrefix + std::to_string(++KeysMade_); }
  /// One or two, by which a limit is divided.
  double anyDivisor() { return Random_() % 2 == 0 ? 1 : 2; }
  SoakIdentity callerOf(const SoakCustomer &Customer);
  void readOutput(SoakEndpoint &Endpoint);
  void takeLine(SoakEndpoint &Endpoint, const std::string &Line);

  SoakOptions Options_;
  SoakJudge &Judge_;
  TemporaryFolder Folder_;
  unsigned Version_ = 0;
  /// Of keys and limits; leaves the order of other draws as it is.
  std::mt19937_64 Random_;
  std::vector<SoakCustomer> Customers_;
  /// Callers with keys that were removed, some of which still hold.
  std::vector<SoakIdentity> RemovedCallers_;
  unsigned KeysMade_ = 0;
};

} // namespace celerybeam::testing

#endif
