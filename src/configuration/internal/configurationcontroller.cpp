#include "configuration/configurationcontroller.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "configuration/internal/headwatcher.h"
#include "configuration/internal/peerfetcher.h"
#include "configuration/internal/recentrevisions.h"
#include "framework/stablehash.h"

namespace celerybeam {

namespace {

// Hosts of a zone that watch the head in the store.
constexpr std::size_t WatchersPerZone = 2;
// Peers of this host's zone that are notified immediately of an adopted
// revision.
constexpr std::size_t NotificationFanOut = 3;
// Mean time between reads of the head by all hosts of a zone that are not
// watchers. These reads are needed when the watchers cannot reach the store.
// The pause of one host is this time multiplied by the number of hosts, so that
// the number of reads does not grow with the number of hosts.
constexpr Duration ZoneReadPause = std::chrono::seconds(5);
// Pause of a host that knows of a higher revision and cannot fetch it.
constexpr Duration FailingReadPause = std::chrono::seconds(5);

std::uint64_t watcherRank(const HostId &Host) {
  return stableHash(Host.str() + "/configuration-watch");
}

/// The live peers that are needed to choose watchers and peers to notify.
struct ZoneView {
  /// Alive peers of this host's zone.
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
        Events_(std::move(Events)), RecentRevisions_(Board),
        PeerFetcher_(Board, R, Peers_, RecentRevisions_),
        HeadWatcher_(std::make_shared<detail::HeadWatcher>(
            std::move(Store), std::move(R),
            [&Board] { return Board.tables()->Number; },
            [this](TablesRevision Next) { takeFromStore(std::move(Next)); })) {}

  void handle(const messages::Envelope &Message) {
    HostId From(Message.from());
    if (Message.has_gossip())
      recordGossip(From, Message.gossip());
    if (Message.has_ping())
      recordGossip(From, Message.ping().gossip());
    if (Message.has_ack())
      recordGossip(From, Message.ack().gossip());
    if (Message.has_revision_request())
      sendRevision(From, Message.revision_request());
    if (Message.has_revision_reply()) {
      PeerFetcher_.recordRevision(From, Message.revision_reply().revision());
      finishAdoption(PeerFetcher_.take(From, Message.revision_reply()));
    }
  }

  void tick() {
    PeerFetcher_.tick();
    ZoneView View = viewOf(Board_);
    if (isWatcher(View) || Board_.tables()->Number == 0)
      return HeadWatcher_->tick(detail::ReadPace::Watch, Duration());
    auto Hosts = static_cast<Duration::rep>(View.ZonePeers.size() + 1);
    HeadWatcher_->tick(detail::ReadPace::Paused, PeerFetcher_.isFailing()
                                                     ? FailingReadPause
                                                     : ZoneReadPause * Hosts);
  }

  bool ready() const {
    if (Board_.tables()->Number != 0)
      return true;
    return HeadWatcher_->storeIsEmpty() && PeerFetcher_.noPeerHasTables();
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

  void recordGossip(const HostId &From, const messages::Gossip &Received) {
    PeerFetcher_.recordRevision(From, Received.revision_in_force());
    for (const messages::PeerState &Peer : Received.peers())
      PeerFetcher_.recordRevision(HostId(Peer.host()),
                                  Peer.revision_in_force());
  }

  void sendRevision(const HostId &To,
                    const messages::RevisionRequest &Request) {
    messages::Envelope Message;
    *Message.mutable_revision_reply() =
        RecentRevisions_.replyTo(Request.have_revision());
    Peers_.Send(To, std::move(Message));
  }

  void takeFromStore(TablesRevision Next) {
    finishAdoption(RecentRevisions_.adopt(std::move(Next)));
  }

  /// Reports the result of an adoption and notifies peers. A revision that
  /// fails its check is not adopted; the next read or another peer may supply a
  /// valid one.
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

  /// Notifies some peers immediately; the others learn of the revision by
  /// gossip.
  void notifyPeers() {
    ZoneView View = viewOf(Board_);
    for (std::size_t I = 0; I < NotificationFanOut && !View.ZonePeers.empty();
         ++I) {
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
  detail::RecentRevisions RecentRevisions_;
  detail::PeerFetcher PeerFetcher_;
  /// Shared with its store calls, which may end after this controller.
  std::shared_ptr<detail::HeadWatcher> HeadWatcher_;
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
