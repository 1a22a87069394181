#ifndef CELERYBEAM_CORE_ENTRYHOST_H
#define CELERYBEAM_CORE_ENTRYHOST_H

#include <memory>
#include <string_view>

#include "blackboard/blackboard.h"
#include "blackboard/calltypes.h"
#include "booking/bookingcontroller.h"
#include "configuration/configurationcontroller.h"
#include "framework/runtime.h"
#include "framework/storehooks.h"
#include "membership/membershipcontroller.h"
#include "messages/peerhooks.h"
#include "requests/requestcontroller.h"

namespace celerybeam {

/// The I/O, clock and event callbacks that an EntryHost uses.
struct EntryHostHooks {
  Runtime Time;
  StoreHooks Store;
  PeerHooks Peers;
  EndpointHooks Endpoints;
  Authenticator Authenticate;
  RequestEvents Events;
  ConfigurationEvents Tables;
};

/// Holds the blackboard and the controllers of one entry host and connects
/// them. Does no I/O itself; used by the daemon and, with a virtual clock, by
/// the scenario tests. Thread-safe.
class EntryHost {
public:
  EntryHost(HostIdentity Self, EntryHostHooks Hooks);
  ~EntryHost();

  /// Starts the controllers' periodic work.
  void start();

  /// Handles a message from another entry host.
  void handle(const messages::Envelope &Message);

  /// Handles a new list of hosts from the platform.
  void platformListed(const PlatformList &List);

  /// Shuts down gracefully: refuses new requests, notifies peers, finishes
  /// the requests in flight and hands bookings over. Then calls Done.
  void leave(const Task &Done);

  /// Whether this host is ready to serve requests.
  bool ready() const;

  Blackboard &board();
  RequestController &requests();
  BookingController &bookings();
  const MembershipController &membership() const;
  const Router &router() const;
  const AdmissionController &admission() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
