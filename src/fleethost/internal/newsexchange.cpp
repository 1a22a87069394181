#include "fleethost/internal/newsexchange.h"

#include <array>

#include <arpa/inet.h>

#include "messages/fleetnews.pb.h"

namespace celerybeam::detail {

namespace {

using messages::FleetNews;

void writeHost(const HostState &Self, FleetNews &News) {
  auto *Host = News.mutable_host();
  Host->set_id(Self.Id.str());
  Host->set_ip(Self.Ip);
  Host->set_zone(Self.Zone.str());
  Host->set_region(Self.Region.str());
  Host->set_started_at(Self.StartedAt);
  Host->set_ready(Self.Ready);
  Host->set_leaving(Self.Leaving);
  Host->set_operator_revision(Self.OperatorRevision);
  Host->set_endpoint_revision(Self.EndpointRevision);
}

HostState readHost(const messages::HostNews &News) {
  HostState Host;
  Host.Id = HostId(News.id());
  Host.Ip = News.ip();
  Host.Zone = ZoneId(News.zone());
  Host.Region = RegionId(News.region());
  Host.StartedAt = News.started_at();
  Host.Ready = News.ready();
  Host.Leaving = News.leaving();
  Host.OperatorRevision = News.operator_revision();
  Host.EndpointRevision = News.endpoint_revision();
  return Host;
}

/// An IPv4 number in network order; 0 when the text is none.
std::uint32_t packIp(const std::string &Text) {
  in_addr Packed{};
  return ::inet_pton(AF_INET, Text.c_str(), &Packed) == 1 ? Packed.s_addr : 0;
}

std::string unpackIp(std::uint32_t Packed) {
  std::array<char, INET_ADDRSTRLEN> Text{};
  in_addr Number{Packed};
  ::inet_ntop(AF_INET, &Number, Text.data(), Text.size());
  return Text.data();
}

} // namespace

NewsExchange::NewsExchange(Runtime R, HostRegistry &Hosts,
                           Dispatcher &Decisions, Hooks H)
    : Runtime_(std::move(R)), Hosts_(Hosts), Decisions_(Decisions),
      Hooks_(std::move(H)) {}

std::string NewsExchange::nearNews() {
  FleetNews News;
  writeHost(Hosts_.self(), News);
  for (const EndpointLoad &Load : Decisions_.loads().own()) {
    auto *Work = News.add_work();
    Work->set_endpoint(Load.Endpoint.Value);
    Work->set_in_flight(Load.InFlight);
    Work->set_urgent_prefill(Load.UrgentPrefill);
    Work->set_all_prefill(Load.AllPrefill);
    Work->set_memory_tokens(Load.MemoryTokens);
  }
  for (const auto &Prompt : Decisions_.takeSentPrompts()) {
    auto *Sent = News.add_sent();
    Sent->set_endpoint(Prompt.Endpoint.Value);
    Sent->set_read_tokens(Prompt.ReadTokens);
    for (const PrefixLevel &Level : Prompt.Levels)
      Sent->add_levels(Level.Hash);
  }
  for (const auto &[Pool, Queued] : Decisions_.held().allQueued()) {
    auto *Told = News.add_queued();
    Told->set_pool(poolHash(Pool));
    Told->set_urgent(Queued.Urgent);
    Told->set_all(Queued.All);
  }
  for (std::uint64_t Fingerprint : Decisions_.crashes().takeReports())
    News.add_crashed(Fingerprint);
  for (const std::string &Ip : Hosts_.contacts(false))
    News.add_contacts(packIp(Ip));
  return News.SerializeAsString();
}

std::string NewsExchange::farNews() const {
  FleetNews News;
  writeHost(Hosts_.self(), News);
  for (const PoolOutlook &Outlook : Decisions_.outlook()) {
    auto *Told = News.add_outlook();
    Told->set_pool(Outlook.Pool);
    Told->set_wait_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Outlook.Wait)
            .count()));
    Told->set_endpoints(Outlook.Endpoints);
  }
  return News.SerializeAsString();
}

void NewsExchange::sendNear() {
  std::string Bytes = nearNews();
  for (const HostState &Host : Hosts_.alive())
    if (Host.Region == Hosts_.self().Region)
      Hooks_.Send(Host.Ip, Bytes);
}

void NewsExchange::sendFar() {
  std::string Bytes = farNews();
  for (const HostState &Host : Hosts_.alive())
    if (Host.Region != Hosts_.self().Region)
      Hooks_.Send(Host.Ip, Bytes);
}

void NewsExchange::sendSilent() {
  FleetNews News;
  writeHost(Hosts_.self(), News);
  std::string Bytes = News.SerializeAsString();
  for (const std::string &Ip : Hosts_.contacts(true))
    Hooks_.Send(Ip, Bytes);
}

void NewsExchange::tellAll() {
  sendNear();
  sendFar();
}

void NewsExchange::loadChanged() {
  if (NearDue_)
    return;
  NearDue_ = true;
  Runtime_.After(LeastInterval, [this] {
    NearDue_ = false;
    NextNear_ = Runtime_.Now() + RegionInterval;
    sendNear();
  });
}

void NewsExchange::tick() {
  TimePoint Now = Runtime_.Now();
  if (Now >= NextNear_) {
    sendNear();
    NextNear_ = Now + RegionInterval;
  }
  if (Now >= NextFar_) {
    sendFar();
    NextFar_ = Now + FarInterval;
  }
  if (Now >= NextSilent_) {
    sendSilent();
    NextSilent_ = Now + SilentInterval;
  }
}

void NewsExchange::receive(std::string_view Bytes) {
  FleetNews News;
  if (!News.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())) ||
      News.host().ip().empty())
    return;
  HostState Host = readHost(News.host());
  bool KnewIt = false;
  for (const HostState &Known : Hosts_.alive())
    KnewIt = KnewIt || Known.Ip == Host.Ip;
  if (!Hosts_.heard(Host))
    return;
  // An answer at once, so that a host that has just started is known soon.
  if (!KnewIt)
    NextSilent_ = NextNear_ = NextFar_ = Runtime_.Now();
  Hooks_.HeardOf(Host.OperatorRevision, Host.EndpointRevision);
  for (std::uint32_t Contact : News.contacts())
    if (Contact != 0)
      Hosts_.addContact(unpackIp(Contact));
  for (std::uint64_t Fingerprint : News.crashed())
    Decisions_.crashes().peerSaw(Fingerprint);
  for (const auto &Told : News.outlook())
    Decisions_.regions().heard(
        Host.Region, {Told.pool(), std::chrono::milliseconds(Told.wait_ms()),
                      Told.endpoints()});
  if (Host.Region != Hosts_.self().Region)
    return;
  std::vector<EndpointLoad> Loads;
  for (const auto &Work : News.work())
    Loads.push_back({EndpointKey{Work.endpoint()}, Work.in_flight(),
                     Work.urgent_prefill(), Work.all_prefill(),
                     Work.memory_tokens()});
  Decisions_.loads().peerSaid(Host.Id, Loads);
  std::map<std::uint64_t, QueuedWork> Queued;
  for (const auto &Told : News.queued())
    Queued[Told.pool()] = {Told.urgent(), Told.all()};
  Decisions_.peerQueued(Host.Id, Queued);
  if (Decisions_.held().size() > 0)
    Decisions_.offerPlaces();
  for (const auto &Sent : News.sent()) {
    Dispatcher::SentPrompt Prompt{
        EndpointKey{Sent.endpoint()}, {}, Sent.read_tokens()};
    for (std::uint64_t Hash : Sent.levels())
      Prompt.Levels.push_back({Hash, 0});
    Decisions_.peerSentPrompt(Prompt);
  }
}

} // namespace celerybeam::detail
