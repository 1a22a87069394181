#include "admission/internal/peerlimits.h"

#include <algorithm>
#include <utility>

#include "admission/internal/limitkey.h"

namespace celerybeam::detail {

namespace {

std::vector<HostId> aliveHosts(Blackboard &Board) {
  const HostIdentity &Self = Board.self();
  std::vector<HostId> Hosts;
  if (!Board.leaving())
    Hosts.push_back(Self.Id);
  Board.peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
    bool Serves =
        Peer.State == PeerState::Alive || Peer.State == PeerState::Suspect;
    if (Id != Self.Id && Peer.Region == Self.Region && Serves)
      Hosts.push_back(Id);
  });
  if (Hosts.empty())
    Hosts.push_back(Self.Id);
  std::sort(Hosts.begin(), Hosts.end());
  return Hosts;
}

messages::Envelope envelopeOf(const ShareNote &Note) {
  messages::Envelope Message;
  messages::ShareTransfer *Transfer = Message.mutable_share_transfer();
  Transfer->set_limit(Note.Limit);
  Transfer->set_amount(Note.Amount);
  Transfer->set_serial(Note.Serial);
  Transfer->set_acknowledged(Note.Acknowledged);
  Transfer->set_held(Note.Held);
  Transfer->set_credit(Note.Credit);
  return Message;
}

} // namespace

LimitHooks peerLimitHooks(Blackboard &Board, PeerHooks Peers) {
  LimitHooks Hooks;
  Hooks.Self = Board.self().Id;
  Hooks.GroupOf = [](const LimitName &) { return std::string(); };
  Hooks.Candidates = [&Board](const std::string &) {
    return aliveHosts(Board);
  };
  Hooks.ValuesOf = [&Board](const LimitName &Limit) {
    std::optional<LimitKey> Key = LimitKey::parse(Limit);
    return Key ? limitValues(*Board.tables(), *Key) : LimitValues();
  };
  Hooks.Send = [Peers = std::move(Peers)](const HostId &To,
                                          const ShareNote &Note) {
    Peers.Send(To, envelopeOf(Note));
  };
  return Hooks;
}

ShareNote readShareNote(const messages::ShareTransfer &Transfer) {
  ShareNote Note;
  Note.Limit = Transfer.limit();
  Note.Amount = Transfer.amount();
  Note.Serial = Transfer.serial();
  Note.Acknowledged = Transfer.acknowledged();
  Note.Held = Transfer.held();
  Note.Credit = Transfer.credit();
  return Note;
}

} // namespace celerybeam::detail
