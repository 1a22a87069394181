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

/// What an entry host's decisions need from the outside.
struct EntryHostHooks {
  Runtime Time;
  StoreHooks Store;
  PeerHooks Peers;
  EndpointHooks Endpoints;
  Authenticator Authenticate;
  RequestEvents Events;
  ConfigurationEvents Tables;
};

/// All decisions of one entry host: the blackboard and its controllers, wired
/// together. Does no I/O; runs in the daemon and, on a virtual clock, in
/// scenarios. Thread-safe.
class EntryHost {
public:
  EntryHost(HostIdentity Self, EntryHostHooks Hooks);
  ~EntryHost();

  /// Starts the controllers' periodic work.
  void start();

  /// Takes a message of another entry host.
  void handle(const messages::Envelope &Message);

  /// Takes the platform's list of hosts.
  void platformListed(const PlatformList &List);

  /// Leaves gracefully: takes no new requests, tells peers, finishes what is
  /// in flight, hands bookings over. Completes when nothing is left.
  void leave(const Task &Done);

  /// Whether this host can serve requests.
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
