#include "fleet/hostregistry.h"

#include <algorithm>
#include <cmath>

namespace celerybeam {

namespace {

/// The lists are rebuilt after this time, since no message announces that a
/// host has fallen silent.
constexpr Duration ListsLifetime = std::chrono::milliseconds(100);
/// When another host's report about a host is newer than the last known update
/// by more than this, the host does not send messages to this one directly.
constexpr Duration DirectUpdateInterval = std::chrono::milliseconds(400);
constexpr double RandomScale = 1.0 / 18446744073709551616.0;

/// The last known state of another host.
struct KnownHost {
  HostState State;
  TimePoint LastUpdate{};
  /// Last update in which it was ready and not leaving.
  std::optional<TimePoint> LastServing;
  TimePoint HeldOffUntil{};
  bool ReceivedDirectly = false;
};

/// Whether the change of state affects the decisions of other hosts.
bool differForOthers(const HostState &A, const HostState &B) {
  return A.StartedAt != B.StartedAt || A.Ready != B.Ready ||
         A.Leaving != B.Leaving || A.MilliCores != B.MilliCores ||
         A.Zone != B.Zone || A.TablesStale != B.TablesStale;
}

} // namespace

class HostRegistry::Impl {
public:
  Impl(Runtime R, HostState Self, std::set<RegionId> Regions)
      : Runtime_(std::move(R)), Self_(std::move(Self)),
        StartedAt_(Runtime_.Now()), SilentRegions_(std::move(Regions)) {
    SilentRegions_.erase(Self_.Region);
    noteSizeKnown();
  }

  void noteSizeKnown() {
    if (!SizeKnownSince_ && SilentRegions_.empty())
      SizeKnownSince_ = Runtime_.Now();
  }

  void noteRegion(const RegionId &Region) {
    SilentRegions_.erase(Region);
    noteSizeKnown();
  }

  /// Takes over the number of hosts that another host knows.
  void noteToldSize(const HostState &Host) {
    if (Host.FleetHosts == 0 || Host.FleetHostsAge > Retention)
      return;
    TimePoint CountedAt = Runtime_.Now() - Host.FleetHostsAge;
    if (Host.FleetHosts > toldHosts()) {
      ToldHosts_ = Host.FleetHosts;
      ToldCountedAt_ = CountedAt;
    } else if (Host.FleetHosts == ToldHosts_) {
      ToldCountedAt_ = std::max(ToldCountedAt_, CountedAt);
    }
    SilentRegions_.clear();
    noteSizeKnown();
  }

  std::size_t countHosts() const {
    TimePoint Now = Runtime_.Now();
    auto Recent =
        std::count_if(Hosts_.begin(), Hosts_.end(), [&](const auto &Entry) {
          return Now - Entry.second.LastUpdate <= Retention;
        });
    return 1 + static_cast<std::size_t>(Recent);
  }

  /// The number that another host knows; 0 when there is none.
  std::size_t toldHosts() const {
    return Runtime_.Now() - ToldCountedAt_ <= Retention ? ToldHosts_ : 0;
  }

  FleetSize size() const {
    return {std::max(countHosts(), toldHosts()), SizeKnownSince_};
  }

  void updateOwnSize() {
    std::size_t Counted = countHosts();
    std::size_t Told = toldHosts();
    Self_.FleetHosts = SizeKnownSince_
                           ? static_cast<std::uint32_t>(std::max(Counted, Told))
                           : 0;
    Self_.FleetHostsAge =
        Told > Counted ? Runtime_.Now() - ToldCountedAt_ : Duration::zero();
  }

  static bool isServing(const HostState &Host) {
    return Host.Ready && !Host.Leaving;
  }

  static void update(KnownHost &Host, const HostState &State, TimePoint At) {
    Host.State = State;
    Host.LastUpdate = At;
    if (isServing(State))
      Host.LastServing = At;
  }

  Duration longestSilence(const KnownHost &Host) const {
    bool InOwnRegion = Host.State.Region == Self_.Region;
    if (Host.ReceivedDirectly)
      return InOwnRegion ? RegionSilence : RemoteSilence;
    return InOwnRegion ? ReportedSilence : RemoteReportedSilence;
  }

  bool isAlive(const KnownHost &Host) const {
    return Runtime_.Now() - Host.LastUpdate <= longestSilence(Host);
  }

  void stateChanged() {
    ++Generation_;
    ListsBuiltAt_.reset();
  }

  void refresh() {
    TimePoint Now = Runtime_.Now();
    if (ListsBuiltAt_ && Now - *ListsBuiltAt_ < ListsLifetime)
      return;
    ListsBuiltAt_ = Now;
    std::size_t Before = Alive_.size();
    Alive_.clear();
    AliveInRegion_.clear();
    OtherRegions_.clear();
    Delegates_.clear();
    std::map<RegionId, Hosts> ByRegion;
    ByRegion[Self_.Region].push_back(Self_);
    for (const auto &[Ip, Host] : Hosts_) {
      if (!isAlive(Host))
        continue;
      Alive_.push_back(Host.State);
      ByRegion[Host.State.Region].push_back(Host.State);
      if (Host.State.Region == Self_.Region)
        AliveInRegion_.push_back(Host.State);
      else
        OtherRegions_.insert(Host.State.Region);
    }
    if (Before != Alive_.size())
      ++Generation_;
    for (auto &[Region, In] : ByRegion)
      Delegates_[Region] = chooseDelegates(std::move(In));
  }

  bool serves(const HostState &Host) const {
    auto Found = Hosts_.find(Host.Ip);
    return isServing(Host) && Found != Hosts_.end() &&
           Found->second.HeldOffUntil <= Runtime_.Now();
  }

  double random() const {
    return (static_cast<double>(Runtime_.Random()) + 1) * RandomScale;
  }

  /// Keeps a sample of the hosts, each with a probability in proportion to its
  /// size, since callers use all named hosts equally. The sample's size is the
  /// total size divided by the largest host's. Systematic sampling over a
  /// random order.
  void sampleBySize(Hosts &From) const {
    double Sum = 0;
    double Largest = 1;
    for (const HostState &Host : From) {
      Sum += Host.MilliCores;
      Largest = std::max<double>(Largest, Host.MilliCores);
    }
    double Count = Sum / Largest;
    if (Count > static_cast<double>(From.size()) - 1)
      return;
    for (std::size_t I = From.size(); I > 1; --I)
      std::swap(From[I - 1], From[Runtime_.Random() % I]);
    Hosts Sampled;
    double At = random();
    for (HostState &Host : From) {
      At += Host.MilliCores * Count / Sum;
      if (At < 1)
        continue;
      At -= std::floor(At);
      Sampled.push_back(std::move(Host));
    }
    From = std::move(Sampled);
  }

  Runtime Runtime_;
  HostState Self_;
  TimePoint StartedAt_;
  /// Regions without an update so far; empty once the fleet's size is known.
  std::set<RegionId> SilentRegions_;
  std::optional<TimePoint> SizeKnownSince_;
  /// The number of hosts that another host knows, and when it was counted.
  std::size_t ToldHosts_ = 0;
  TimePoint ToldCountedAt_{};
  /// Last time at which this host stopped serving.
  std::optional<TimePoint> SelfServedUntil_;
  /// By IP address: a host that is replaced may keep its name.
  std::map<std::string, KnownHost> Hosts_;
  std::set<std::string> Contacts_;
  std::uint64_t Generation_ = 0;
  std::optional<TimePoint> ListsBuiltAt_;
  Hosts Alive_;
  Hosts AliveInRegion_;
  std::set<RegionId> OtherRegions_;
  std::map<RegionId, RegionDelegates> Delegates_;
};

HostRegistry::HostRegistry(Runtime R, HostState Self,
                           std::set<RegionId> Regions)
    : Impl_(std::make_unique<Impl>(std::move(R), std::move(Self),
                                   std::move(Regions))) {}
HostRegistry::~HostRegistry() = default;

const HostState &HostRegistry::self() const { return Impl_->Self_; }

void HostRegistry::setSelf(const HostState &Self) {
  bool Changed = differForOthers(Impl_->Self_, Self);
  if (Impl::isServing(Impl_->Self_))
    Impl_->SelfServedUntil_ = Impl_->Runtime_.Now();
  Impl_->Self_ = Self;
  Impl_->updateOwnSize();
  if (Changed)
    Impl_->stateChanged();
}

void HostRegistry::addContact(const std::string &Ip) {
  if (Ip != Impl_->Self_.Ip && !Ip.empty())
    Impl_->Contacts_.insert(Ip);
}

bool HostRegistry::received(const HostState &Host) {
  if (Host.Ip == Impl_->Self_.Ip)
    return false;
  auto [It, New] = Impl_->Hosts_.try_emplace(Host.Ip);
  KnownHost &Entry = It->second;
  TimePoint Now = Impl_->Runtime_.Now();
  bool Overtaken = Now - Entry.LastUpdate <= MaxMessageDelay;
  if (!New && Host.StartedAt < Entry.State.StartedAt && Overtaken)
    return false;
  bool Changed =
      New || differForOthers(Entry.State, Host) || !Impl_->isAlive(Entry);
  Impl::update(Entry, Host, Now);
  Impl_->noteRegion(Host.Region);
  Impl_->noteToldSize(Host);
  Entry.ReceivedDirectly = true;
  if (Changed)
    Impl_->stateChanged();
  Impl_->Contacts_.insert(Host.Ip);
  return true;
}

bool HostRegistry::hostReported(const HostState &Host, Duration Age) {
  if (Host.Ip == Impl_->Self_.Ip)
    return false;
  TimePoint UpdatedAt = Impl_->Runtime_.Now() - Age;
  auto [It, New] = Impl_->Hosts_.try_emplace(Host.Ip);
  KnownHost &Entry = It->second;
  bool WasAlive = !New && Impl_->isAlive(Entry);
  if (!New && UpdatedAt <= Entry.LastUpdate)
    return false;
  bool Changed = New || differForOthers(Entry.State, Host) || !WasAlive;
  if (UpdatedAt - Entry.LastUpdate > DirectUpdateInterval)
    Entry.ReceivedDirectly = false;
  Impl::update(Entry, Host, UpdatedAt);
  Impl_->noteRegion(Host.Region);
  Impl_->Contacts_.insert(Host.Ip);
  if (Changed)
    Impl_->stateChanged();
  return Changed;
}

void HostRegistry::unreachable(const std::string &Ip) {
  auto Found = Impl_->Hosts_.find(Ip);
  if (Found != Impl_->Hosts_.end())
    Found->second.HeldOffUntil = Impl_->Runtime_.Now() + HoldOff;
}

HostRegistry::Hosts HostRegistry::alive() const {
  Impl_->refresh();
  return Impl_->Alive_;
}

HostRegistry::Hosts HostRegistry::aliveInRegion() const {
  Impl_->refresh();
  return Impl_->AliveInRegion_;
}

std::set<RegionId> HostRegistry::otherRegions() const {
  Impl_->refresh();
  return Impl_->OtherRegions_;
}

RegionDelegates HostRegistry::delegates(const RegionId &Region) const {
  Impl_->refresh();
  auto Found = Impl_->Delegates_.find(Region);
  return Found == Impl_->Delegates_.end() ? RegionDelegates() : Found->second;
}

HostRegistry::Hosts HostRegistry::serving(const RegionId &Region) const {
  Impl_->refresh();
  Hosts Found;
  for (const HostState &Host : Impl_->Alive_)
    if (Host.Region == Region && Impl_->serves(Host))
      Found.push_back(Host);
  return Found;
}

std::optional<HostState>
HostRegistry::drawServing(const RegionId &Region) const {
  Impl_->refresh();
  std::vector<const HostState *> From;
  for (const HostState &Host : Impl_->Alive_)
    if (Host.Region == Region && Impl_->serves(Host))
      From.push_back(&Host);
  auto IsStale = [](const HostState *Host) { return Host->TablesStale; };
  if (!std::all_of(From.begin(), From.end(), IsStale))
    std::erase_if(From, IsStale);
  double Sum = 0;
  for (const HostState *Host : From)
    Sum += Host->MilliCores;
  double At = Impl_->random() * Sum;
  for (const HostState *Host : From) {
    At -= Host->MilliCores;
    if (At <= 0)
      return *Host;
  }
  return From.empty() ? std::nullopt : std::optional(*From.back());
}

std::optional<HostState> HostRegistry::stateOf(const std::string &Ip) const {
  auto Found = Impl_->Hosts_.find(Ip);
  return Found == Impl_->Hosts_.end() ? std::nullopt
                                      : std::optional(Found->second.State);
}

std::int64_t HostRegistry::startOf(const std::string &Ip) const {
  auto Found = Impl_->Hosts_.find(Ip);
  return Found == Impl_->Hosts_.end() ? 0 : Found->second.State.StartedAt;
}

bool HostRegistry::isAlive(const std::string &Ip) const {
  auto Found = Impl_->Hosts_.find(Ip);
  return Found != Impl_->Hosts_.end() && Impl_->isAlive(Found->second);
}

std::optional<Duration> HostRegistry::silence(const std::string &Ip) const {
  auto Found = Impl_->Hosts_.find(Ip);
  if (Found == Impl_->Hosts_.end())
    return std::nullopt;
  return Impl_->Runtime_.Now() - Found->second.LastUpdate;
}

std::uint64_t HostRegistry::generation() const {
  Impl_->refresh();
  return Impl_->Generation_;
}

FleetSize HostRegistry::fleetSize() const { return Impl_->size(); }

std::vector<std::string> HostRegistry::silentContacts(std::size_t Max) const {
  std::vector<std::string> Found;
  for (const std::string &Ip : Impl_->Contacts_)
    if (!isAlive(Ip))
      Found.push_back(Ip);
  while (Found.size() > Max) {
    std::swap(Found[Impl_->Runtime_.Random() % Found.size()], Found.back());
    Found.pop_back();
  }
  return Found;
}

bool HostRegistry::isInContactWithMost(Duration Within) const {
  std::size_t Known = 1;
  std::size_t Alive = 1;
  for (const auto &[Ip, Host] : Impl_->Hosts_) {
    if (Host.State.Region != Impl_->Self_.Region ||
        Impl_->Runtime_.Now() - Host.LastUpdate > Within)
      continue;
    ++Known;
    Alive += Impl_->isAlive(Host) ? 1 : 0;
  }
  return 2 * Alive > Known;
}

bool HostRegistry::allInContact(Duration Within) const {
  TimePoint Now = Impl_->Runtime_.Now();
  std::map<RegionId, Duration> LatestMessage;
  for (const auto &[Ip, Host] : Impl_->Hosts_) {
    Duration Age = Now - Host.LastUpdate;
    if (Age > Within)
      continue;
    if (!Impl_->isAlive(Host))
      return false;
    Duration &Latest =
        LatestMessage.try_emplace(Host.State.Region, Duration::max())
            .first->second;
    if (Host.ReceivedDirectly)
      Latest = std::min(Latest, Age);
  }
  LatestMessage.erase(Impl_->Self_.Region);
  return std::all_of(
      LatestMessage.begin(), LatestMessage.end(),
      [](const auto &Entry) { return Entry.second <= RegionSilence; });
}

std::vector<std::string> HostRegistry::entriesIn(const RegionId &Region) const {
  const HostState &Self = Impl_->Self_;
  Hosts Found = serving(Region);
  std::erase_if(Found, [this](const HostState &Host) {
    return silence(Host.Ip).value_or(Duration::max()) > MaxEntrySilence;
  });
  if (Self.Region == Region && Impl::isServing(Self))
    Found.insert(Found.begin(), Self);
  // Hosts that refuse requests for their tables, or soon will, are named only
  // if all would.
  auto IsStale = [](const HostState &Host) { return Host.TablesStale; };
  if (!std::all_of(Found.begin(), Found.end(), IsStale))
    std::erase_if(Found, IsStale);
  Impl_->sampleBySize(Found);
  std::vector<std::string> Ips;
  for (const HostState &Host : Found)
    Ips.push_back(Host.Ip);
  return Ips;
}

Duration HostRegistry::sinceServing(const RegionId &Region) const {
  TimePoint Now = Impl_->Runtime_.Now();
  TimePoint Last = Impl_->StartedAt_;
  if (Region == Impl_->Self_.Region) {
    if (Impl::isServing(Impl_->Self_))
      return Duration::zero();
    Last = std::max(Last, Impl_->SelfServedUntil_.value_or(Last));
  }
  for (const auto &[Ip, Host] : Impl_->Hosts_)
    if (Host.State.Region == Region && Host.LastServing)
      Last = std::max(Last, *Host.LastServing);
  return Now - Last;
}

} // namespace celerybeam
