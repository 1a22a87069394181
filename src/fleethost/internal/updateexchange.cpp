#include "fleethost/internal/updateexchange.h"

#include <algorithm>
#include <utility>

#include "fleethost/internal/updatecodec.h"

namespace celerybeam::detail {

namespace {

bool isDue(TimePoint &Next, TimePoint Now, Duration Interval) {
  if (Now < Next)
    return false;
  Next = Now + Interval;
  return true;
}

std::set<std::string> ipsOf(const std::vector<HostState> &Hosts) {
  std::set<std::string> Ips;
  for (const HostState &Host : Hosts)
    Ips.insert(Host.Ip);
  return Ips;
}

} // namespace

UpdateExchange::UpdateExchange(Runtime R, ExchangeComponents Components,
                               Hooks H)
    : Runtime_(std::move(R)), Components_(Components), Hooks_(std::move(H)),
      RegionLoads_(Runtime_, Components_.Decisions.regions()) {}

UpdateExchange::Update UpdateExchange::updateOfSelf() const {
  Update Message;
  writeSelf(Components_.Hosts.self(), *Message.mutable_host());
  return Message;
}

void UpdateExchange::addConfirmation(const std::string &Ip,
                                     Update &Message) const {
  if (Components_.Confirmations == nullptr)
    return;
  Message.set_stamp_ms(stampMillis(Runtime_.Now()));
  if (auto Confirmation = Components_.Confirmations->confirmationFor(Ip))
    writeConfirmation(*Confirmation, *Message.mutable_confirmation());
}

void UpdateExchange::send(const std::string &Ip, Update Message) {
  addConfirmation(Ip, Message);
  Hooks_.Send(Ip, Message.SerializeAsString());
}

void UpdateExchange::sendNote(const std::string &Ip, PlacementId Id,
                              const PlacementNote &Note) {
  writeNote(Id, Note, Runtime_.Now(), *Outbox_[Ip].add_notes());
  flushNotesSoon(Ip);
}

void UpdateExchange::sendShare(const std::string &Ip, const ShareNote &Note) {
  writeShare(Note, *Outbox_[Ip].add_shares());
  flushNotesSoon(Ip);
}

void UpdateExchange::flushNotesSoon(const std::string &Ip) {
  Update &Message = Outbox_[Ip];
  if (Message.ByteSizeLong() >= NoteBatchBytes) {
    sendNotes(Ip, Message);
    Outbox_.erase(Ip);
  }
  if (std::exchange(FlushDue_, true))
    return;
  Runtime_.After(NoteBatchDelay, [this] { flushNotes(); });
}

void UpdateExchange::flushNotes() {
  FlushDue_ = false;
  for (auto &[Ip, Message] : std::exchange(Outbox_, {}))
    sendNotes(Ip, Message);
}

void UpdateExchange::sendNotes(const std::string &Ip, Update &Message) {
  writeSelf(Components_.Hosts.self(), *Message.mutable_host());
  send(Ip, Message);
}

bool UpdateExchange::isAggregator() const {
  const HostState &Self = Components_.Hosts.self();
  auto Aggregators = Components_.Hosts.delegates(Self.Region).Aggregators;
  return std::any_of(Aggregators.begin(), Aggregators.end(),
                     [&](const HostState &H) { return H.Ip == Self.Ip; });
}

bool UpdateExchange::isPlacer() const {
  const HostState &Self = Components_.Hosts.self();
  return ipsOf(Components_.Hosts.delegates(Self.Region).Placers)
      .contains(Self.Ip);
}

bool UpdateExchange::isWatcher() const {
  const HostState &Self = Components_.Hosts.self();
  auto Aggregators = Components_.Hosts.delegates(Self.Region).Aggregators;
  for (std::size_t I = 0; I < Aggregators.size() && I < WatchersPerRegion; ++I)
    if (Aggregators[I].Ip == Self.Ip)
      return true;
  return false;
}

std::set<std::string> UpdateExchange::regionIps() const {
  return ipsOf(Components_.Hosts.aliveInRegion());
}

std::set<std::string> UpdateExchange::remotePlacers() const {
  std::set<std::string> Ips;
  for (const RegionId &Region : Components_.Hosts.otherRegions())
    for (const HostState &Host : Components_.Hosts.delegates(Region).Placers)
      Ips.insert(Host.Ip);
  return Ips;
}

void UpdateExchange::sendToRegion() {
  const HostState &Self = Components_.Hosts.self();
  std::set<std::string> To =
      ipsOf(Components_.Hosts.delegates(Self.Region).Aggregators);
  // The region notices from an aggregator's silence that it is gone.
  if (isAggregator())
    To.merge(regionIps());
  std::set<std::string> Listed;
  for (const std::string &Ip : Components_.Placement.listRecipients())
    Listed.insert(Ip);
  To.insert(Listed.begin(), Listed.end());
  To.erase(Self.Ip);
  for (const std::string &Ip : To)
    if (Listed.contains(Ip))
      sendList(Ip);
    else
      send(Ip, updateOfSelf());
}

void UpdateExchange::sendList(const std::string &Ip) {
  std::vector<ListedPlacement> All = Components_.Placement.listFor(Ip);
  // Twice as many parts as needed, since ids are not spread exactly evenly.
  auto Parts = static_cast<std::uint32_t>(
      All.size() <= ListedPerDatagram ? 1 : 2 * All.size() / ListedPerDatagram);
  for (ListPart Part{0, Parts}; Part.Index < Parts; ++Part.Index) {
    Update Message = updateOfSelf();
    if (Part.Index == 0)
      addReports(Message);
    Message.set_has_list(true);
    Message.set_list_part(Part.Index);
    Message.set_list_parts(Parts);
    for (const ListedPlacement &P : All)
      if (Part.covers(P.Id))
        writeListed(P, *Message.add_listed());
    send(Ip, Message);
  }
}

void UpdateExchange::sendToOtherRegions() {
  const HostState &Self = Components_.Hosts.self();
  auto Placers = Components_.Hosts.delegates(Self.Region).Placers;
  if (!isPlacer())
    return;
  Update Message = updateOfSelf();
  Message.set_places(true);
  for (const PoolLoadSummary &Outlook : Components_.Decisions.outlook())
    writeOutlook(Outlook, *Message.add_outlook());
  std::set<std::string> To = remotePlacers();
  To.merge(recentRemoteSenders());
  for (const std::string &Ip : To)
    send(Ip, Message);
  if (Placers.front().Ip == Self.Ip)
    relayOutlooks();
}

std::set<std::string> UpdateExchange::recentRemoteSenders() {
  TimePoint Now = Runtime_.Now();
  std::erase_if(RemoteSenders_, [Now](const auto &Entry) {
    return Now - Entry.second > RemoteSenderMemory;
  });
  std::set<std::string> Ips;
  for (const auto &[Ip, At] : RemoteSenders_)
    Ips.insert(Ip);
  return Ips;
}

void UpdateExchange::relayOutlooks() {
  auto Delegates = Components_.Hosts.delegates(Components_.Hosts.self().Region);
  std::set<std::string> To = ipsOf(Delegates.Aggregators);
  for (const std::string &Placer : ipsOf(Delegates.Placers))
    To.erase(Placer);
  std::vector<RegionPoolLoad> Loads =
      Components_.Decisions.regions().combined();
  for (std::size_t At = 0; At < Loads.size();) {
    Update Message = updateOfSelf();
    std::size_t End = std::min(Loads.size(), At + OutlooksPerDatagram);
    for (; At < End; ++At) {
      auto *Item = Message.add_relayed();
      Item->set_region(Loads[At].Region.str());
      writeOutlook(Loads[At].Summary, *Item->mutable_outlook());
      Item->set_age_ms(static_cast<std::uint32_t>(
          Loads[At].Age / std::chrono::milliseconds(1)));
    }
    for (const std::string &Ip : To)
      send(Ip, Message);
  }
}

void UpdateExchange::sendGreetings() {
  Update Message = updateOfSelf();
  for (const std::string &Ip :
       Components_.Hosts.silentContacts(GreetingsPerInterval))
    send(Ip, Message);
}

void UpdateExchange::sendHosts(const std::set<std::string> &To,
                               const HostRegistry::Hosts &Of) {
  std::size_t At = 0;
  do {
    Update Message = updateOfSelf();
    for (std::size_t End = std::min(Of.size(), At + HostsPerDatagram); At < End;
         ++At)
      writeHost(Of[At],
                Components_.Hosts.silence(Of[At].Ip).value_or(Duration()),
                *Message.add_others());
    std::string Bytes = Message.SerializeAsString();
    for (const std::string &Ip : To)
      Hooks_.Send(Ip, Bytes);
  } while (At < Of.size());
}

void UpdateExchange::sendChangedHosts() {
  if (ChangedHosts_.empty())
    return;
  HostRegistry::Hosts Changed;
  for (const HostState &Host : Components_.Hosts.alive())
    if (ChangedHosts_.contains(Host.Ip))
      Changed.push_back(Host);
  ChangedHosts_.clear();
  if (isAggregator())
    sendHosts(regionIps(), Changed);
}

void UpdateExchange::sendCrashes() {
  const HostState &Self = Components_.Hosts.self();
  auto Delegates = Components_.Hosts.delegates(Self.Region);
  bool IsPlacer = ipsOf(Delegates.Placers).contains(Self.Ip);
  CrashNews News =
      Components_.Decisions.crashes().takeNews(isAggregator() || IsPlacer);
  if (News.isEmpty())
    return;
  std::set<std::string> To = ipsOf(Delegates.Aggregators);
  if (isAggregator()) {
    To.merge(regionIps());
    To.merge(remotePlacers());
  }
  To.erase(Self.Ip);
  sendCrashNews(To, News);
}

void UpdateExchange::sendCrashNews(const std::set<std::string> &To,
                                   const CrashNews &News) {
  std::size_t Datagrams = std::max(
      {(News.Crashes.size() + CrashesPerDatagram - 1) / CrashesPerDatagram,
       (News.Sound.size() + SuspectsPerDatagram - 1) / SuspectsPerDatagram,
       (News.Refused.size() + SuspectsPerDatagram - 1) / SuspectsPerDatagram});
  auto ForPart = [](const auto &All, std::size_t Part, std::size_t Most,
                    const auto &Write) {
    for (std::size_t I = Part * Most;
         I < std::min(All.size(), (Part + 1) * Most); ++I)
      Write(All[I]);
  };
  for (std::size_t Part = 0; Part < Datagrams; ++Part) {
    Update Message = updateOfSelf();
    ForPart(News.Crashes, Part, CrashesPerDatagram, [&](const auto &Report) {
      writeCrash(Report, *Message.add_crashes());
    });
    ForPart(News.Sound, Part, SuspectsPerDatagram, [&](const auto &Report) {
      writeSound(Report, *Message.add_sound());
    });
    ForPart(News.Refused, Part, SuspectsPerDatagram, [&](const auto &Report) {
      writeRefused(Report, *Message.add_refused());
    });
    for (const std::string &Ip : To)
      send(Ip, Message);
  }
}

void UpdateExchange::sendLeaving() {
  Update Message = updateOfSelf();
  std::set<std::string> To = regionIps();
  To.merge(remotePlacers());
  for (const std::string &Ip : To)
    send(Ip, Message);
}

void UpdateExchange::sendReport(const EndpointReport &Report) {
  TimePoint Now = Runtime_.Now();
  // A leaving endpoint reports it in each of its responses, so an equal report
  // is not sent again within RegionInterval.
  bool SentRecently =
      std::any_of(Reports_.begin(), Reports_.end(), [&](const auto &W) {
        return W.Report.Key == Report.Key &&
               W.Report.Leaving == Report.Leaving &&
               W.Report.BackOffFor == Report.BackOffFor &&
               Now - W.At < RegionInterval;
      });
  if (SentRecently)
    return;
  Reports_.push_back({Report, Now});
  if (Reports_.size() > MaxRepeatedReports)
    Reports_.pop_front();
  Update Message = updateOfSelf();
  writeReport(Report, *Message.add_words());
  const HostState &Self = Components_.Hosts.self();
  for (const HostState &Placer :
       Components_.Hosts.delegates(Self.Region).Placers)
    if (Placer.Ip != Self.Ip)
      send(Placer.Ip, Message);
}

void UpdateExchange::addReports(Update &Message) {
  TimePoint Now = Runtime_.Now();
  while (!Reports_.empty() && Now - Reports_.front().At > ReportRepeatTime)
    Reports_.pop_front();
  for (const ReceivedReport &Entry : Reports_) {
    EndpointReport Remaining = Entry.Report;
    Remaining.BackOffFor -= std::min(Remaining.BackOffFor, Now - Entry.At);
    writeReport(Remaining, *Message.add_words());
  }
}

std::set<RegionId> UpdateExchange::neededRegions() const {
  if (!isAggregator())
    return {};
  // A region that is cut off has no alive hosts, and its load is needed still.
  std::set<RegionId> Needed = Components_.Decisions.regions().regions();
  Needed.merge(Components_.Hosts.otherRegions());
  Needed.erase(Components_.Hosts.self().Region);
  return Needed;
}

void UpdateExchange::watchRegionLoads() {
  for (const RegionLoadChange &Change : RegionLoads_.update(neededRegions()))
    if (Hooks_.RegionLoadChanged)
      Hooks_.RegionLoadChanged(Change);
}

void UpdateExchange::tick() {
  TimePoint Now = Runtime_.Now();
  sendChangedHosts();
  sendCrashes();
  if (isDue(NextRegionUpdate_, Now, RegionInterval)) {
    sendToRegion();
    Components_.LocalPlacer.tick();
    watchRegionLoads();
  }
  // Other regions learn of a new placer at once, and it of their load.
  if (bool Places = isPlacer(); Places != std::exchange(WasPlacer_, Places))
    NextRemoteUpdate_ = Now;
  if (isDue(NextRemoteUpdate_, Now, RemoteInterval))
    sendToOtherRegions();
  if (isDue(NextGreeting_, Now, GreetingInterval))
    sendGreetings();
  if (!isWatcher())
    return;
  if (isDue(NextFullDigest_, Now, FullDigestInterval)) {
    NextRegionDigest_ = Now + RegionDigestInterval;
    sendHosts(regionIps(), Components_.Hosts.alive());
  } else if (isDue(NextRegionDigest_, Now, RegionDigestInterval)) {
    sendHosts(regionIps(), Components_.Hosts.aliveInRegion());
  }
  if (isDue(NextRemoteDigest_, Now, RemoteDigestInterval))
    sendHosts(remotePlacers(), Components_.Hosts.aliveInRegion());
}

void UpdateExchange::receive(std::string_view Bytes) {
  Update Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())) ||
      Message.host().ip().empty())
    return;
  HostState From = readHost(Message.host());
  bool Restarted = Components_.Hosts.startOf(From.Ip) != From.StartedAt;
  bool WasAlive = Components_.Hosts.isAlive(From.Ip);
  std::uint64_t Before = Components_.Hosts.generation();
  if (!Components_.Hosts.received(From))
    return;
  Hooks_.StateReceived(From);
  if (Components_.Hosts.generation() != Before)
    ChangedHosts_.insert(From.Ip);
  // A host that has just started gets the state of the others in this reply.
  if (!WasAlive)
    sendHosts({From.Ip}, Components_.Hosts.alive());
  // What its predecessor has seen counts on, and what it missed behind a cut.
  if (Restarted || !WasAlive)
    sendCrashNews({From.Ip}, Components_.Decisions.crashes().currentNews());
  for (const auto &Note : Message.notes())
    handleNote(From.Ip, Note);
  applyUpdate(From, Message);
}

void UpdateExchange::handleNote(const std::string &From,
                                const messages::PlacementNote &In) {
  auto Note = readNote(In, Runtime_.Now(), Components_.Fleet);
  PlacementId Id{In.id()};
  if (!Note)
    return;
  if (auto *Ask = std::get_if<PlacementAsk>(&*Note))
    Components_.LocalPlacer.ask(From, Id, std::move(*Ask));
  else if (const auto *Answer = std::get_if<PlacementAnswer>(&*Note))
    Components_.Placement.answered(From, Id, *Answer);
  else if (const auto *Output = std::get_if<FirstOutputReport>(&*Note))
    Components_.LocalPlacer.reportFirstOutput(Id, *Output);
  else
    Components_.LocalPlacer.end(Id, std::get<PlacementEnd>(*Note));
}

void UpdateExchange::applyUpdate(const HostState &From, const Update &Message) {
  if (Components_.Confirmations != nullptr) {
    if (Message.stamp_ms() > 0)
      Components_.Confirmations->recordStamp(From.Ip,
                                             stampOf(Message.stamp_ms()));
    if (Message.has_confirmation())
      Components_.Confirmations->received(
          readConfirmation(Message.confirmation()));
  }
  if (Components_.Limits != nullptr)
    for (const auto &Item : Message.shares())
      Components_.Limits->received(From.Ip, readShare(Item));
  for (const auto &Item : Message.others()) {
    HostState Other = readHost(Item);
    // Whether the host watches the store may be out of date by now.
    HostState Reported = Other;
    Reported.Watches = false;
    Hooks_.StateReceived(Reported);
    Components_.Hosts.hostReported(Other,
                                   std::chrono::milliseconds(Item.age_ms()));
  }
  const RegionId &OwnRegion = Components_.Hosts.self().Region;
  if (Message.places() && From.Region != OwnRegion) {
    if (!RemoteSenders_.contains(From.Ip))
      NextRemoteUpdate_ = Runtime_.Now();
    RemoteSenders_[From.Ip] = Runtime_.Now();
  }
  for (const auto &Item : Message.outlook())
    Components_.Decisions.regions().received(From.Region, From.Id,
                                             readOutlook(Item));
  if (From.Region == OwnRegion)
    for (const auto &Item : Message.relayed())
      Components_.Decisions.regions().receivedRelayed(
          {RegionId(Item.region()), readOutlook(Item.outlook()),
           std::chrono::milliseconds(Item.age_ms())});
  if (CrashNews News = readCrashNews(Message); !News.isEmpty())
    Components_.Decisions.crashes().received(News);
  for (const auto &Item : Message.words())
    Components_.Fleet.applyReport(readReport(Item));
  if (!Message.has_list())
    return;
  std::vector<ListedPlacement> Listed;
  for (const auto &Item : Message.listed())
    Listed.push_back(readListed(Item));
  ListPart Part{Message.list_part(),
                std::max<std::uint32_t>(1, Message.list_parts())};
  Components_.LocalPlacer.listed(From.Ip, Listed, Part);
}

} // namespace celerybeam::detail
