#include "membership/internal/peertable.h"

#include <algorithm>
#include <set>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Of two states of one incarnation, the one with the higher precedence is
/// kept.
int precedence(PeerState State) {
  switch (State) {
  case PeerState::Alive:
    return 0;
  case PeerState::Suspect:
    return 1;
  case PeerState::Leaving:
    return 2;
  case PeerState::Dead:
    return 3;
  }
  return 0;
}

void copyPools(PeerRecord &Record, const messages::PeerState &Received) {
  Record.Pools.clear();
  for (const messages::PoolLoad &Load : Received.pools())
    Record.Pools[PoolName(Load.pool())] = {
        Load.slots(), Load.busy(), std::chrono::milliseconds(Load.wait_ms())};
}

void copyAddresses(PeerRecord &Record, const messages::PeerState &Received) {
  if (Received.peer_address().empty())
    return;
  Record.Region = RegionId(Received.region());
  Record.Zone = ZoneId(Received.zone());
  Record.CallerAddress = Address(Received.caller_address());
  Record.PeerAddress = Address(Received.peer_address());
}

/// Whether the received state replaces the known one.
bool overrules(const messages::PeerState &Received, const PeerRecord &Known) {
  if (Received.incarnation() != Known.Number)
    return Received.incarnation() > Known.Number;
  return precedence(fromWire(Received.state())) > precedence(Known.State);
}

} // namespace

messages::PeerState::State toWire(PeerState State) {
  switch (State) {
  case PeerState::Alive:
    return messages::PeerState::ALIVE;
  case PeerState::Suspect:
    return messages::PeerState::SUSPECT;
  case PeerState::Dead:
    return messages::PeerState::DEAD;
  case PeerState::Leaving:
    return messages::PeerState::LEAVING;
  }
  return messages::PeerState::ALIVE;
}

PeerState fromWire(messages::PeerState::State State) {
  switch (State) {
  case messages::PeerState::SUSPECT:
    return PeerState::Suspect;
  case messages::PeerState::DEAD:
    return PeerState::Dead;
  case messages::PeerState::LEAVING:
    return PeerState::Leaving;
  default:
    return PeerState::Alive;
  }
}

bool PeerTable::merge(const messages::PeerState &Received, TimePoint Now) {
  HostId Id(Received.host());
  std::optional<PeerRecord> Known = Board_.peers().find(Id);
  if (!Known) {
    if (Received.peer_address().empty())
      return false;
    Known.emplace();
    Known->Id = Id;
    Known->Number = Received.incarnation();
    Known->State = fromWire(Received.state());
  } else if (overrules(Received, *Known)) {
    if (Received.incarnation() > Known->Number)
      Serials_.erase(Id);
    Known->Number = Received.incarnation();
    Known->State = fromWire(Received.state());
  } else if (Received.incarnation() < Known->Number ||
             Received.serial() <= Serials_[Id]) {
    return false;
  }
  copyAddresses(*Known, Received);
  if (Received.serial() > Serials_[Id]) {
    Serials_[Id] = Received.serial();
    Known->InForce = std::max(Known->InForce, Received.revision_in_force());
    Known->LastHeard = Now;
    ZoneUpdatedAt_[Known->Zone] = Now;
    copyPools(*Known, Received);
  }
  updateTimes(*Known, Now);
  Board_.peers().set(Id, std::move(*Known));
  return true;
}

void PeerTable::updateTimes(const PeerRecord &Record, TimePoint Now) {
  if (Record.State == PeerState::Suspect)
    SuspectSince_.try_emplace(Record.Id, Now);
  else
    SuspectSince_.erase(Record.Id);
  if (Record.State == PeerState::Dead || Record.State == PeerState::Leaving)
    GoneSince_.try_emplace(Record.Id, Now);
  else
    GoneSince_.erase(Record.Id);
}

void PeerTable::addListed(const ListedEntryHost &Host, TimePoint Now) {
  if (Host.Id == Board_.self().Id)
    return;
  PeerRecord Fresh;
  Fresh.Id = Host.Id;
  Fresh.CallerAddress = Host.CallerAddress;
  Fresh.PeerAddress = Host.PeerAddress;
  Fresh.Region = Host.Region;
  Fresh.Zone = Host.Zone;
  Fresh.State = Host.Leaving ? PeerState::Leaving : PeerState::Alive;
  if (Board_.peers().insert(Host.Id, Fresh)) {
    ZoneUpdatedAt_.try_emplace(Host.Zone, Now);
    updateTimes(Fresh, Now);
    return;
  }
  Board_.peers().update(Host.Id, [&](PeerRecord &R) {
    // A state reported by the host itself is newer than the lagging list. Only
    // Leaving is taken from the list: it is never undone within one
    // incarnation.
    if (Host.Leaving && precedence(R.State) < precedence(PeerState::Leaving)) {
      R.State = PeerState::Leaving;
      updateTimes(R, Now);
    }
  });
}

void PeerTable::recordMessageFrom(const HostId &Host, Revision InForce,
                                  TimePoint Now) {
  Board_.peers().update(Host, [&](PeerRecord &R) {
    R.LastHeard = Now;
    R.InForce = std::max(R.InForce, InForce);
    ZoneUpdatedAt_[R.Zone] = Now;
  });
}

bool PeerTable::suspect(const HostId &Host, TimePoint Now) {
  bool WasAlive = false;
  Board_.peers().update(Host, [&](PeerRecord &R) {
    WasAlive = R.State == PeerState::Alive;
    if (!WasAlive)
      return;
    R.State = PeerState::Suspect;
    updateTimes(R, Now);
  });
  return WasAlive;
}

std::vector<HostId> PeerTable::expireSuspicions(TimePoint Before) {
  std::vector<HostId> Expired;
  for (auto &[Id, Since] : SuspectSince_) {
    std::optional<PeerRecord> Known = Board_.peers().find(Id);
    if (Known)
      Since = std::max(Since, Known->LastHeard);
    if (Since < Before)
      Expired.push_back(Id);
  }
  for (const HostId &Id : Expired)
    Board_.peers().update(Id, [&](PeerRecord &R) {
      R.State = PeerState::Dead;
      updateTimes(R, Before);
    });
  return Expired;
}

void PeerTable::restartSuspicions(TimePoint Now) {
  for (auto &[Id, Since] : SuspectSince_)
    Since = Now;
}

void PeerTable::forget(TimePoint Before) {
  std::erase_if(GoneSince_, [&](const auto &Gone) {
    if (Gone.second >= Before)
      return false;
    Serials_.erase(Gone.first);
    Board_.peers().erase(Gone.first);
    return true;
  });
}

std::optional<PeerState> PeerTable::stateOf(const HostId &Host) const {
  std::optional<PeerRecord> Known = Board_.peers().find(Host);
  if (!Known)
    return std::nullopt;
  return Known->State;
}

template <typename Predicate>
std::vector<HostId> PeerTable::select(Predicate Wanted) const {
  std::vector<HostId> Ids;
  Board_.peers().forEach([&](const HostId &Id, const PeerRecord &R) {
    if (Wanted(R))
      Ids.push_back(Id);
  });
  std::sort(Ids.begin(), Ids.end());
  return Ids;
}

std::vector<HostId> PeerTable::inZone(const ZoneId &Zone,
                                      PeerState State) const {
  return select(
      [&](const PeerRecord &R) { return R.Zone == Zone && R.State == State; });
}

std::vector<HostId> PeerTable::inRegion(const RegionId &Region,
                                        PeerState State) const {
  return select([&](const PeerRecord &R) {
    return R.Region == Region && R.State == State;
  });
}

std::vector<ZoneId> PeerTable::otherZones() const {
  std::set<ZoneId> Zones;
  Board_.peers().forEach(
      [&](const HostId &, const PeerRecord &R) { Zones.insert(R.Zone); });
  Zones.erase(Board_.self().Zone);
  return {Zones.begin(), Zones.end()};
}

TimePoint PeerTable::lastUpdateFromZone(const ZoneId &Zone) const {
  auto It = ZoneUpdatedAt_.find(Zone);
  return It == ZoneUpdatedAt_.end() ? TimePoint() : It->second;
}

std::optional<messages::PeerState>
PeerTable::stateMessage(const HostId &Host) const {
  std::optional<PeerRecord> Known = Board_.peers().find(Host);
  if (!Known)
    return std::nullopt;
  messages::PeerState State;
  State.set_host(Host.str());
  State.set_state(toWire(Known->State));
  State.set_incarnation(Known->Number);
  if (Known->State == PeerState::Suspect || Known->State == PeerState::Dead)
    return State;
  State.set_region(Known->Region.str());
  State.set_zone(Known->Zone.str());
  State.set_caller_address(Known->CallerAddress.str());
  State.set_peer_address(Known->PeerAddress.str());
  return State;
}

} // namespace celerybeam::detail
