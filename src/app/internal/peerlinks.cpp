#include "app/internal/peerlinks.h"

#include <optional>
#include <utility>

namespace celerybeam {

PeerHooks PeerLinks::hooks() {
  return {[this](const HostId &Host, messages::Envelope Message) {
    send(Host, std::move(Message));
  }};
}

void PeerLinks::send(const HostId &Host, messages::Envelope Message) {
  std::optional<PeerRecord> Peer = Board_->peers().find(Host);
  if (!Peer)
    return;
  bool Changed = LastAddresses_.upsert(Host, [&](Address &LastAddress) {
    bool Differs = LastAddress != Peer->PeerAddress;
    LastAddress = Peer->PeerAddress;
    return Differs;
  });
  if (Changed && !Transport_.setPeer(Host, Peer->PeerAddress)) {
    LastAddresses_.erase(Host);
    return;
  }
  Transport_.send(Host, std::move(Message));
}

} // namespace celerybeam
