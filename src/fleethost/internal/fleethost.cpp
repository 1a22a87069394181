#include "fleethost/fleethost.h"

#include <algorithm>
#include <optional>

#include <malloc.h>

#include "fleet/confirmationtracker.h"
#include "fleet/entrydirectory.h"
#include "fleet/readbarrier.h"
#include "fleet/recencycheck.h"
#include "fleethost/internal/confirmingread.h"
#include "fleethost/internal/hostannouncer.h"
#include "fleethost/internal/memoryguard.h"
#include "fleethost/internal/mirrorcatchup.h"
#include "fleethost/internal/peerconfirmation.h"
#include "fleethost/internal/peersnapshots.h"
#include "fleethost/internal/requestlog.h"
#include "fleethost/internal/snapshotcodec.h"
#include "fleethost/internal/updateexchange.h"
#include "logging/logger.h"
#include "metrics/metricsregistry.h"
#include "relay/datagramlink.h"
#include "relay/httpserver.h"
#include "relay/requestrelay.h"

namespace celerybeam {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;

/// Unsent bytes to other hosts from which this host hands over no further copy.
/// Many at once would take long over a slow link and hold much memory; hosts
/// that have a copy hand it on.
constexpr std::size_t MaxUnsentToHosts = 8U << 20U;

/// How long callers are still accepted after the request to stop, since they
/// may use earlier responses of the directory. Later callers find the port
/// closed and go to another host at once. With a longer time, a region would be
/// left without hosts when they are restarted one after the other.
constexpr Duration LateCallerTime = std::chrono::milliseconds(1500);
/// Open requests get their final responses this long before the process would
/// be killed.
constexpr Duration KillMargin = std::chrono::milliseconds(400);
/// How long these responses are written at most.
constexpr Duration FlushTime = std::chrono::milliseconds(200);
constexpr Duration DrainPoll = std::chrono::milliseconds(50);
constexpr Duration HealthTick = std::chrono::milliseconds(50);
constexpr Duration HealthTimeout = std::chrono::milliseconds(800);
/// The store is read once in so many rounds of asking, since each call is paid
/// for.
constexpr unsigned RoundsPerStoreRead = 3;
/// Shortest time between two reads of the store by one host for those that need
/// the tables confirmed. It bounds the calls to the store by the number of
/// watchers; a repeated request waits for it at most once.
constexpr Duration ConfirmingReadInterval = std::chrono::milliseconds(100);
/// Problems of customers' entries that are logged for one version.
constexpr std::size_t MaxLoggedProblems = 20;
/// Longest wait of a watch of the tables. A confirmation is up to twice as old
/// when the next one comes, and all hosts have it within half a second, well
/// before the share of the keys' lifetime after which hosts count as out of
/// touch, and before MaxUnconfirmed.
constexpr Duration ConfirmingWatch = std::chrono::seconds(1);
/// How old the confirmation of tables may be by which a route or key does not
/// exist: a new one is to be in force within this time. With an older one the
/// tables are read again.
constexpr Duration MaxUnconfirmed = std::chrono::seconds(3);
/// Share of the keys' lifetime from which a host asks not to be named to
/// callers.
constexpr double StaleShare = 0.6;
/// A host that has just started waits so long for a first confirmation until it
/// names itself ready.
constexpr Duration FirstConfirmationWait = std::chrono::seconds(2);
/// Requests in flight up to which memory refuses none: what a host knows of a
/// large fleet may nearly fill it, and it has to serve all the same.
constexpr std::size_t AcceptedWithoutMemory = 16;
constexpr Duration SlowTick = std::chrono::seconds(1);
/// A tick that is later than this is logged as a stall: the event loop was
/// blocked for longer than the shortest timeout between hosts and endpoints.
constexpr Duration MinLoggedStall = std::chrono::milliseconds(250);

} // namespace

class FleetHost::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(EventLoop &Loop, HttpCaller &Caller, FleetHostSettings Settings,
       FleetHostHooks Hooks)
      : Time_(Loop.runtime()), Caller_(Caller), Settings_(std::move(Settings)),
        Hooks_(std::move(Hooks)),
        Hosts_(Time_, Settings_.Self, Settings_.Regions),
        Fleet_(Time_, viewHooks()), Directory_(Time_, Hosts_, Fleet_),
        Decisions_(Time_, Fleet_, Hosts_, Settings_.RetryBounds,
                   Settings_.Dispatch),
        LocalPlacer_(Time_, Fleet_, Decisions_, Settings_.Self.Ip,
                     [this](const std::string &Ip, PlacementId Id,
                            const PlacementAnswer &Answer) {
                       sendPlacement(Ip, Id, Answer);
                     }),
        Placement_(
            Time_, Fleet_, Hosts_, Decisions_, LocalPlacer_,
            [this](const std::string &Ip, PlacementId Id,
                   const PlacementNote &Note) {
              Exchange_.sendNote(Ip, Id, Note);
            },
            [this](const ViewChange &Change) { logViewChange(Change); }),
        Context_{Time_,        Fleet_,       Hosts_,
                 Decisions_,   Placement_,   Caller_,
                 Hooks_.Names, Hooks_.Relay, Settings_.HostPort},
        Callers_(Loop,
                 [this](auto Request, auto Answer) {
                   relayRequest(Context_, std::move(Request), std::move(Answer),
                                false);
                 }),
        FromHosts_(Loop,
                   [this](auto Request, auto Answer) {
                     handleHostRequest(std::move(Request), std::move(Answer));
                   }),
        DatagramLink_(
            Loop, [this](std::string_view Bytes) { Exchange_.receive(Bytes); }),
        Confirmations_(Time_,
                       {[this] { return OperatorMirror_.revision(); },
                        [this] { return OperatorMirror_.lastChange(); }}),
        Limits_(Time_, Fleet_, Hosts_, Settings_.Regions,
                [this](const std::string &Ip, const ShareNote &Note) {
                  Exchange_.sendShare(Ip, Note);
                }),
        Exchange_(Time_,
                  {Fleet_, Hosts_, Decisions_, LocalPlacer_, Placement_,
                   &Confirmations_, &Limits_},
                  exchangeHooks()),
        OperatorMirror_(Time_, mirrorHooks(MirrorPart::OperatorTables)),
        EndpointMirror_(Time_, mirrorHooks(MirrorPart::Endpoints)) {
    Loop.onException([this](const std::string &Message) {
      Log_.error("Handler ended by an exception.", {{"what", Message}});
      Metrics_.add("exceptions_total", "Handlers that threw an exception.", {});
    });
    Context_.Limits = &Limits_;
    Context_.Hedges.setShare(Settings_.HedgeShare);
    Context_.Responses.setLimit(Settings_.ResponseMemoryBytes);
    Context_.Hooks.TablesCurrent = [this](TimePoint Arrived) {
      return Barrier_.covers(Arrived) || areTablesRecent(Arrived);
    };
    Context_.Hooks.MayAct = [this] { return Recency_.mayAct(); };
    Context_.Hooks.TablesInclude = [this](TimePoint Before) {
      return Barrier_.covers(Before);
    };
    Context_.Hooks.ReadTables = [this](TimePoint Before, Duration AtMost,
                                       auto Then) {
      Barrier_.await(Before, AtMost, std::move(Then));
    };
    Context_.Hooks.TablesAge = [this] { return tablesAge(); };
    Context_.Hooks.TablesOutdated = [this] { return Recency_.isOutdated(); };
    Context_.Hooks.MayResolveKey = [this](TimePoint Arrived) {
      return !Settings_.KeyLifetime ||
             Confirmations_.covers(Arrived, *Settings_.KeyLifetime);
    };
    Context_.Hooks.FetchTables = [this](const std::string &Ip) {
      // The field of a request could name any address.
      OperatorCatchUp_->fetchFor(Hosts_.silence(Ip) ? Ip : "");
    };
    if (Settings_.MemoryBytes)
      Context_.Hooks.HasMemory = [this] {
        return Memory_.hasRoom() || inFlight() <= AcceptedWithoutMemory;
      };
    Context_.Hooks.HasFleetState = [this] { return isInformed(); };
    Decisions_.setOwnership(
        [this](const EndpointKey &Key) { return Placement_.owns(Key); },
        [this] { return Placement_.placersStableFor(); });
    Context_.Hooks.EndpointReported = [this](const EndpointReport &Report) {
      Fleet_.applyReport(Report);
      Exchange_.sendReport(Report);
    };
    Decisions_.onCrashChange([this](const CrashChange &Change) {
      logCrashChange(Change);
      // Not on the stack of the request that found the change.
      if (Change.What == CrashChange::Kind::Refused)
        Time_.After(Duration::zero(), [Weak = weak_from_this()] {
          if (auto Self = Weak.lock())
            Self->Context_.Open.reconsiderAll();
        });
    });
    Context_.Hooks.Done = [this](const RequestRecord &R) { record(R); };
    FromHosts_.setRefusalFields([this](const HttpRequestHead &Head) {
      HttpFields Fields = {{NotRunField, "1"}};
      if (auto Id = findField(Head.Fields, Hooks_.Names.RequestId))
        Fields.push_back({Hooks_.Names.RequestId, std::string(*Id)});
      return Fields;
    });
    Callers_.onRefused(
        [this](const ReadRefusal &R) { logRefusal("caller", R); });
    FromHosts_.onRefused(
        [this](const ReadRefusal &R) { logRefusal("host", R); });
    for (HttpServer *Server : {&Callers_, &FromHosts_})
      Server->onUnread([this](const UnreadResponse &R) { logUnread(R); });
    Announcer_ = std::make_shared<detail::HostAnnouncer>(
        Time_, Hooks_.Store, Hooks_.HostPrefix,
        Hooks_.HostPrefix + Settings_.Self.Id.str(), Settings_.Self.Ip,
        detail::HostAnnouncer::Hooks{
            [this](const std::string &Ip) { Hosts_.addContact(Ip); },
            [this] { return Exchange_.isAggregator(); },
            [this] { return Hosts_.alive().empty(); }});
  }

  Result<void> start() {
    const std::string &Ip = Settings_.Self.Ip;
    Address HostAddress(Ip + ":" + Settings_.HostPort);
    if (auto Opened = Callers_.listen(Settings_.Callers); !Opened)
      return Opened;
    if (auto Opened = FromHosts_.listen(HostAddress); !Opened)
      return Opened;
    if (auto Opened = DatagramLink_.open(HostAddress); !Opened)
      return Opened;
    for (const std::string &Contact : Settings_.Contacts)
      Hosts_.addContact(Contact);
    OperatorMirror_.start();
    EndpointMirror_.start();
    Announcer_->start();
    every(detail::UpdateExchange::TickInterval, [this] {
      updateFollowing();
      refreshSelf();
      Exchange_.tick();
      Limits_.tick();
      OperatorCatchUp_->tick();
      EndpointCatchUp_->tick();
    });
    every(FleetView::TickInterval, [this] { Fleet_.tick(); });
    LastTick_ = Time_.Now();
    every(HealthTick, [this] {
      Recency_.tick();
      if (Settings_.MemoryBytes)
        Memory_.tick();
      logStall();
      checkHealth();
    });
    every(SlowTick, [this] {
      Caller_.tick();
      applyLimits();
      showLag();
      showRegionLoads();
    });
    // A host that starts while the store is unreachable loads the state from
    // the others.
    Time_.After(SlowTick, [this] { loadFromPeers(); });
    Log_.info("Host started.", {{"host", Settings_.Self.Id},
                                {"zone", Settings_.Self.Zone},
                                {"region", Settings_.Self.Region},
                                {"callers", Settings_.Callers}});
    return {};
  }

  bool isReady() const {
    return !Draining_ && isInformed() && !awaitsFirstConfirmation();
  }

  /// Whether keyed requests would still be refused right after the start.
  bool awaitsFirstConfirmation() const {
    return Settings_.KeyLifetime && Fleet_.tables()->Customers &&
           !Confirmations_.confirmedAt() &&
           Time_.Now() - StartedAt_ < FirstConfirmationWait;
  }

  /// Whether the right to resolve keys ends soon.
  bool areTablesStale() const {
    if (!Settings_.KeyLifetime)
      return false;
    auto At = Confirmations_.confirmedAt();
    Duration Most(static_cast<Duration::rep>(
        static_cast<double>(Settings_.KeyLifetime->count()) * StaleShare));
    return !At || Time_.Now() - *At > Most;
  }

  /// When the tables last certainly included all that was acknowledged. Empty
  /// after a rollback of the store, while acknowledged changes may be lost.
  std::optional<TimePoint> tablesCompleteAt() const {
    return OperatorMirror_.isSettling() ? std::nullopt
                                        : Confirmations_.confirmedAt();
  }

  /// Whether the tables certainly included, not long before this time, all that
  /// was acknowledged, and nothing newer is known since.
  bool areTablesRecent(TimePoint Arrived) const {
    auto At = tablesCompleteAt();
    return At && Arrived - *At < MaxUnconfirmed &&
           !OperatorCatchUp_->behindSince();
  }

  std::optional<Duration> tablesAge() const {
    auto At = Confirmations_.confirmedAt();
    return At ? std::optional(Time_.Now() - *At) : std::nullopt;
  }

  bool isInformed() const {
    return Fleet_.tables() != nullptr && EndpointMirror_.isLoaded();
  }

  void drain(std::function<void()> Done) {
    if (Draining_)
      return;
    Draining_ = true;
    DrainStarted_ = Time_.Now();
    Log_.info("Draining started.", {{"in_flight", inFlight()}});
    refreshSelf();
    Exchange_.sendLeaving();
    LocalPlacer_.handOver();
    Announcer_->withdraw();
    Callers_.closeAfterResponses();
    FromHosts_.closeAfterResponses();
    Context_.RefusesFrom = DrainStarted_ + LateCallerTime;
    Context_.StopsAt = DrainStarted_ + Settings_.Grace - KillMargin;
    Time_.After(LateCallerTime, [this] {
      Callers_.stopListening();
      FromHosts_.stopListening();
    });
    pollDrain(std::move(Done));
  }

  std::string metricsText() const { return Metrics_.text(); }

  std::vector<std::string> entriesFor(const RegionId &Region,
                                      std::string_view Name) const {
    EntryAnswer Answer = Directory_.answer(Region, Name);
    logDirectoryAnswer(Region, Name, Answer);
    return Answer.Ips;
  }

  void reload(const FleetHostSettings &Settings) {
    for (const std::string &Contact : Settings.Contacts)
      Hosts_.addContact(Contact);
    Decisions_.setRetryBounds(Settings.RetryBounds);
    Context_.Hedges.setShare(Settings.HedgeShare);
    Settings_.Grace = Settings.Grace;
    Log_.info("Settings reloaded.");
  }

private:
  FleetView::Hooks viewHooks() {
    return {[this](const ViewChange &Change) { logViewChange(Change); },
            [this](const EndpointKey &Key) { Decisions_.forget(Key); },
            [this](const EndpointKey &Key) {
              Decisions_.health().markSuspect(Key);
            },
            [this](const FleetTables &Tables) { logCustomerProblems(Tables); }};
  }

  void logCustomerProblems(const FleetTables &Tables) const {
    if (!Tables.Customers)
      return;
    std::size_t Logged = 0;
    for (const CustomerProblem &P : Tables.Customers->problems()) {
      Metrics_.add("customer_entry_errors_total",
                   "Unreadable fields of customers in the configuration.",
                   {{"field", P.Field}});
      if (++Logged <= MaxLoggedProblems)
        Log_.warning("Customer entry has a problem.",
                     {{"tables", Tables.Version},
                      {"customer", P.Name},
                      {"field", P.Field},
                      {"what", P.Text}});
    }
  }

  /// The ready hosts that this host knows, by region, itself included.
  std::map<RegionId, std::size_t> readyHosts() const {
    std::map<RegionId, std::size_t> Ready;
    Ready[Settings_.Self.Region] = isReady() ? 1 : 0;
    for (const HostState &Host : Hosts_.alive())
      Ready[Host.Region] += Host.Ready && !Host.Leaving ? 1 : 0;
    return Ready;
  }

  void logDirectoryAnswer(const RegionId &Region, std::string_view Name,
                          const EntryAnswer &Answer) const {
    const FleetTablesPtr &Tables = Fleet_.tables();
    std::string Ready;
    for (const auto &[Where, Count] : readyHosts())
      Ready += (Ready.empty() ? "" : " ") + Where.str() + "=" +
               std::to_string(Count);
    Log_.info(
        "Directory answered.",
        {{"name", std::string(Name)},
         {"caller_region", Region},
         {"tables", Tables ? Tables->Version : 0},
         {"ready_hosts", Ready},
         {"up_ms", (Time_.Now() - StartedAt_) / std::chrono::milliseconds(1)},
         {"why", Answer.Why},
         {"region", Answer.Region},
         {"stray_share", Answer.StrayShare},
         {"named", Answer.Ips.size()}});
  }

  void logViewChange(const ViewChange &Change) {
    Log_.info("Fleet view changed.", {{"what", Change.What},
                                      {"subject", Change.Subject},
                                      {"detail", Change.Detail}});
  }

  detail::UpdateExchange::Hooks exchangeHooks() {
    return {[this](const std::string &Ip, const std::string &Bytes) {
              if (!DatagramLink_.send(Ip, Bytes))
                Log_.error("Datagram to another host too long to send.",
                           {{"to", Ip}, {"bytes", Bytes.size()}});
            },
            [this](const HostState &Host) {
              OperatorMirror_.peerReported(Host.OperatorRevision, Host.Watches);
              EndpointMirror_.peerReported(Host.EndpointRevision, Host.Watches);
            },
            [this](const RegionLoadChange &Change) { logRegionLoad(Change); }};
  }

  const std::string &prefixOf(MirrorPart Part) const {
    return Part == MirrorPart::OperatorTables ? Hooks_.OperatorPrefix
                                              : Hooks_.EndpointPrefix;
  }

  StoreMirror &mirrorOf(MirrorPart Part) {
    return Part == MirrorPart::OperatorTables ? OperatorMirror_
                                              : EndpointMirror_;
  }

  StoreMirrorHooks mirrorHooks(MirrorPart Part) {
    StoreMirrorHooks H;
    H.List = [this, Part](auto Answer) {
      Hooks_.Store.List(prefixOf(Part), std::move(Answer));
    };
    H.ListStale = [this, Part](auto Answer) {
      Hooks_.Store.ListStale(prefixOf(Part), std::move(Answer));
    };
    H.Watch = [this, Part](StoreRevision After, Duration Wait, auto Answer) {
      Hooks_.Store.Watch(prefixOf(Part), After, Wait, std::move(Answer));
    };
    H.FetchFromPeer = [this, Part](StoreRevision, const auto &Answer) {
      catchUpOf(Part).fetch(Answer);
    };
    H.Changed = [this, Part](const StoreChange &Change, bool AfterOutage) {
      Hooks_.Apply(Part, Change,
                   AfterOutage ? StoreMirror::OutageGrace : Duration::zero(),
                   Fleet_);
      Confirmations_.setReadable(Fleet_.areTablesReadable());
    };
    H.VersionOf = Hooks_.VersionOf;
    if (Part == MirrorPart::OperatorTables)
      H.Read = [this](TimePoint Begun) { tablesRead(Begun); };
    if (Part == MirrorPart::OperatorTables)
      H.LongestWatch = ConfirmingWatch;
    H.RolledBack = [this, Part](const StoreRollback &Return) {
      storeRolledBack(Part, Return);
    };
    H.Reachability = [this, Part](bool Reachable, const std::string &Why) {
      if (Reachable)
        Log_.info("Store connection restored.", {{"prefix", prefixOf(Part)}});
      else
        Log_.warning("Store connection lost.",
                     {{"prefix", prefixOf(Part)}, {"why", Why}});
      Metrics_.add(Reachable ? "store_regained_total" : "store_lost_total",
                   "Times that the store was regained or lost.",
                   {{"prefix", prefixOf(Part)}});
    };
    return H;
  }

  /// The tables include all that was acknowledged before this time.
  void tablesRead(TimePoint Begun) {
    Recency_.confirmByRead(Begun);
    Confirmations_.confirmByRead(Begun);
  }

  detail::ConfirmingRead::Hooks confirmingReadHooks() {
    return {
        [this](ReadBarrier::Done Done) {
          StoreReads_.await(Time_.Now(), ReadBarrier::MaxRead,
                            [Done = std::move(Done)](bool Confirmed) {
                              if (Confirmed)
                                return Done({});
                              Done(makeError(ErrorKind::StoreUnreachable,
                                             "the store was not read in time"));
                            });
        },
        [this](const std::string &Ip, StoreRevision Since, const auto &Then) {
          Snapshots_.fetchConfirmed(Ip, Since, Then);
        },
        [this](TimePoint Begun) { tablesRead(Begun); },
        [this](const std::string &Ip, const Result<void> &Got) {
          Metrics_.add("confirming_reads_total",
                       "Reads of the store, by this host or another, that "
                       "confirm the tables for second runs.",
                       {{"by", Ip.empty() ? "self" : "host"},
                        {"succeeded", Got ? "yes" : "no"}});
        }};
  }

  ReadBarrier::Hooks storeReadHooks() {
    return {[this](auto Done) { OperatorMirror_.readNow(std::move(Done)); },
            [this] { return tablesCompleteAt(); }};
  }

  ReadBarrier::Hooks barrierHooks() {
    return {[this](auto Done) { ConfirmingRead_.read(std::move(Done)); },
            [this] { return tablesCompleteAt(); },
            [this](const ReadBarrierChange &Change) { logBarrier(Change); }};
  }

  void logBarrier(const ReadBarrierChange &Change) const {
    std::int64_t Age =
        Change.Age ? *Change.Age / std::chrono::milliseconds(1) : -1;
    if (Change.Succeeds)
      return Log_.info("Tables confirmed for second runs again.",
                       {{"age_ms", Age}});
    Log_.warning("Tables not confirmed; nothing is run a second time.",
                 {{"why", Change.Why}, {"age_ms", Age}});
  }

  void storeRolledBack(MirrorPart Part, const StoreRollback &Return) {
    const char *Event =
        Return.Settled ? "Store content authoritative again after rollback."
                       : "Store rolled back to an older copy.";
    Log_.warning(Event, {{"prefix", prefixOf(Part)},
                         {"before", detail::revisionText(Return.Before)},
                         {"after", detail::revisionText(Return.After)},
                         {"awaited", Return.AwaitedKeys}});
    Metrics_.set("store_era",
                 "Times that the store came back older, by its word.", {},
                 static_cast<double>(Return.After.Era));
    Metrics_.set("store_rows_awaited",
                 "Rows from before the store's return that it has not said "
                 "again.",
                 {{"prefix", prefixOf(Part)}},
                 static_cast<double>(Return.AwaitedKeys));
    if (Return.Settled)
      return;
    Announcer_->storeRolledBack(Return.After.Era);
    for (StoreMirror *Mirror : {&OperatorMirror_, &EndpointMirror_})
      Mirror->storeRolledBack(Return.After.Era);
  }

  detail::MirrorCatchUp &catchUpOf(MirrorPart Part) {
    return Part == MirrorPart::OperatorTables ? *OperatorCatchUp_
                                              : *EndpointCatchUp_;
  }

  std::shared_ptr<detail::MirrorCatchUp> makeCatchUp(MirrorPart Part) {
    return std::make_shared<detail::MirrorCatchUp>(
        Time_, Sources_, mirrorOf(Part), Part,
        detail::MirrorCatchUp::Hooks{
            [this, Part](const std::string &Ip, StoreRevision Since,
                         const auto &Then) {
              Snapshots_.fetch(Ip, Part, Since, Then);
            },
            [this](const detail::CatchUpEvent &Event) { logCatchUp(Event); },
            [this, Part] { return Snapshots_.isReceiving(Part); },
            [this, Part] { Snapshots_.endSlowest(Part); },
            [this, Part] { Snapshots_.endAll(Part); }});
  }

  void logCatchUp(const detail::CatchUpEvent &Event) const {
    using Kind = detail::CatchUpEvent::Kind;
    const char *Message = Event.What == Kind::SourceFailed
                              ? "Known changes not handed over by a host."
                          : Event.What == Kind::StoreAsked
                              ? "Known changes read from the store."
                          : Event.What == Kind::StoreFailed
                              ? "Known changes not read from the store."
                              : "Known changes have come.";
    Log_.warning(Message,
                 {{"prefix", prefixOf(Event.Part)},
                  {"from", Event.From},
                  {"why", Event.Why},
                  {"behind_ms", Event.Behind / std::chrono::milliseconds(1)},
                  {"asked", Event.Asked},
                  {"applied", detail::revisionText(Event.Applied)},
                  {"known", detail::revisionText(Event.Known)}});
    if (Event.What == Kind::CaughtUp)
      return;
    Metrics_.add("catch_up_failures_total",
                 "Hosts and calls to the store that did not hand over known "
                 "changes, and reads of the store for them.",
                 {{"prefix", prefixOf(Event.Part)}, {"event", Message}});
  }

  void showLag() {
    for (MirrorPart Part :
         {MirrorPart::OperatorTables, MirrorPart::Endpoints}) {
      auto Since = catchUpOf(Part).behindSince();
      std::chrono::duration<double> Lag =
          Since ? Time_.Now() - *Since : Duration::zero();
      Metrics_.set("store_copy_behind_seconds",
                   "Time for which the copy of the store has lacked changes "
                   "that other hosts report.",
                   {{"prefix", prefixOf(Part)}}, Lag.count());
    }
    if (std::optional<std::chrono::duration<double>> Age = tablesAge())
      Metrics_.set("tables_confirmed_age_seconds",
                   "Time since the tables certainly included all that was "
                   "acknowledged.",
                   {}, Age->count());
  }

  RecencyCheck::Hooks recencyHooks() {
    return {[this](RecencyCheck::Episode Asked, unsigned Round) {
              Confirmation_->ask(Asked);
              // The datagrams that came during a standstill, which show who is
              // alive, are read after the first round.
              bool AsksStore = Exchange_.isWatcher() || Hosts_.alive().empty();
              if (Round % RoundsPerStoreRead == 1 && AsksStore)
                OperatorMirror_.readAgain();
            },
            [this](const RecencyChange &Change) { logRecency(Change); },
            [this] { return OperatorCatchUp_->behindSince(); },
            [this] { return OperatorCatchUp_->isOffered(); }};
  }

  detail::PeerConfirmation::Hooks confirmationHooks() {
    return {
        [this](const std::string &Ip, const auto &Then) {
          Snapshots_.askSummary(Ip, Then);
        },
        [this](const std::string &Ip, MirrorPart Part, StoreRevision Since,
               const auto &Then) { Snapshots_.fetch(Ip, Part, Since, Then); },
        [this](RecencyCheck::Episode Asked) { Recency_.confirm(Asked); },
        [this] { return !Recency_.isConfirmed(); },
        [this](MirrorPart Part) { return Snapshots_.isReceiving(Part); }};
  }

  void logRecency(const RecencyChange &Change) {
    const FleetTablesPtr &Tables = Fleet_.tables();
    using Kind = RecencyChange::Kind;
    const char *Message =
        Change.What == Kind::Doubted     ? "Tables may be outdated."
        : Change.What == Kind::Confirmed ? "Tables confirmed to be recent."
        : Change.What == Kind::Behind    ? "Tables lack known changes."
        : Change.What == Kind::Outdated
            ? "Tables outdated; requests are refused."
        : Change.What == Kind::CaughtUp ? "Tables no longer lack known changes."
                                        : "Requests handled by unconfirmed "
                                          "tables.";
    Log_.info(Message, {{"tables", Tables ? Tables->Version : 0},
                        {"gap_ms", Change.Gap / std::chrono::milliseconds(1)},
                        {"age_ms", Change.Age / std::chrono::milliseconds(1)}});
    Metrics_.add("recency_changes_total",
                 "Changes of what is known about the tables' age.",
                 {{"change", Message}});
  }

  void loadFromPeers() {
    if (OperatorMirror_.isLoaded() && EndpointMirror_.isLoaded())
      return;
    for (const HostState &Host : Hosts_.alive()) {
      OperatorMirror_.peerReported(Host.OperatorRevision);
      EndpointMirror_.peerReported(Host.EndpointRevision);
    }
    Time_.After(SlowTick, [this] { loadFromPeers(); });
  }

  void handleHostRequest(HttpServerRequest Request,
                         std::shared_ptr<HttpExchange> Answer) {
    if (auto Asked = detail::PeerSnapshots::requested(Request.Head)) {
      if (FromHosts_.unsentBytesHeld() > MaxUnsentToHosts)
        return Answer->respond({Unavailable, {}}, "");
      const StoreMirror &Mirror = mirrorOf(Asked->first);
      StoreSnapshot Changes = Mirror.changesSince(Asked->second);
      Changes.Current = Mirror.isCurrent() && Recency_.isConfirmed();
      return Answer->respond({Ok, {}}, detail::writeSnapshot(Changes));
    }
    if (auto Since = detail::PeerSnapshots::requestedConfirmed(Request.Head))
      return confirmForHost(*Since, std::move(Answer));
    if (detail::PeerSnapshots::isSummaryRequest(Request.Head))
      return Answer->respond({Ok, {}}, detail::writeSummary(summary()));
    relayRequest(Context_, std::move(Request), std::move(Answer), true);
  }

  /// Hands over the changes after a revision once the store has been read for
  /// it. Another host is not asked: it may be asking this one.
  void confirmForHost(StoreRevision Since,
                      std::shared_ptr<HttpExchange> Answer) {
    StoreReads_.await(
        Time_.Now(), ReadBarrier::MaxRead,
        [this, Since, Answer = std::move(Answer)](bool Confirmed) {
          if (!Confirmed || FromHosts_.unsentBytesHeld() > MaxUnsentToHosts)
            return Answer->respond({Unavailable, {}}, "");
          Answer->respond({Ok, {}}, detail::writeSnapshot(
                                        OperatorMirror_.changesSince(Since)));
        });
  }

  detail::MirrorSummary summary() {
    return {Settings_.Self.Region, OperatorMirror_.includedFrom(),
            EndpointMirror_.includedFrom(),
            OperatorMirror_.isCurrent() && Recency_.isConfirmed(),
            OperatorMirror_.isSettling()};
  }

  /// Follows the region's watchers as long as one of them gets responses from
  /// the store, and watches the store itself otherwise.
  void updateFollowing() {
    bool Follow = false;
    if (!Exchange_.isWatcher() && isInformed()) {
      auto Aggregators = Hosts_.delegates(Settings_.Self.Region).Aggregators;
      Aggregators.resize(std::min(Aggregators.size(), WatchersPerRegion));
      Follow = std::any_of(Aggregators.begin(), Aggregators.end(),
                           [this](const HostState &Host) {
                             return Host.Watches &&
                                    Hosts_.silence(Host.Ip).value_or(
                                        Duration::max()) <=
                                        StoreMirror::MaxWatcherSilence;
                           });
    }
    if (Follow != OperatorMirror_.isFollowing())
      Log_.info("Store mirror mode changed.", {{"follows_watchers", Follow}});
    OperatorMirror_.setFollowing(Follow);
    EndpointMirror_.setFollowing(Follow);
  }

  void refreshSelf() {
    HostState Self = Hosts_.self();
    bool Ready = isReady();
    if (Ready != Self.Ready)
      Log_.info("Host readiness changed.", {{"ready", Ready}});
    Self.Ready = Ready;
    Self.Leaving = Draining_;
    bool Stale = areTablesStale();
    if (Stale != std::exchange(KeysEndSoon_, Stale))
      logStale(Stale);
    Self.TablesStale = Stale || Recency_.isOutdated();
    Self.OperatorRevision = OperatorMirror_.lastChange();
    Self.EndpointRevision = EndpointMirror_.lastChange();
    Self.Watches = !OperatorMirror_.isFollowing() &&
                   OperatorMirror_.isInContact() &&
                   EndpointMirror_.isInContact();
    Hosts_.setSelf(Self);
    if (Hosts_.self().FleetHosts != Self.FleetHosts)
      logFleetSize();
  }

  void logRegionLoad(const RegionLoadChange &Change) const {
    auto Age = Change.Age / std::chrono::milliseconds(1);
    std::size_t Serving = Hosts_.serving(Change.Region).size();
    if (Change.Known)
      Log_.info("Load of another region known again.",
                {{"region", Change.Region.str()},
                 {"unknown_ms", Age},
                 {"serving_hosts", Serving}});
    else
      Log_.warning("Load of another region no longer known.",
                   {{"region", Change.Region.str()},
                    {Change.EverReported ? "age_ms" : "needed_ms", Age},
                    {"serving_hosts", Serving}});
  }

  void showRegionLoads() {
    RegionsShown_.merge(Exchange_.neededRegions());
    for (const RegionId &Region : RegionsShown_)
      Metrics_.set("region_load_unknown",
                   "Whether this host lacks the load of another region that it "
                   "needs to place requests.",
                   {{"region", Region.str()}},
                   Exchange_.isRegionLoadUnknown(Region) ? 1 : 0);
  }

  void logStale(bool Stale) {
    auto At = Confirmations_.confirmedAt();
    Log_.info(Stale ? "Right to resolve keys ends soon."
                    : "Tables confirmed again.",
              {{"age_ms",
                At ? (Time_.Now() - *At) / std::chrono::milliseconds(1) : -1}});
    Metrics_.set("tables_stale",
                 "Whether the right to resolve customers' keys ends soon.", {},
                 Stale ? 1 : 0);
  }

  void logFleetSize() const {
    const HostState &Self = Hosts_.self();
    Log_.info("Fleet size changed.",
              {{"hosts", Self.FleetHosts},
               {"age_ms", Self.FleetHostsAge / std::chrono::milliseconds(1)}});
  }

  void applyLimits() {
    const FleetTablesPtr &Tables = Fleet_.tables();
    if (!Tables)
      return;
    const CallerLimits &L = Tables->Limits;
    HttpServerLimits Limits;
    Limits.HeaderBytes = L.HeaderBytes;
    Limits.BodyBytes = L.BodyBytes;
    Limits.HeaderTimeout = L.HeaderTimeout;
    Limits.IdleTimeout = L.IdleTimeout;
    // At least two of the longest bodies, so that none is always refused.
    Limits.AllBodyBytes = std::max<std::size_t>(Settings_.ResponseMemoryBytes,
                                                std::size_t{2} * L.BodyBytes);
    Limits.AllUnsentBytes = Settings_.ResponseMemoryBytes;
    Callers_.setLimits(Limits);
  }

  void sendPlacement(const std::string &Ip, PlacementId Id,
                     const PlacementAnswer &Answer) {
    if (Ip == Settings_.Self.Ip)
      return Placement_.answered(Ip, Id, Answer);
    Exchange_.sendNote(Ip, Id, Answer);
  }

  /// Logs a stall of the event loop. Events that arrived and timers that
  /// expired during it are handled in one turn of the loop.
  void logStall() {
    Duration Late = Time_.Now() - LastTick_ - HealthTick;
    LastTick_ = Time_.Now();
    if (Late < MinLoggedStall)
      return;
    Log_.warning("Event loop stalled.",
                 {{"for_ms", Late / std::chrono::milliseconds(1)},
                  {"in_flight", inFlight()}});
    Metrics_.add("stalls_total", "Times that the process stood still.", {});
  }

  void logRefusal(const char *Caller, const ReadRefusal &Refusal) {
    auto Id = findField(Refusal.Head.Fields, Hooks_.Names.RequestId);
    Log_.info("Request refused while reading it.",
              {{"request", std::string(Id.value_or(""))},
               {"status", Refusal.Status},
               {"why", Refusal.Why},
               {"from", Refusal.From},
               {"caller", Caller}});
    Metrics_.add(
        "refused_reading_total", "Requests refused before they were whole.",
        {{"status", std::to_string(Refusal.Status)}, {"caller", Caller}});
  }

  void logUnread(const UnreadResponse &Unread) {
    Log_.warning("Response broken off unread.",
                 {{"from", Unread.From},
                  {"unsent", Unread.UnsentBytes},
                  {"unread_ms", Unread.Unread / std::chrono::milliseconds(1)},
                  {"all_unsent", Unread.AllUnsentBytes},
                  {"limit", Settings_.ResponseMemoryBytes}});
    Metrics_.add("unread_responses_total",
                 "Responses broken off since callers left too much unread.",
                 {});
  }

  void logMemory(const detail::MemoryChange &Change) {
    Log_.warning(Change.IsShort ? "Memory is short; requests are refused."
                                : "Memory is no longer short.",
                 {{"resident", Change.Resident},
                  {"limit", Change.Limit},
                  {"in_flight", inFlight()}});
    Metrics_.set("memory_short",
                 "Whether requests are refused for lack of memory.", {},
                 Change.IsShort ? 1 : 0);
  }

  void checkHealth() {
    for (const EndpointKey &Key : Decisions_.health().dueForCheck())
      checkOne(Key);
    for (const EndpointKey &Key : Decisions_.crashes().takeProbes())
      probeOne(Key);
  }

  /// Asks an endpoint that broke off a run whether it goes on. Any response of
  /// its own says so; only one that can't be connected to has surely ended.
  void probeOne(const EndpointKey &Key) {
    const FleetEndpoint *E = Fleet_.endpoint(Key);
    const FleetPool *Pool = E != nullptr && Fleet_.tables()
                                ? Fleet_.tables()->pool(E->Pool)
                                : nullptr;
    if (Pool == nullptr)
      return;
    HttpCallRequest Call;
    Call.To = E->Where;
    Call.Head = {"GET", Pool->HealthPath, {{"Host", E->Where.str()}}};
    Call.Timeout = CrashTracker::ConfirmTime;
    Call.ConnectTimeout = CrashTracker::ConfirmTime;
    HttpCallHooks Hooks;
    Hooks.Head = [this, Key, Id = E->Id](const HttpResponseHead &Head) {
      auto ReportedId = findField(Head.Fields, Hooks_.Names.EndpointId);
      if (!ReportedId || *ReportedId == Id.str())
        Decisions_.crashes().recordAlive(Key);
      return HeadVerdict::Accept;
    };
    Hooks.End = [this, Key](HttpCallEnd End) {
      if (End == HttpCallEnd::NotConnected)
        Decisions_.crashes().recordUnreachable(Key);
    };
    Caller_.call(std::move(Call), std::move(Hooks));
    Metrics_.add("crash_probes_total",
                 "Endpoints asked whether they go on after a break.", {});
  }

  void logCrashChange(const CrashChange &Change) {
    using Kind = CrashChange::Kind;
    std::int64_t Age = Change.Age / std::chrono::milliseconds(1);
    if (Change.What == Kind::Crashed || Change.What == Kind::KeptRunning) {
      const FleetEndpoint *E = Fleet_.endpoint(Change.Endpoint);
      bool Crashed = Change.What == Kind::Crashed;
      Log_.info(Crashed ? "Endpoint crash counted."
                        : "Endpoint goes on after a break.",
                {{"endpoint", E != nullptr ? E->Id.str() : std::string()},
                 {"runs", Change.Runs},
                 {"age_ms", Age}});
      Metrics_.add(Crashed ? "crashes_total" : "breaks_total",
                   "Endpoints that broke off runs.", {});
      return;
    }
    const char *Message = Change.What == Kind::Refused ? "Suspect refused."
                          : Change.What == Kind::Cleared
                              ? "Suspect cleared."
                              : "Trial of a refused suspect begun.";
    Log_.warning(Message, {{"suspect", Change.Suspect.Value},
                           {"is", Change.IsWhole ? "request" : "part"},
                           {"why", Change.Why},
                           {"crashes", Change.Crashes},
                           {"latest_ms", Age},
                           {"arrivals", Change.Arrivals},
                           {"scope_arrivals", Change.ScopeArrivals},
                           {"trials", Change.Trials}});
    Metrics_.add("suspects_total",
                 "Changes of what is refused for crashes of endpoints.",
                 {{"change", Message}});
  }

  void checkOne(const EndpointKey &Key) {
    const FleetEndpoint *E = Fleet_.endpoint(Key);
    const FleetPool *Pool = E != nullptr && Fleet_.tables()
                                ? Fleet_.tables()->pool(E->Pool)
                                : nullptr;
    if (Pool == nullptr || E->Region != Settings_.Self.Region)
      return Decisions_.health().forget(Key);
    HttpCallRequest Call;
    Call.To = E->Where;
    Call.Head = {"GET", Pool->HealthPath, {{"Host", E->Where.str()}}};
    Call.Timeout = HealthTimeout;
    auto Healthy = std::make_shared<bool>(false);
    HttpCallHooks Hooks;
    Hooks.Head = [this, Healthy, Key,
                  Id = E->Id](const HttpResponseHead &Head) {
      auto ReportedId = findField(Head.Fields, Hooks_.Names.EndpointId);
      bool SameEndpoint = ReportedId && *ReportedId == Id.str();
      *Healthy = Head.Status == Ok && SameEndpoint;
      if (SameEndpoint && Context_.Hooks.DecodeAvailability(Head).Leaving)
        Context_.Hooks.EndpointReported({Key, true, {}, Settings_.Self.Ip});
      auto Cold = findField(Head.Fields, Hooks_.Names.ColdFor);
      if (*Healthy)
        noteCold(Id, std::string(Cold.value_or("0")));
      return HeadVerdict::Accept;
    };
    Hooks.End = [this, Key, Healthy, Id = E->Id](HttpCallEnd End) {
      // The head alone tells an endpoint's health.
      bool Answered =
          End == HttpCallEnd::Complete || End == HttpCallEnd::Unmarked;
      bool Good = Answered && *Healthy;
      Decisions_.health().recordCheck(Key, Good);
      Log_.info("Endpoint checked.", {{"endpoint", Id}, {"healthy", Good}});
      Metrics_.add("health_checks_total", "Health checks of endpoints.",
                   {{"healthy", Good ? "yes" : "no"}});
    };
    Caller_.call(std::move(Call), std::move(Hooks));
  }

  void noteCold(const EndpointId &Id, const std::string &Millis) {
    constexpr int Decimal = 10;
    long Remaining = std::strtol(Millis.c_str(), nullptr, Decimal);
    Fleet_.noteCold(Id, std::chrono::milliseconds(Remaining));
  }

  void record(const RequestRecord &R) {
    Log_.info("Request ended.", detail::logFieldsOf(R));
    if (!R.Forwarded && !R.Route.empty())
      Directory_.record(R.Route);
    RequestSample Sample;
    Sample.Route = R.Route;
    Sample.Outcome = R.Outcome;
    Sample.FirstToken = R.FirstOutput;
    Sample.Total = R.Total;
    Sample.Attempts = R.Sends;
    Sample.ForwardedOut = R.ForwardedToHost;
    Metrics_.record(Sample);
  }

  std::size_t inFlight() const {
    return Callers_.inFlight() + FromHosts_.inFlight();
  }

  void pollDrain(std::function<void()> Done) {
    if (!EndedOpenAt_ && Time_.Now() >= *Context_.StopsAt) {
      EndedOpenAt_ = Time_.Now();
      Log_.info("Open requests ended.", {{"count", Context_.Open.endAll()}});
    }
    bool Written =
        Callers_.unsentBytesHeld() == 0 && FromHosts_.unsentBytesHeld() == 0;
    bool MayStop = EndedOpenAt_ || Time_.Now() >= *Context_.RefusesFrom;
    bool Finished = inFlight() == 0 && Written && MayStop;
    bool Overdue = EndedOpenAt_ && Time_.Now() >= *EndedOpenAt_ + FlushTime;
    if (Finished || Overdue) {
      Log_.info("Host stopped.", {{"cut_off", inFlight()}});
      return Done();
    }
    Time_.After(DrainPoll, [this, Done = std::move(Done)]() mutable {
      pollDrain(std::move(Done));
    });
  }

  void every(Duration Interval, const std::function<void()> &Work) {
    Time_.After(Interval, [Weak = weak_from_this(), Interval, Work] {
      auto Self = Weak.lock();
      if (!Self)
        return;
      // First, so that it goes on even if the work throws.
      Self->every(Interval, Work);
      Work();
    });
  }

  Runtime Time_;
  HttpCaller &Caller_;
  FleetHostSettings Settings_;
  FleetHostHooks Hooks_;
  Logger Log_{"fleet"};
  mutable MetricsRegistry Metrics_;
  HostRegistry Hosts_;
  FleetView Fleet_;
  EntryDirectory Directory_;
  Dispatcher Decisions_;
  PlacementServer LocalPlacer_;
  PlacementClient Placement_;
  RelayContext Context_;
  HttpServer Callers_;
  HttpServer FromHosts_;
  DatagramLink DatagramLink_;
  mutable ConfirmationTracker Confirmations_;
  CustomerLimits Limits_;
  detail::UpdateExchange Exchange_;
  detail::PeerSnapshots Snapshots_{Time_, Caller_, Settings_.HostPort};
  StoreMirror OperatorMirror_;
  StoreMirror EndpointMirror_;
  detail::SourceRanking Sources_{Time_, Hosts_};
  std::shared_ptr<detail::MirrorCatchUp> OperatorCatchUp_ =
      makeCatchUp(MirrorPart::OperatorTables);
  std::shared_ptr<detail::MirrorCatchUp> EndpointCatchUp_ =
      makeCatchUp(MirrorPart::Endpoints);
  std::shared_ptr<detail::PeerConfirmation> Confirmation_ =
      std::make_shared<detail::PeerConfirmation>(
          Time_, Hosts_, Sources_, OperatorMirror_, EndpointMirror_,
          confirmationHooks());
  RecencyCheck Recency_{Time_, recencyHooks()};
  /// Reads of the store by this host, for itself and for others.
  ReadBarrier StoreReads_{Time_, storeReadHooks(), ConfirmingReadInterval};
  detail::ConfirmingRead ConfirmingRead_{Time_, Sources_, OperatorMirror_,
                                         confirmingReadHooks()};
  /// Confirms the tables for the requests of this host.
  ReadBarrier Barrier_{Time_, barrierHooks()};
  detail::MemoryGuard Memory_{
      Time_,
      Settings_.MemoryBytes.value_or(0),
      {[] { return detail::residentBytes(); }, [] { malloc_trim(0); },
       [this](const detail::MemoryChange &Change) { logMemory(Change); }}};
  std::shared_ptr<detail::HostAnnouncer> Announcer_;
  TimePoint StartedAt_ = Time_.Now();
  bool Draining_ = false;
  /// Whether the right to resolve keys ended soon at the latest tick.
  bool KeysEndSoon_ = false;
  TimePoint DrainStarted_{};
  /// When the requests that were still open got their final responses.
  std::optional<TimePoint> EndedOpenAt_;
  TimePoint LastTick_{};
  /// Regions that have the gauge region_load_unknown.
  std::set<RegionId> RegionsShown_;
};

FleetHost::FleetHost(EventLoop &Loop, HttpCaller &Caller,
                     FleetHostSettings Settings, FleetHostHooks Hooks)
    : Impl_(std::make_shared<Impl>(Loop, Caller, std::move(Settings),
                                   std::move(Hooks))) {}
FleetHost::~FleetHost() = default;

Result<void> FleetHost::start() { return Impl_->start(); }
void FleetHost::drain(std::function<void()> Done) {
  Impl_->drain(std::move(Done));
}
bool FleetHost::isReady() const { return Impl_->isReady(); }
std::vector<std::string> FleetHost::entriesFor(const RegionId &Region,
                                               std::string_view Name) const {
  return Impl_->entriesFor(Region, Name);
}
std::string FleetHost::metricsText() const { return Impl_->metricsText(); }
void FleetHost::reload(const FleetHostSettings &Settings) {
  Impl_->reload(Settings);
}

} // namespace celerybeam
