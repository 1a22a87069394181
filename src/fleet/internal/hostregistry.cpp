#include "fleet/hostregistry.h"

#include <algorithm>

namespace celerybeam {

namespace {

struct Known {
  HostState State;
  TimePoint LastHeard{};
  TimePoint HeldOffUntil{};
};

} // namespace

class HostRegistry::Impl {
public:
  Impl(Runtime R, HostState Self)
      : Runtime_(std::move(R)), Self_(std::move(Self)) {}

  bool isAlive(const Known &Host) const {
    Duration Silence =
        Host.State.Region == Self_.Region ? RegionSilence : FarSilence;
    return Runtime_.Now() - Host.LastHeard <= Silence;
  }

  Runtime Runtime_;
  HostState Self_;
  /// By IP number: a host that is replaced may keep its name.
  std::map<std::string, Known> Hosts_;
  std::set<std::string> Contacts_;
};

HostRegistry::HostRegistry(Runtime R, HostState Self)
    : Impl_(std::make_unique<Impl>(std::move(R), std::move(Self))) {}
HostRegistry::~HostRegistry() = default;

HostState &HostRegistry::self() { return Impl_->Self_; }
const HostState &HostRegistry::self() const { return Impl_->Self_; }

void HostRegistry::addContact(const std::string &Ip) {
  if (Ip != Impl_->Self_.Ip && !Ip.empty())
    Impl_->Contacts_.insert(Ip);
}

bool HostRegistry::heard(const HostState &Host) {
  if (Host.Ip == Impl_->Self_.Ip)
    return false;
  Known &Entry = Impl_->Hosts_[Host.Ip];
  TimePoint Now = Impl_->Runtime_.Now();
  bool Overtaken = Now - Entry.LastHeard <= MessageLife;
  if (Host.StartedAt < Entry.State.StartedAt && Overtaken)
    return false;
  Entry.State = Host;
  Entry.LastHeard = Now;
  Impl_->Contacts_.insert(Host.Ip);
  return true;
}

void HostRegistry::unreachable(const std::string &Ip) {
  auto Found = Impl_->Hosts_.find(Ip);
  if (Found != Impl_->Hosts_.end())
    Found->second.HeldOffUntil = Impl_->Runtime_.Now() + HoldOff;
}

std::vector<HostState> HostRegistry::alive() const {
  std::vector<HostState> Found;
  for (const auto &[Ip, Host] : Impl_->Hosts_)
    if (Impl_->isAlive(Host))
      Found.push_back(Host.State);
  return Found;
}

std::vector<HostState> HostRegistry::serving(const RegionId &Region) const {
  std::vector<HostState> Found;
  TimePoint Now = Impl_->Runtime_.Now();
  for (const auto &[Ip, Host] : Impl_->Hosts_)
    if (Impl_->isAlive(Host) && Host.HeldOffUntil <= Now &&
        Host.State.Region == Region && Host.State.Ready && !Host.State.Leaving)
      Found.push_back(Host.State);
  return Found;
}

std::size_t HostRegistry::aliveInRegion() const {
  std::size_t Count = 1;
  for (const auto &[Ip, Host] : Impl_->Hosts_)
    if (Host.State.Region == Impl_->Self_.Region && Impl_->isAlive(Host))
      ++Count;
  return Count;
}

std::size_t HostRegistry::knownHosts() const {
  TimePoint Now = Impl_->Runtime_.Now();
  auto Recent = std::count_if(
      Impl_->Hosts_.begin(), Impl_->Hosts_.end(), [&](const auto &Entry) {
        return Now - Entry.second.LastHeard <= Retention;
      });
  return 1 + static_cast<std::size_t>(Recent);
}

std::vector<std::string> HostRegistry::contacts(bool Silent) const {
  std::vector<std::string> Found;
  for (const std::string &Ip : Impl_->Contacts_) {
    auto Known = Impl_->Hosts_.find(Ip);
    bool Alive = Known != Impl_->Hosts_.end() && Impl_->isAlive(Known->second);
    if (Alive != Silent)
      Found.push_back(Ip);
  }
  return Found;
}

std::vector<std::string>
HostRegistry::entriesFor(const RegionId &Region,
                         const std::set<RegionId> &Homes) const {
  const HostState &Self = Impl_->Self_;
  std::vector<RegionId> Order = {Region, Self.Region};
  for (const HostState &Host : alive())
    Order.push_back(Host.Region);
  for (const RegionId &Where : Order) {
    if (Where != Region && !Homes.empty() && !Homes.contains(Where))
      continue;
    std::vector<std::string> Ips;
    if (Self.Region == Where && Self.Ready && !Self.Leaving)
      Ips.push_back(Self.Ip);
    for (const HostState &Host : serving(Where))
      Ips.push_back(Host.Ip);
    if (!Ips.empty())
      return Ips;
  }
  return {};
}

} // namespace celerybeam
