#include "app/daemon.h"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <utility>
#include <vector>

#include "app/internal/adminpages.h"
#include "app/internal/callerpages.h"
#include "app/internal/operatorroutes.h"
#include "app/internal/peerlinks.h"
#include "app/internal/poolrates.h"
#include "app/internal/systemruntime.h"
#include "app/version.h"
#include "core/entryhost.h"
#include "core/listschedule.h"
#include "endpoints/endpointclient.h"
#include "framework/customerkey.h"
#include "gateway/callerserver.h"
#include "gateway/operatorserver.h"
#include "httpclient/httpclient.h"
#include "logging/logger.h"
#include "metrics/metricsregistry.h"
#include "peers/peertransport.h"
#include "platform/platformclient.h"
#include "settings/secretfile.h"

namespace celerybeam {

namespace {

/// Time for sending the last updates to peers before the process ends, and the
/// minimum time for callers' connections to finish.
constexpr Duration FinalSendTime = std::chrono::milliseconds(300);
constexpr Duration BookingQueryTimeout = std::chrono::seconds(5);
constexpr std::chrono::milliseconds NotReadyRetryAfter(1000);

std::chrono::milliseconds toMillis(Duration D) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(D);
}

Result<std::vector<std::string>>
readSecrets(const std::vector<std::string> &Files) {
  std::vector<std::string> Secrets;
  for (const std::string &File : Files) {
    Result<std::string> Secret = readSecretFile(File);
    if (!Secret)
      return tl::unexpected(Secret.error());
    Secrets.push_back(std::move(*Secret));
  }
  return Secrets;
}

std::string secretOrEmpty(const std::string &File) {
  if (File.empty())
    return "";
  return readSecretFile(File).value_or("");
}

// The advertised address; port 0 is replaced by the port in use.
Address advertised(const Address &Listen, const Address &Advertise,
                   std::uint16_t Port) {
  const std::string &Text = Advertise.empty() ? Listen.str() : Advertise.str();
  std::size_t Colon = Text.rfind(':');
  if (Text.substr(Colon + 1) != "0")
    return Address(Text);
  return Address(Text.substr(0, Colon + 1) + std::to_string(Port));
}

PlatformClientOptions platformOptions(const PlatformSettings &Settings) {
  PlatformClientOptions Options;
  bool Tls = !Settings.CaFile.empty();
  for (const Address &Where : Settings.Addresses)
    Options.Addresses.push_back((Tls ? "https://" : "http://") + Where.str());
  Options.Token = secretOrEmpty(Settings.TokenFile);
  Options.CaFile = Settings.CaFile;
  Options.CallTimeout = toMillis(Settings.Timeout);
  return Options;
}

CallerServerOptions callerOptions(const CallerSettings &Settings) {
  CallerServerOptions Options;
  Options.Bind = Settings.Listen;
  Options.Tls = {Settings.Tls.CertificateFile, Settings.Tls.KeyFile};
  Options.HeaderLimit = Settings.MaxHeaders.Bytes;
  Options.BodyLimit = Settings.MaxBody.Bytes;
  Options.ConnectionLimit = Settings.MaxConnections;
  Options.ConnectionLimitPerIp = Settings.MaxConnectionsPerAddress;
  Options.HeadTimeout = toMillis(Settings.HeadTimeout);
  Options.BodyTimeout = toMillis(Settings.BodyTimeout);
  Options.ResponseBufferBytes = Settings.Buffer.Bytes;
  return Options;
}

Error notStarted() {
  return {ErrorKind::NotReady,
          "the entry host is starting; try again shortly",
          NotReadyRetryAfter,
          {}};
}

} // namespace

class Daemon::Impl {
public:
  explicit Impl(DaemonSettings Settings)
      : Settings_(std::move(Settings)), Log_("daemon"),
        Time_(Settings_.Threads.Workers),
        Http_(HttpClientSettings{Settings_.Threads.EndpointClients}),
        Platform_(Http_, platformOptions(Settings_.Platform)),
        Endpoints_(Http_, Time_.hooks().Now) {}

  ~Impl() { stopAll(); }

  Result<void> start() {
    StartedAt_ = Time_.hooks().Now();
    auto Started = loadCustomerKeys()
                       .and_then([this] { return startPeers(); })
                       .and_then([this] { return startCallers(); });
    if (!Started)
      return Started;
    makeCore();
    Started = startOperators();
    if (!Started)
      return Started;
    Core_->start();
    readPlatformList();
    Log_.info("Entry host started.", {{"host", Settings_.Host.Id},
                                      {"callers", Callers_->port()},
                                      {"operators", Operators_->port()},
                                      {"peers", Peers_->port()}});
    return {};
  }

  std::size_t drain() {
    Log_.info("Drain started; requests in flight are finished.",
              {{"in_flight", Core_->requests().inFlight()}});
    TimePoint Started = Time_.hooks().Now();
    Core_->leave([this] { signal(LeaveCompleted_); });
    bool Completed = waitFor(LeaveCompleted_, Settings_.Shutdown.Grace);
    if (!Completed)
      Log_.warning("The grace period ended before all was handed over; raise "
                   "`grace` in [shutdown] or check the platform's store.");
    std::size_t InFlight = Completed ? 0 : Core_->requests().inFlight();
    Duration Used = Time_.hooks().Now() - Started;
    Duration Remaining =
        std::max(Settings_.Shutdown.Grace - Used, FinalSendTime);
    std::size_t Aborted =
        Callers_->stop(toMillis(Completed ? Remaining : FinalSendTime));
    bool NeverSet = false;
    waitFor(NeverSet, FinalSendTime);
    Log_.info("Drain completed.", {{"cut_off", std::max(Aborted, InFlight)}});
    return std::max(Aborted, InFlight);
  }

  void abortDrain() { signal(DrainAborted_); }

  bool waitForDrainRequest(std::chrono::milliseconds Limit) {
    return waitFor(DrainRequested_, Limit);
  }

  std::unique_ptr<CallerServer> Callers_;
  std::unique_ptr<OperatorServer> Operators_;
  std::unique_ptr<PeerTransport> Peers_;

private:
  Result<void> loadCustomerKeys() {
    Result<std::vector<std::string>> Secrets =
        readSecrets(Settings_.Customers.KeySecretFiles);
    if (!Secrets)
      return tl::unexpected(Secrets.error());
    Keys_ = std::make_unique<CustomerKeys>(std::move(*Secrets));
    return {};
  }

  Result<void> startPeers() {
    PeerTransportOptions Options;
    Options.Self = Settings_.Host.Id;
    Options.Number = incarnation();
    Options.Bind = Settings_.Peers.Listen;
    Options.PermittedKeys = Settings_.Peers.PermittedKeys;
    if (!Settings_.Peers.CurveSecretKeyFile.empty()) {
      Result<std::string> Secret =
          readSecretFile(Settings_.Peers.CurveSecretKeyFile);
      if (!Secret)
        return tl::unexpected(Secret.error());
      Result<std::string> Public = publicKeyOf(*Secret);
      if (!Public)
        return tl::unexpected(Public.error());
      Options.Keys = CurveKeyPair{*Public, *Secret};
    }
    Peers_ = std::make_unique<PeerTransport>(
        std::move(Options), [this](const messages::Envelope &Message) {
          if (EntryHost *Core = ActiveCore_.load())
            Core->handle(Message);
        });
    Links_ = std::make_unique<PeerLinks>(*Peers_);
    return Peers_->start();
  }

  Result<void> startCallers() {
    Callers_ = std::make_unique<CallerServer>(callerOptions(Settings_.Callers),
                                              callerHandler());
    return Callers_->start();
  }

  Result<void> startOperators() {
    AdminPageInputs Inputs;
    Inputs.StartedAt = StartedAt_;
    Inputs.PlatformCalls = [this] {
      PlatformCallCounts C = Platform_.counts();
      return C.Gets + C.Puts + C.Watches + C.Leases + C.Lists;
    };
    Inputs.LastPlatformResponseAge = [this] {
      return Time_.hooks().Now() - LastPlatformResponse_.load();
    };
    Inputs.Served = [this] { return Served_.load(); };
    Inputs.Refused = [this] { return Refused_.load(); };
    Inputs.RequestsPerSecond = [this](const PoolName &Pool) {
      return Rates_.rate(Pool, Time_.hooks().Now());
    };
    Inputs.ForwardedShare = [this](const PoolName &Pool) {
      return Rates_.forwardedShare(Pool, Time_.hooks().Now());
    };
    Pages_ =
        std::make_unique<AdminPages>(*Core_, Time_.hooks(), std::move(Inputs));
    OperatorServerOptions Options;
    Options.Bind = Settings_.Operators.Listen;
    Options.BearerToken = secretOrEmpty(Settings_.Operators.TokenFile);
    Options.Tls = {Settings_.Operators.Tls.CertificateFile,
                   Settings_.Operators.Tls.KeyFile};
    Operators_ = std::make_unique<OperatorServer>(
        std::move(Options), [this] { return readiness(); },
        [this] { return Metrics_.text(); });
    addOperatorRoutes(*Operators_, *Pages_, *Core_, Time_.hooks(),
                      [this] { signal(DrainRequested_); });
    return Operators_->start();
  }

  Incarnation incarnation() {
    return static_cast<Incarnation>(Time_.hooks().WallNow().count());
  }

  void makeCore() {
    HostIdentity Self;
    Self.Id = Settings_.Host.Id;
    Self.Region = Settings_.Host.Region;
    Self.Zone = Settings_.Host.Zone;
    Self.CallerAddress =
        advertised(Settings_.Callers.Listen, Settings_.Callers.Advertise,
                   Callers_->port());
    Self.PeerAddress = advertised(Settings_.Peers.Listen,
                                  Settings_.Peers.Advertise, Peers_->port());
    Self.Number = incarnation();
    EntryHostHooks Hooks;
    Hooks.Time = Time_.hooks();
    Hooks.Store = Platform_.hooks();
    Hooks.Peers = Links_->hooks();
    Hooks.Endpoints = Endpoints_.hooks();
    Hooks.Authenticate = [this](std::string_view Authorization) {
      return Keys_->verify(Authorization, Time_.hooks().WallNow());
    };
    Hooks.Tables.Adopted = [this](Revision Number) {
      Log_.info("Tables adopted.", {{"revision", Number}});
    };
    Hooks.Tables.Refused = [this](const Error &Why) {
      Log_.warning("Tables revision refused.", {{"error", Why.Message}});
    };
    Hooks.Events.Ended = [this](const RequestSummary &S) { requestEnded(S); };
    Core_ = std::make_unique<EntryHost>(std::move(Self), std::move(Hooks));
    Links_->setBoard(&Core_->board());
    ActiveCore_.store(Core_.get());
    addMetricSources();
  }

  CallerHandler callerHandler() {
    CallerHandler H;
    H.AcceptHead = [this](const RequestHead &Head) -> Result<AcceptedHead> {
      EntryHost *Core = ActiveCore_.load();
      if (!Core)
        return tl::unexpected(notStarted());
      return Core->requests().acceptHead(Head);
    };
    H.Start = [this](const AcceptedHead &Accepted, std::string Body,
                     ResponseHooks Response) {
      return Core_->requests().start(Accepted, std::move(Body),
                                     std::move(Response));
    };
    H.CallerReady = [this](const RequestId &Id) {
      Core_->requests().callerReady(Id);
    };
    H.CallerGone = [this](const RequestId &Id) {
      Core_->requests().callerGone(Id);
    };
    H.Authenticate = [this](std::string_view Authorization) {
      return Keys_->verify(Authorization, Time_.hooks().WallNow());
    };
    H.Models = [this](const CustomerId &) {
      EntryHost *Core = ActiveCore_.load();
      return Core ? modelsPage(Core->board()) : std::string("{}");
    };
    H.Entries = [this](const RequestHead &Head) -> Result<std::string> {
      EntryHost *Core = ActiveCore_.load();
      if (!Core)
        return tl::unexpected(notStarted());
      return entriesPage(*Core, Head);
    };
    H.RemoteEntries = [this](const RequestHead &Head) {
      EntryHost *Core = ActiveCore_.load();
      return Core ? homeEntries(*Core, Head) : std::string();
    };
    H.BookingStatus = [this](const CustomerId &Customer, const RequestHead &,
                             const Uuid7 &Key,
                             Completion<BookingOutcome> Done) {
      EntryHost *Core = ActiveCore_.load();
      if (!Core) {
        Done(tl::unexpected(notStarted()));
        return;
      }
      Core->bookings().query(Customer, Key,
                             Time_.hooks().Now() + BookingQueryTimeout,
                             std::move(Done));
    };
    H.Ready = [this] { return readiness(); };
    return H;
  }

  Result<void> readiness() const {
    EntryHost *Core = ActiveCore_.load();
    if (!Core)
      return tl::unexpected(notStarted());
    if (Core->ready())
      return {};
    if (Core->board().leaving())
      return makeError(ErrorKind::ShuttingDown, "this entry host is leaving");
    return makeError(ErrorKind::NotReady,
                     "no tables are in force: check that the platform or a "
                     "peer can be reached, or apply tables with `celerybeamctl "
                     "apply`",
                     NotReadyRetryAfter);
  }

  void requestEnded(const RequestSummary &S) {
    bool Succeeded = !S.Failure;
    (Succeeded ? Served_ : Refused_).fetch_add(1);
    RequestSample Sample;
    Sample.Customer = S.Customer;
    Sample.Route = S.Route;
    Sample.Class = S.Class;
    if (S.Failure)
      Sample.Outcome = std::string(errorKindName(*S.Failure));
    Sample.QueueWait = S.QueueWait;
    Sample.FirstToken = S.FirstToken;
    Sample.Total = S.Total;
    Sample.Attempts = S.Attempts;
    Sample.Tokens = S.Tokens;
    Sample.ForwardedOut = S.ForwardedOut;
    Metrics_.record(Sample);
    TablesSnapshot T = Core_->board().tables();
    if (const RouteRow *Route = T->findRoute(S.Route))
      Rates_.count(Route->Pool, S.ForwardedOut, Time_.hooks().Now());
    RequestLog_.info("Request ended.",
                     {{"request", S.Request},
                      {"customer", S.Customer},
                      {"route", S.Route},
                      {"outcome", Sample.Outcome},
                      {"endpoint", S.LastEndpoint},
                      {"attempts", S.Attempts},
                      {"tokens", S.Tokens},
                      {"queue_ms", toMillis(S.QueueWait).count()},
                      {"first_ms", toMillis(S.FirstToken).count()},
                      {"total_ms", toMillis(S.Total).count()},
                      {"sent_away", S.ForwardedOut}});
  }

  void addMetricSources() {
    Metrics_.addSource(
        "celerybeam_requests_in_flight", "Requests that have not ended.",
        [this] { return static_cast<double>(Core_->requests().inFlight()); });
    Metrics_.addSource(
        "celerybeam_revision", "Revision of the tables in force.", [this] {
          return static_cast<double>(Core_->board().tables()->Number);
        });
    Metrics_.addSource("celerybeam_platform_calls_total",
                       "Calls sent to the platform.", [this] {
                         PlatformCallCounts C = Platform_.counts();
                         return static_cast<double>(
                             C.Gets + C.Puts + C.Watches + C.Leases + C.Lists);
                       });
    Metrics_.addSource(
        "celerybeam_platform_failures_total",
        "Calls to the platform without an answer.",
        [this] { return static_cast<double>(Platform_.counts().Failures); });
    Metrics_.addSource("celerybeam_peer_messages_sent_total",
                       "Messages sent to other entry hosts.", [this] {
                         return static_cast<double>(Peers_->counts().Sent);
                       });
    Metrics_.addSource("celerybeam_peer_messages_dropped_total",
                       "Messages dropped before they were sent.", [this] {
                         PeerTransportCounts C = Peers_->counts();
                         return static_cast<double>(
                             C.DroppedFull + C.DroppedLate +
                             C.DroppedUnknownPeer + C.DroppedTooLarge);
                       });
  }

  void readPlatformList() {
    Platform_.list([this](Result<PlatformList> List) {
      if (List) {
        LastPlatformResponse_.store(Time_.hooks().Now());
        Core_->platformListed(*List);
      } else if (PlatformReached_) {
        Log_.warning("Reading the platform's list failed.",
                     {{"error", List.error().Message}});
      }
      PlatformReached_ = List.has_value();
      Time_.hooks().After(listPollInterval(Core_->board()),
                          [this] { readPlatformList(); });
    });
  }

  void signal(bool &Flag) {
    std::lock_guard Lock(Mutex_);
    Flag = true;
    Changed_.notify_all();
  }

  bool waitFor(const bool &Flag, Duration Limit) {
    std::unique_lock Lock(Mutex_);
    Changed_.wait_for(Lock, Limit, [&] { return Flag || DrainAborted_; });
    return Flag;
  }

  // Event sources are stopped before the objects that they call.
  void stopAll() {
    Operators_.reset();
    if (Callers_)
      Callers_->stop(std::chrono::milliseconds(0));
    if (Peers_)
      Peers_->stop();
    Time_.stop();
    ActiveCore_.store(nullptr);
  }

  const DaemonSettings Settings_;
  Logger Log_;
  Logger RequestLog_{"requests"};
  MetricsRegistry Metrics_;
  PoolRates Rates_;
  TimePoint StartedAt_{};
  std::atomic<std::uint64_t> Served_{0};
  std::atomic<std::uint64_t> Refused_{0};
  std::atomic<TimePoint> LastPlatformResponse_{TimePoint()};
  std::atomic<bool> PlatformReached_{true};
  std::unique_ptr<CustomerKeys> Keys_;
  std::unique_ptr<PeerLinks> Links_;
  std::unique_ptr<AdminPages> Pages_;
  std::unique_ptr<EntryHost> Core_;
  std::atomic<EntryHost *> ActiveCore_{nullptr};

  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool LeaveCompleted_ = false;
  bool DrainAborted_ = false;
  bool DrainRequested_ = false;

  // Declared last, so that they are destroyed before the core: their threads
  // call it.
  SystemRuntime Time_;
  HttpClient Http_;
  PlatformClient Platform_;
  EndpointClient Endpoints_;
};

Daemon::Daemon(DaemonSettings Settings)
    : Impl_(std::make_unique<Impl>(std::move(Settings))) {}
Daemon::~Daemon() = default;

Result<void> Daemon::start() { return Impl_->start(); }
std::size_t Daemon::drain() { return Impl_->drain(); }
void Daemon::abortDrain() { Impl_->abortDrain(); }
bool Daemon::waitForDrainRequest(std::chrono::milliseconds Limit) {
  return Impl_->waitForDrainRequest(Limit);
}
std::uint16_t Daemon::callerPort() const { return Impl_->Callers_->port(); }
std::uint16_t Daemon::operatorPort() const { return Impl_->Operators_->port(); }
std::uint16_t Daemon::peerPort() const { return Impl_->Peers_->port(); }

} // namespace celerybeam
