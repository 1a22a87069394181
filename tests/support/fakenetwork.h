#ifndef CELERYBEAM_TESTS_SUPPORT_FAKENETWORK_H
#define CELERYBEAM_TESTS_SUPPORT_FAKENETWORK_H

#include <cstdint>
#include <functional>
#include <map>

#include "messages/peerhooks.h"
#include "support/virtualhost.h"

namespace celerybeam::testing {

/// What happens to one message between two hosts.
enum class MessageFault { None, Lose, Duplicate, Delay };

/// Carries messages between entry hosts on the virtual clock.
class FakeNetwork {
public:
  using Handler = std::function<void(const messages::Envelope &)>;

  explicit FakeNetwork(VirtualTime &Time) : Time_(Time) {}

  /// A host that joins again replaces its earlier life.
  void join(const VirtualHost &Host, Incarnation Number, Handler Handle);
  void leave(const HostId &Host) { Nodes_.erase(Host); }

  PeerHooks hooks(const VirtualHost &Host);

  /// One-way latency between two hosts; unset: half a millisecond.
  std::function<Duration(const HostId &, const HostId &)> Latency;
  /// Whether two hosts reach each other; unset: always.
  std::function<bool(const HostId &, const HostId &)> Connected;
  /// Decides the fate of each message; unset: no fault.
  std::function<MessageFault(const messages::Envelope &)> PickFault;

  /// Counted at the sender.
  std::uint64_t messagesSent(const HostId &Host) const;
  std::uint64_t bytesSent(const HostId &Host) const;

private:
  struct Node {
    VirtualHost Host;
    Incarnation Number = 0;
    Handler Handle;
  };
  struct Counts {
    std::uint64_t Messages = 0;
    std::uint64_t Bytes = 0;
  };

  void send(const HostId &From, const HostId &To, messages::Envelope Message);
  void deliver(const HostId &From, const HostId &To,
               const messages::Envelope &Message, Duration Delay);

  VirtualTime &Time_;
  std::map<HostId, Node> Nodes_;
  std::map<HostId, Counts> Counts_;
};

} // namespace celerybeam::testing

#endif
