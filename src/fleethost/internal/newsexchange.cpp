#include "fleethost/internal/newsexchange.h"

#include <algorithm>
#include <utility>

#include "fleethost/internal/newscodec.h"

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

NewsExchange::NewsExchange(Runtime R, NewsParties Parties, Hooks H)
    : Runtime_(std::move(R)), Parties_(Parties), Hooks_(std::move(H)) {}

NewsExchange::News NewsExchange::newsOfSelf() const {
  News Message;
  writeHost(Parties_.Hosts.self(), {}, *Message.mutable_host());
  return Message;
}

void NewsExchange::send(const std::string &Ip, const News &Message) {
  Hooks_.Send(Ip, Message.SerializeAsString());
}

void NewsExchange::note(const std::string &Ip, PlacementId Id,
                        const PlacementNote &Note) {
  News &Message = Outbox_[Ip];
  writeNote(Id, Note, Runtime_.Now(), *Message.add_notes());
  if (Message.ByteSizeLong() >= NotesBytes) {
    sendNotes(Ip, Message);
    Outbox_.erase(Ip);
  }
  if (std::exchange(FlushDue_, true))
    return;
  Runtime_.After(NotesTogether, [this] { flushNotes(); });
}

void NewsExchange::flushNotes() {
  FlushDue_ = false;
  for (auto &[Ip, Message] : std::exchange(Outbox_, {}))
    sendNotes(Ip, Message);
}

void NewsExchange::sendNotes(const std::string &Ip, News &Message) {
  writeHost(Parties_.Hosts.self(), {}, *Message.mutable_host());
  send(Ip, Message);
}

bool NewsExchange::isMessenger() const {
  const HostState &Self = Parties_.Hosts.self();
  auto Messengers = Parties_.Hosts.delegates(Self.Region).Messengers;
  return std::any_of(Messengers.begin(), Messengers.end(),
                     [&](const HostState &H) { return H.Ip == Self.Ip; });
}

bool NewsExchange::isWatcher() const {
  const HostState &Self = Parties_.Hosts.self();
  auto Messengers = Parties_.Hosts.delegates(Self.Region).Messengers;
  for (std::size_t I = 0; I < Messengers.size() && I < WatchersPerRegion; ++I)
    if (Messengers[I].Ip == Self.Ip)
      return true;
  return false;
}

std::set<std::string> NewsExchange::regionIps() const {
  return ipsOf(Parties_.Hosts.aliveInRegion());
}

std::set<std::string> NewsExchange::farPlacers() const {
  std::set<std::string> Ips;
  for (const RegionId &Region : Parties_.Hosts.otherRegions())
    for (const HostState &Host : Parties_.Hosts.delegates(Region).Placers)
      Ips.insert(Host.Ip);
  return Ips;
}

void NewsExchange::tellNear() {
  const HostState &Self = Parties_.Hosts.self();
  std::set<std::string> To =
      ipsOf(Parties_.Hosts.delegates(Self.Region).Messengers);
  // A messenger's silence tells the region that it is gone.
  if (isMessenger())
    To.merge(regionIps());
  std::set<std::string> Listed;
  for (const std::string &Ip : Parties_.Placement.listTo())
    Listed.insert(Ip);
  To.insert(Listed.begin(), Listed.end());
  To.erase(Self.Ip);
  for (const std::string &Ip : To)
    if (Listed.contains(Ip))
      sendList(Ip);
    else
      send(Ip, newsOfSelf());
}

void NewsExchange::sendList(const std::string &Ip) {
  std::vector<ListedPlacement> All = Parties_.Placement.listFor(Ip);
  // Ids are evenly spread, but not exactly.
  auto Parts = static_cast<std::uint32_t>(
      All.size() <= ListedTogether ? 1 : 2 * All.size() / ListedTogether);
  for (ListPart Part{0, Parts}; Part.Index < Parts; ++Part.Index) {
    News Message = newsOfSelf();
    if (Part.Index == 0)
      addWords(Message);
    Message.set_has_list(true);
    Message.set_list_part(Part.Index);
    Message.set_list_parts(Parts);
    for (const ListedPlacement &P : All)
      if (Part.covers(P.Id))
        writeListed(P, *Message.add_listed());
    send(Ip, Message);
  }
}

void NewsExchange::tellFar() {
  const HostState &Self = Parties_.Hosts.self();
  auto Placers = Parties_.Hosts.delegates(Self.Region).Placers;
  if (!ipsOf(Placers).contains(Self.Ip))
    return;
  News Message = newsOfSelf();
  for (const PoolOutlook &Outlook : Parties_.Decisions.outlook()) {
    auto *Told = Message.add_outlook();
    Told->set_pool(Outlook.Pool);
    Told->set_wait_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Outlook.Wait)
            .count()));
    Told->set_endpoints(Outlook.Endpoints);
    Told->set_places(Outlook.Places);
    Told->set_free_places(Outlook.FreePlaces);
    Told->set_late_wait_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Outlook.LateWait)
            .count()));
  }
  for (const std::string &Ip : farPlacers())
    send(Ip, Message);
}

void NewsExchange::greet() {
  News Message = newsOfSelf();
  for (const std::string &Ip : Parties_.Hosts.silentContacts(GreetingsAtATime))
    send(Ip, Message);
}

void NewsExchange::tellOthers(const std::set<std::string> &To,
                              const HostRegistry::Hosts &Of) {
  std::size_t At = 0;
  do {
    News Message = newsOfSelf();
    for (std::size_t End = std::min(Of.size(), At + HostsTogether); At < End;
         ++At)
      writeHost(Of[At], Parties_.Hosts.silence(Of[At].Ip).value_or(Duration()),
                *Message.add_others());
    std::string Bytes = Message.SerializeAsString();
    for (const std::string &Ip : To)
      Hooks_.Send(Ip, Bytes);
  } while (At < Of.size());
}

void NewsExchange::tellChanges() {
  if (Changed_.empty())
    return;
  HostRegistry::Hosts Changed;
  for (const HostState &Host : Parties_.Hosts.alive())
    if (Changed_.contains(Host.Ip))
      Changed.push_back(Host);
  Changed_.clear();
  if (isMessenger())
    tellOthers(regionIps(), Changed);
}

void NewsExchange::tellCrashes() {
  auto Reports = Parties_.Decisions.crashes().takeReports();
  if (Reports.empty())
    return;
  News Message = newsOfSelf();
  for (const CrashReport &Report : Reports) {
    auto *Told = Message.add_crashes();
    Told->set_fingerprint(Report.Fingerprint);
    Told->set_event(Report.Event);
  }
  const RegionId &Here = Parties_.Hosts.self().Region;
  std::set<std::string> To = ipsOf(Parties_.Hosts.delegates(Here).Messengers);
  if (isMessenger()) {
    To.merge(regionIps());
    To.merge(farPlacers());
  }
  To.erase(Parties_.Hosts.self().Ip);
  for (const std::string &Ip : To)
    send(Ip, Message);
}

void NewsExchange::tellLeaving() {
  News Message = newsOfSelf();
  std::set<std::string> To = regionIps();
  To.merge(farPlacers());
  for (const std::string &Ip : To)
    send(Ip, Message);
}

void NewsExchange::tellWord(const EndpointWord &Word) {
  TimePoint Now = Runtime_.Now();
  // A leaving endpoint says so in each of its answers.
  bool Told = std::any_of(Words_.begin(), Words_.end(), [&](const auto &W) {
    return W.Word.Key == Word.Key && W.Word.Leaving == Word.Leaving &&
           W.Word.RestFor == Word.RestFor && Now - W.At < NearInterval;
  });
  if (Told)
    return;
  Words_.push_back({Word, Now});
  if (Words_.size() > MostWords)
    Words_.pop_front();
  News Message = newsOfSelf();
  writeWord(Word, *Message.add_words());
  const HostState &Self = Parties_.Hosts.self();
  for (const HostState &Placer : Parties_.Hosts.delegates(Self.Region).Placers)
    if (Placer.Ip != Self.Ip)
      send(Placer.Ip, Message);
}

void NewsExchange::addWords(News &Message) {
  TimePoint Now = Runtime_.Now();
  while (!Words_.empty() && Now - Words_.front().At > WordRepeats)
    Words_.pop_front();
  for (const HeardWord &Heard : Words_) {
    EndpointWord Left = Heard.Word;
    Left.RestFor -= std::min(Left.RestFor, Now - Heard.At);
    writeWord(Left, *Message.add_words());
  }
}

void NewsExchange::tick() {
  TimePoint Now = Runtime_.Now();
  tellChanges();
  tellCrashes();
  if (isDue(NextNear_, Now, NearInterval)) {
    tellNear();
    Parties_.Desk.tick();
  }
  if (isDue(NextFar_, Now, FarInterval))
    tellFar();
  if (isDue(NextGreeting_, Now, GreetingInterval))
    greet();
  if (!isWatcher())
    return;
  if (isDue(NextWholeDigest_, Now, WholeDigest)) {
    NextRegionDigest_ = Now + RegionDigest;
    tellOthers(regionIps(), Parties_.Hosts.alive());
  } else if (isDue(NextRegionDigest_, Now, RegionDigest)) {
    tellOthers(regionIps(), Parties_.Hosts.aliveInRegion());
  }
  if (isDue(NextFarDigest_, Now, FarDigest))
    tellOthers(farPlacers(), Parties_.Hosts.aliveInRegion());
}

void NewsExchange::receive(std::string_view Bytes) {
  News Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())) ||
      Message.host().ip().empty())
    return;
  HostState From = readHost(Message.host());
  bool WasAlive = Parties_.Hosts.isAlive(From.Ip);
  std::uint64_t Before = Parties_.Hosts.generation();
  if (!Parties_.Hosts.heard(From))
    return;
  Hooks_.HeardOf(From);
  if (Parties_.Hosts.generation() != Before)
    Changed_.insert(From.Ip);
  // A host that has just started learns of the others from the answer.
  if (!WasAlive)
    tellOthers({From.Ip}, Parties_.Hosts.alive());
  for (const auto &Note : Message.notes())
    takeNote(From.Ip, Note);
  takeRest(From, Message);
}

void NewsExchange::takeNote(const std::string &From,
                            const messages::PlacementNote &In) {
  auto Note = readNote(In, Runtime_.Now(), Parties_.Fleet);
  PlacementId Id{In.id()};
  if (!Note)
    return;
  if (auto *Ask = std::get_if<PlacementAsk>(&*Note))
    Parties_.Desk.ask(From, Id, std::move(*Ask));
  else if (const auto *Answer = std::get_if<PlacementAnswer>(&*Note))
    Parties_.Placement.answered(From, Id, *Answer);
  else if (const auto *Output = std::get_if<OutputCame>(&*Note))
    Parties_.Desk.outputCame(Id, *Output);
  else
    Parties_.Desk.end(Id, std::get<PlacementEnd>(*Note));
}

void NewsExchange::takeRest(const HostState &From, const News &Message) {
  for (const auto &Told : Message.others()) {
    HostState Other = readHost(Told);
    // That it watched is old news by now.
    HostState Heard = Other;
    Heard.Watches = false;
    Hooks_.HeardOf(Heard);
    Parties_.Hosts.toldOf(Other, std::chrono::milliseconds(Told.age_ms()));
  }
  for (const auto &Told : Message.outlook())
    Parties_.Decisions.regions().heard(
        From.Region, From.Id,
        {Told.pool(), std::chrono::milliseconds(Told.wait_ms()),
         Told.endpoints(), Told.places(), Told.free_places(),
         std::chrono::milliseconds(Told.late_wait_ms())});
  for (const auto &Told : Message.crashes())
    Parties_.Decisions.crashes().peerSaw({Told.fingerprint(), Told.event()});
  for (const auto &Told : Message.words())
    Parties_.Fleet.hear(readWord(Told));
  if (!Message.has_list())
    return;
  std::vector<ListedPlacement> Listed;
  for (const auto &Told : Message.listed())
    Listed.push_back(readListed(Told));
  ListPart Part{Message.list_part(),
                std::max<std::uint32_t>(1, Message.list_parts())};
  Parties_.Desk.listed(From.Ip, Listed, Part);
}

} // namespace celerybeam::detail
