#include "membership/internal/peertable.h"

#include <algorithm>
#include <set>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Which of two states of one incarnation stands.
int severity(PeerState State) {
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

void takePools(PeerRecord &Record, const messages::PeerState &Heard) {
  Record.Pools.clear();
  for (const messages::PoolLoad &Load : Heard.pools())
    Record.Pools[PoolName(Load.pool())] = {
        Load.slots(), Load.busy(), std::chrono::milliseconds(Load.wait_ms())};
}

void takeAddresses(PeerRecord &Record, const messages::PeerState &Heard) {
  if (Heard.peer_address().empty())
    return;
  Record.Region = RegionId(Heard.region());
  Record.Zone = ZoneId(Heard.zone());
  Record.CallerAddress = Address(Heard.caller_address());
  Record.PeerAddress = Address(Heard.peer_address());
}

/// Whether the heard state overrules the one that is held.
bool overrules(const messages::PeerState &Heard, const PeerRecord &Held) {
  if (Heard.incarnation() != Held.Number)
    return Heard.incarnation() > Held.Number;
  return severity(fromWire(Heard.state())) > severity(Held.State);
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

bool PeerTable::merge(const messages::PeerState &Heard, TimePoint Now) {
  HostId Id(Heard.host());
  std::optional<PeerRecord> Held = Board_.peers().find(Id);
  if (!Held) {
    if (Heard.peer_address().empty())
      return false;
    Held.emplace();
    Held->Id = Id;
    Held->Number = Heard.incarnation();
    Held->State = fromWire(Heard.state());
  } else if (overrules(Heard, *Held)) {
    if (Heard.incarnation() > Held->Number)
      Serials_.erase(Id);
    Held->Number = Heard.incarnation();
    Held->State = fromWire(Heard.state());
  } else if (Heard.incarnation() < Held->Number ||
             Heard.serial() <= Serials_[Id]) {
    return false;
  }
  takeAddresses(*Held, Heard);
  if (Heard.serial() > Serials_[Id]) {
    Serials_[Id] = Heard.serial();
    Held->InForce = std::max(Held->InForce, Heard.revision_in_force());
    Held->LastHeard = Now;
    ZoneHeard_[Held->Zone] = Now;
    takePools(*Held, Heard);
  }
  changed(*Held, Now);
  Board_.peers().set(Id, std::move(*Held));
  return true;
}

void PeerTable::changed(const PeerRecord &Record, TimePoint Now) {
  if (Record.State == PeerState::Suspect)
    SuspectSince_.try_emplace(Record.Id, Now);
  else
    SuspectSince_.erase(Record.Id);
  if (Record.State == PeerState::Dead || Record.State == PeerState::Leaving)
    GoneSince_.try_emplace(Record.Id, Now);
  else
    GoneSince_.erase(Record.Id);
}

void PeerTable::list(const ListedEntryHost &Host, TimePoint Now) {
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
    ZoneHeard_.try_emplace(Host.Zone, Now);
    changed(Fresh, Now);
    return;
  }
  Board_.peers().update(Host.Id, [&](PeerRecord &R) {
    // A host that has spoken for itself knows better than the lagging list,
    // but for its leaving, which is never taken back within one life.
    if (Host.Leaving && severity(R.State) < severity(PeerState::Leaving)) {
      R.State = PeerState::Leaving;
      changed(R, Now);
    }
  });
}

void PeerTable::heardFrom(const HostId &Host, Revision InForce, TimePoint Now) {
  Board_.peers().update(Host, [&](PeerRecord &R) {
    R.LastHeard = Now;
    R.InForce = std::max(R.InForce, InForce);
    ZoneHeard_[R.Zone] = Now;
  });
}

bool PeerTable::suspect(const HostId &Host, TimePoint Now) {
  bool WasAlive = false;
  Board_.peers().update(Host, [&](PeerRecord &R) {
    WasAlive = R.State == PeerState::Alive;
    if (!WasAlive)
      return;
    R.State = PeerState::Suspect;
    changed(R, Now);
  });
  return WasAlive;
}

std::vector<HostId> PeerTable::expireSuspicions(TimePoint Before) {
  std::vector<HostId> Expired;
  for (auto &[Id, Since] : SuspectSince_) {
    std::optional<PeerRecord> Held = Board_.peers().find(Id);
    if (Held)
      Since = std::max(Since, Held->LastHeard);
    if (Since < Before)
      Expired.push_back(Id);
  }
  for (const HostId &Id : Expired)
    Board_.peers().update(Id, [&](PeerRecord &R) {
      R.State = PeerState::Dead;
      changed(R, Before);
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
  std::optional<PeerRecord> Held = Board_.peers().find(Host);
  if (!Held)
    return std::nullopt;
  return Held->State;
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

TimePoint PeerTable::heardOfZone(const ZoneId &Zone) const {
  auto It = ZoneHeard_.find(Zone);
  return It == ZoneHeard_.end() ? TimePoint() : It->second;
}

std::optional<messages::PeerState> PeerTable::wire(const HostId &Host) const {
  std::optional<PeerRecord> Held = Board_.peers().find(Host);
  if (!Held)
    return std::nullopt;
  messages::PeerState State;
  State.set_host(Host.str());
  State.set_state(toWire(Held->State));
  State.set_incarnation(Held->Number);
  if (Held->State == PeerState::Suspect || Held->State == PeerState::Dead)
    return State;
  State.set_region(Held->Region.str());
  State.set_zone(Held->Zone.str());
  State.set_caller_address(Held->CallerAddress.str());
  State.set_peer_address(Held->PeerAddress.str());
  return State;
}

} // namespace celerybeam::detail
