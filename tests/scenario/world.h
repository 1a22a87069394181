#ifndef CELERYBEAM_TESTS_SCENARIO_WORLD_H
#define CELERYBEAM_TESTS_SCENARIO_WORLD_H

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "configuration/tableparser.h"
#include "core/entryhost.h"
#include "scenario/callerlog.h"
#include "scenario/fakeendpoint.h"
#include "support/fakenetwork.h"
#include "support/fakestore.h"
#include "support/virtualhost.h"

namespace celerybeam::testing {

/// Where something stands, for cuts between places.
struct Place {
  std::string Region;
  std::string Zone;
  std::string Name;
};

/// Entry hosts, endpoints, the store and callers of one scenario, with the
/// real core in each entry host and fakes at its edges.
class World {
public:
  explicit World(std::uint64_t Seed);
  ~World();

  // Set-up.
  void addHost(const HostIdentity &Self);
  void addEndpoint(FakeEndpointOptions Options);
  void setStoreRegion(const std::string &Region) {
    StorePlace_.Region = Region;
  }
  void setRegionLatency(Duration OneWay) { RegionLatency_ = OneWay; }
  void setListLag(Duration Lag) { ListLag_ = Lag; }

  // Entry hosts.
  void startHost(const HostId &Id);
  void crashHost(const HostId &Id);
  void pauseHost(const HostId &Id, bool Paused);
  void leaveHost(const HostId &Id);
  EntryHost *host(const HostId &Id);
  std::vector<HostId> hostIds() const;
  bool running(const HostId &Id) const;
  /// Whether a host is meant by its name, zone, region or "all".
  bool isIn(const HostId &Id, const std::string &Group) const;

  // Network. A group is the name of a region, zone, host or endpoint, or "*"
  // for all that is not in the other group.
  void cut(const std::string &GroupA, const std::string &GroupB);
  void healAll();

  // Operators.
  /// Applies tables; the result comes later, under the name.
  void apply(const std::string &Name, const TableTexts &Texts);
  const std::map<std::string, std::string> &applied() const { return Applied_; }

  // Callers.
  void request(CallRecord Record, const RequestHead &Head, std::string Body);
  void queryBooking(const std::string &Name, const HostId &Via);
  void callerGone(const std::string &Name);

  VirtualTime &time() { return Time_; }
  FakeStore &store() { return Store_; }
  FakeNetwork &network() { return Network_; }
  FakeEndpoint *endpoint(const EndpointId &Id);
  /// What the platform's list says from now on.
  void setEndpointLeaving(const EndpointId &Id, bool Leaving);
  std::vector<FakeEndpoint *> endpoints();
  CallerLog &calls() { return Calls_; }
  /// Executions of a booking key over all runners.
  unsigned executions(const std::string &Key) const;
  unsigned forwarded() const {
    return static_cast<unsigned>(Forwarded_.size());
  }

  /// Rules that were broken so far, as sentences; empty when none.
  std::vector<std::string> brokenInvariants() const;
  void note(const std::string &Line);
  const std::deque<std::string> &trace() const { return Trace_; }

  /// Decides the fate of messages; unset: none is harmed.
  std::function<MessageFault(const messages::Envelope &)> PickFault;

private:
  struct Node {
    HostIdentity Self;
    std::unique_ptr<VirtualHost> Virtual;
    std::unique_ptr<EntryHost> Core;
    RequestId LastRequest;
    bool Left = false;
  };

  bool separated(const Place &A, const Place &B) const;
  Place placeOf(const HostId &Id) const;
  bool inGroup(const Place &P, const std::string &Group) const;
  void updateStoreReach();
  EntryHostHooks hooksFor(const Node &N);
  EndpointHooks endpointHooks(const VirtualHost &Host);
  MessageFault observeMessage(const messages::Envelope &Message);
  void observeArrival(const FakeEndpointOptions &At, const EndpointCall &Call);
  ResponseHooks answerTo(const std::string &Name);
  void listPeriodically();
  PlatformList currentList() const;
  void broke(const std::string &Rule);

  VirtualTime Time_;
  FakeStore Store_;
  FakeNetwork Network_;
  std::map<HostId, Node> Hosts_;
  std::map<EndpointId, std::unique_ptr<FakeEndpoint>> Endpoints_;
  std::map<EndpointId, bool> LeavingEndpoints_;
  std::vector<std::pair<std::string, std::string>> Cuts_;
  Place StorePlace_{"", "store-zone", "store"};
  Duration RegionLatency_ = std::chrono::milliseconds(55);
  Duration ListLag_ = std::chrono::seconds(2);
  VirtualHost Operator_;
  std::map<std::string, std::string> Applied_;
  CallerLog Calls_;
  std::map<std::string, RequestId> RequestIds_;
  std::set<std::string> Forwarded_;
  std::vector<std::string> Broken_;
  std::deque<std::string> Trace_;
  /// Cores of crashed hosts; a task of theirs may still be on the stack.
  std::vector<std::unique_ptr<EntryHost>> Crashed_;
};

} // namespace celerybeam::testing

#endif
