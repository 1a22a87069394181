#include "configuration/configurationcontroller.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "configuration/internal/headwatch.h"
#include "configuration/internal/peerfetch.h"
#include "configuration/internal/revisionkeep.h"
#include "framework/stablehash.h"

namespace celerybeam {

namespace {

// Hosts of a zone that watch the head in the store.
constexpr std::size_t WatchersPerZone = 2;
// Peers of the own zone that are told at once of an adopted revision.
constexpr std::size_t NoticeFanOut = 3;
// Mean time between reads of the head over all the other hosts of a zone; it
// covers watchers that cannot reach the store. A host's own pause is this
// times the hosts, so that reads do not grow with the hosts.
constexpr Duration ZoneReadPause = std::chrono::seconds(5);
// Pause of a host that hears of a revision and cannot fetch it.
constexpr Duration FailingReadPause = std::chrono::seconds(5);

std::uint64_t watcherRank(const HostId &Host) {
  return stableHash(Host.str() + "/configuration-watch");
}

/// The live hosts around this one, as far as the watchers' choice needs them.
struct ZoneView {
  /// Alive peers of the own zone.
  std::vector<HostId> ZonePeers;
  /// Alive peers of each other region.
  std::map<RegionId, std::vector<HostId>> OtherRegions;
};

ZoneView viewOf(const Blackboard &Board) {
  ZoneView View;
  const HostIdentity &Self = Board.self();
  Board.peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
    if (Peer.State != PeerState::Alive || Id == Self.Id)
      return;
    if (Peer.Zone == Self.Zone)
      View.ZonePeers.push_back(Id);
    else if (Peer.Region != Self.Region)
      View.OtherRegions[Peer.Region].push_back(Id);
  });
  return View;
}

} // namespace

class ConfigurationController::Impl {
public:
  Impl(Blackboard &Board, Runtime R, StoreHooks Store, PeerHooks Peers,
       ConfigurationEvents Events)
      : Board_(Board), Runtime_(R), Peers_(std::move(Peers)),
        Events_(std::move(Events)), Keep_(Board),
        Fetch_(Board, R, Peers_, Keep_),
        Watch_(std::make_shared<detail::HeadWatch>(
            std::move(Store), std::move(R),
            [&Board] { return Board.tables()->Number; },
            [this](TablesRevision Next) { takeFromStore(std::move(Next)); })) {}

  void handle(const messages::Envelope &Message) {
    HostId From(Message.from());
    if (Message.has_gossip())
      hear(From, Message.gossip());
    if (Message.has_ping())
      hear(From, Message.ping().gossip());
    if (Message.has_ack())
      hear(From, Message.ack().gossip());
    if (Message.has_revision_request())
      answer(From, Message.revision_request());
    if (Message.has_revision_reply()) {
      Fetch_.hear(From, Message.revision_reply().revision());
      finishAdoption(Fetch_.take(From, Message.revision_reply()));
    }
  }

  void tick() {
    Fetch_.tick();
    ZoneView View = viewOf(Board_);
    if (isWatcher(View) || Board_.tables()->Number == 0)
      return Watch_->tick(detail::ReadPace::Watch, Duration());
    auto Hosts = static_cast<Duration::rep>(View.ZonePeers.size() + 1);
    Watch_->tick(detail::ReadPace::Paused,
                 Fetch_.isFailing() ? FailingReadPause : ZoneReadPause * Hosts);
  }

  bool ready() const {
    if (Board_.tables()->Number != 0)
      return true;
    return Watch_->storeIsEmpty() && Fetch_.noPeerHasTables();
  }

private:
  bool isWatcher(const ZoneView &View) const {
    if (Board_.leaving())
      return false;
    std::uint64_t Own = watcherRank(Board_.self().Id);
    auto Before =
        std::count_if(View.ZonePeers.begin(), View.ZonePeers.end(),
                      [&](const HostId &Id) { return watcherRank(Id) < Own; });
    return static_cast<std::size_t>(Before) < WatchersPerZone;
  }

  void hear(const HostId &From, const messages::Gossip &News) {
    Fetch_.hear(From, News.revision_in_force());
    for (const messages::PeerState &Peer : News.peers())
      Fetch_.hear(HostId(Peer.host()), Peer.revision_in_force());
  }

  void answer(const HostId &To, const messages::RevisionRequest &Request) {
    messages::Envelope Message;
    *Message.mutable_revision_reply() = Keep_.replyTo(Request.have_revision());
    Peers_.Send(To, std::move(Message));
  }

  void takeFromStore(TablesRevision Next) {
    finishAdoption(Keep_.adopt(std::move(Next)));
  }

  /// A revision that fails its check stays out; the next read or another peer
  /// may bring a sound one.
  void finishAdoption(const Result<bool> &Adopted) {
    if (!Adopted) {
      if (Events_.Refused)
        Events_.Refused(Adopted.error());
      return;
    }
    if (!*Adopted)
      return;
    if (Events_.Adopted)
      Events_.Adopted(Board_.tables()->Number);
    notifyPeers();
  }

  /// Tells some peers at once; the others hear by their gossip.
  void notifyPeers() {
    ZoneView View = viewOf(Board_);
    for (std::size_t I = 0; I < NoticeFanOut && !View.ZonePeers.empty(); ++I) {
      std::size_t Index = Runtime_.Random() % View.ZonePeers.size();
      notify(View.ZonePeers[Index]);
      View.ZonePeers.erase(View.ZonePeers.begin() +
                           static_cast<std::ptrdiff_t>(Index));
    }
    if (!isWatcher(viewOf(Board_)))
      return;
    for (const auto &[Region, Hosts] : View.OtherRegions)
      notify(Hosts[Runtime_.Random() % Hosts.size()]);
  }

  void notify(const HostId &To) {
    messages::Envelope Message;
    Message.mutable_gossip()->set_revision_in_force(Board_.tables()->Number);
    Peers_.Send(To, std::move(Message));
  }

  Blackboard &Board_;
  Runtime Runtime_;
  PeerHooks Peers_;
  ConfigurationEvents Events_;
  detail::RevisionKeep Keep_;
  detail::PeerFetch Fetch_;
  /// Shared with its store calls, which may end after this controller.
  std::shared_ptr<detail::HeadWatch> Watch_;
};

ConfigurationController::ConfigurationController(Blackboard &Board, Runtime R,
                                                 StoreHooks Store,
                                                 PeerHooks Peers,
                                                 ConfigurationEvents Events)
    : Impl_(std::make_unique<Impl>(Board, std::move(R), std::move(Store),
                                   std::move(Peers), std::move(Events))) {}
ConfigurationController::~ConfigurationController() = default;

void ConfigurationController::handle(const messages::Envelope &Message) {
  Impl_->handle(Message);
}

void ConfigurationController::tick() { Impl_->tick(); }

bool ConfigurationController::ready() const { return Impl_->ready(); }

} // namespace celerybeam
