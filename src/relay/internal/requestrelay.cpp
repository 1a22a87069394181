#include "relay/requestrelay.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <set>
#include <utility>

#include "relay/eventsplitter.h"
#include "relay/internal/attempt.h"
#include "relay/internal/responsehead.h"

namespace celerybeam {

namespace {

using detail::Attempt;
using detail::AttemptEnd;

constexpr unsigned BadRequest = 400;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned Misdirected = 421;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned ServerFailure = 500;
constexpr unsigned NotRun = 503;
constexpr unsigned Ok = 200;
constexpr unsigned FirstFailure = 400;

/// Retry-After while no tables are known: a host that has just started receives
/// them within this time.
constexpr Duration TablesRetryAfter = std::chrono::milliseconds(300);
/// Longest time that a request waits for the tables of a host that has just
/// started: two round trips to a store in another region, plus a margin.
constexpr Duration MaxTablesWait = std::chrono::milliseconds(500);
/// Retry-After while the host is short of memory: streams that hold it end
/// within seconds, and other hosts may have some.
constexpr Duration MemoryRetryAfter = std::chrono::seconds(1);
constexpr Duration TablesPoll = std::chrono::milliseconds(20);
/// Longest time that a second run waits for the tables to be confirmed, and the
/// share of the time left that it may take: the run needs the rest.
constexpr Duration MaxConfirmationWait = std::chrono::seconds(1);
constexpr int ConfirmationShare = 2;
/// Retry-After for an unknown route while the tables may be outdated: the route
/// may be new.
constexpr Duration NewRouteRetryAfter = std::chrono::milliseconds(500);
/// Retry-After while customers' keys cannot be resolved, since the store has
/// been away for some seconds.
constexpr Duration ConfirmationRetryAfter = std::chrono::seconds(1);
/// While newer tables are on their way to this host; other hosts have them.
const Refusal OutdatedTables = {std::chrono::milliseconds(300),
                                "tables_outdated"};
/// A repeatable request is tried at another endpoint when its first output is
/// later than this multiple of the prediction plus a margin.
constexpr int StallFactor = 3;
constexpr Duration StallMargin = std::chrono::milliseconds(400);
/// Connecting to a host in another region takes an inter-region round trip.
constexpr Duration RemoteConnectTimeout = std::chrono::milliseconds(600);
constexpr Duration LocalConnectTimeout = std::chrono::milliseconds(300);
/// An idle connection to an endpoint is reused only within this time, and only
/// for repeatable requests, because it may have died unnoticed.
constexpr Duration ReuseForRepeatable = std::chrono::seconds(2);
/// If a time-out fires later than this after its due time, the host itself
/// stalled; a merely busy loop is less late.
constexpr Duration LocalStallMargin = std::chrono::milliseconds(200);
constexpr unsigned LowestPriority = 9;
/// Engines' priorities between customers of neighbouring ranks: one for each
/// rank of a route, of which all from the last on share one.
constexpr unsigned PrioritiesPerCustomerRank = 3;

long millisOf(Duration D) {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(D).count());
}

/// Seconds with three decimals.
std::string secondsText(Duration D) {
  constexpr double MillisPerSecond = 1000;
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                static_cast<double>(millisOf(D)) / MillisPerSecond);
  return Text.data();
}

/// The integer at the start of a text; 0 when there is none.
template <typename T = unsigned> T numberIn(std::string_view Text) {
  T Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

/// A second send of a request beside its first, until one of them has output.
struct Hedge {
  std::shared_ptr<Attempt> Run;
  ServeAt Choice;
  PlacementId Placement;
  std::shared_ptr<EventSplitter> Splitter;
  bool IsSent = false;
  /// Whether the connection was established but the request was not sent.
  bool SendDeclined = false;
};

class Relay : public std::enable_shared_from_this<Relay> {
public:
  Relay(RelayContext &Context, HttpServerRequest Request,
        std::shared_ptr<HttpExchange> Exchange, bool FromHost)
      : Context_(Context), Request_(std::move(Request)),
        Exchange_(std::move(Exchange)), FromHost_(FromHost) {}

  void start() {
    auto Decoded = Context_.Hooks.Decode(Request_);
    if (!Decoded)
      return refuseCaller(BadRequest, Decoded.error().Message, "bad_request");
    Descriptor_ = std::move(*Decoded);
    Descriptor_.Forwarded = FromHost_;
    if (FromHost_)
      takeHostFields();
    Descriptor_.Suspects = suspectsOf(Descriptor_);
    crashes().recordArrival(Descriptor_.Suspects);
    Record_.Id = Descriptor_.Id;
    Record_.Forwarded = FromHost_;
    Exchange_->onDisconnect(
        [Self = shared_from_this()] { Self->callerDisconnected(); });
    OpenRequests::Hooks Hooks;
    Hooks.End = [Weak = weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->hostStops();
    };
    Hooks.Reconsider = [Weak = weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->reconsider();
    };
    OpenEntry_ = Context_.Open.add(std::move(Hooks));
    routeRequest();
  }

private:
  void routeRequest() {
    if (Ended_)
      return;
    if (Context_.Hooks.HasMemory && !Context_.Hooks.HasMemory())
      return refuse({MemoryRetryAfter, "no_memory"});
    // A host that has just started receives the tables within moments.
    if (!Context_.Hooks.HasFleetState())
      return waitForTables();
    if (!mayAct())
      return later(&Relay::routeRequest);
    Tables_ = Context_.Fleet.tables();
    Record_.TablesVersion = Tables_->Version;
    if (Descriptor_.Forwarded && SenderTables_ > Tables_->Version)
      return waitForSendersTables();
    if (areTablesOutdated())
      return refuse(OutdatedTables);
    Route_ = Tables_->find(Descriptor_.Host, Descriptor_.Target);
    if (Route_ == nullptr)
      return noRoute();
    BaseRoute_ = Route_;
    Record_.Route = Route_->Name;
    if (!resolveCustomer())
      return;
    useRouteOf(*Tables_, *Route_);
    if (Context_.RefusesFrom && Context_.Time.Now() >= *Context_.RefusesFrom)
      return refuse({Duration::zero(), "leaving"});
    TimeoutAt_ =
        std::min(Request_.Arrived + Route_->Timeout, Descriptor_.Deadline);
    startTimer();
    passLimit();
  }

  /// Waits until the request has passed its customer's limit. A request that
  /// another host forwards has passed it there.
  void passLimit() {
    if (FromHost_ || Context_.Limits == nullptr || Descriptor_.Customer.empty())
      return attempt();
    using Kind = LimitVerdict::Kind;
    LimitVerdict Verdict = Context_.Limits->pass(Descriptor_, LimitAttempt_);
    switch (Verdict.What) {
    case Kind::Passed:
      return attempt();
    case Kind::Wait:
      return later(&Relay::passLimit, CustomerLimits::PollInterval);
    case Kind::OverLimit:
      return refuse({Verdict.RetryAfter, "over_limit"}, TooManyRequests);
    case Kind::Unavailable:
      return refuse({Verdict.RetryAfter, "limit_unavailable"});
    }
  }

  /// Finds the customer of the request where one is needed. \return false when
  /// the request has been refused instead.
  bool resolveCustomer() {
    if (!Tables_->Customers || Route_->IsPublic)
      return true;
    const Customer *Found =
        Descriptor_.Key ? Tables_->Customers->findByKey(*Descriptor_.Key)
                        : nullptr;
    if (FromHost_ && (Found == nullptr || Found->Name != SenderCustomer_)) {
      // The sender resolved the key by other tables, so it may not be allowed.
      refuse({TablesRetryAfter, "customer_changed"});
      return false;
    }
    if (!FromHost_ && Found != nullptr && Context_.Hooks.MayResolveKey &&
        !Context_.Hooks.MayResolveKey(Request_.Arrived)) {
      waitForConfirmation();
      return false;
    }
    if (Found != nullptr) {
      Descriptor_.Customer = Record_.Customer = Found->Name;
      return true;
    }
    // The key may be new, or the route public by now.
    if (Context_.Hooks.TablesCurrent(Request_.Arrived))
      refuseCaller(Unauthorized, "no customer holds the key", "unknown_key");
    else
      lookUpAgain();
    return false;
  }

  /// Has tables that may be old read again before the request is told that its
  /// route or key does not exist.
  void lookUpAgain() {
    if (std::exchange(LookedUpAgain_, true) || !Context_.Hooks.ReadTables) {
      noteConfirmation("tables_unconfirmed");
      return refuse({NewRouteRetryAfter, "tables_may_be_old"});
    }
    readTables(MaxTablesWait, [Self = shared_from_this()] {
      if (!Self->Ended_)
        Self->routeRequest();
    });
  }

  /// The tables may be confirmed within moments; if the store is away, the key
  /// may have been removed meanwhile.
  void waitForConfirmation() {
    if (Context_.Time.Now() - Request_.Arrived >= MaxTablesWait)
      return refuse({ConfirmationRetryAfter, "tables_unconfirmed"});
    later(&Relay::routeRequest);
  }

  /// Takes rank and homes for the request from a route and its customer. A
  /// customer that was removed meanwhile keeps what it had.
  void useRouteOf(const FleetTables &Tables, const FleetRoute &Route) {
    HomesVersion_ = Tables.Version;
    const Customer *Of = Tables.Customers && !Descriptor_.Customer.empty()
                             ? Tables.Customers->find(Descriptor_.Customer)
                             : nullptr;
    if (Of != nullptr) {
      CustomerHomes_ = Of->Homes;
      Rank_ = Tables.Customers->combinedRank(*Of, Route.Rank);
    }
    HomeRegions Homes = Route.Homes.both(CustomerHomes_);
    unsigned Rank = Rank_.value_or(BaseRoute_->Rank);
    Record_.Homes = Homes;
    if (Homes == Route_->Homes && Rank == Route_->Rank)
      return;
    FleetRoute Changed = *BaseRoute_;
    Changed.Homes = std::move(Homes);
    Changed.Rank = Rank;
    ChangedRoute_ = std::move(Changed);
    Route_ = &*ChangedRoute_;
  }

  /// Follows homes that have changed since the request arrived. A route that
  /// was removed meanwhile keeps its homes.
  void updateHomes() {
    const FleetTables &Newest = *Context_.Fleet.tables();
    if (Newest.Version <= HomesVersion_)
      return;
    const FleetRoute *Found = Newest.route(Route_->Name);
    useRouteOf(Newest, Found != nullptr ? *Found : *BaseRoute_);
  }

  /// The request's priority at engines.
  unsigned enginePriority() const {
    unsigned OfRoute = Route_->Rank % (MaxPartialRank + 1);
    unsigned OfCustomer = customerRankOf(Route_->Rank);
    unsigned Priority = Route_->Rank;
    if (Rank_ && OfCustomer > 0)
      Priority = OfCustomer * PrioritiesPerCustomerRank +
                 std::min(OfRoute, PrioritiesPerCustomerRank - 1);
    return std::min(Priority, LowestPriority);
  }

  /// Replaces the caller's key by the customer's name, where the tables name
  /// customers.
  void setCustomerFields(HttpFields &Fields) const {
    if (!Tables_->Customers)
      return;
    removeField(Fields, Context_.Names.Key);
    removeField(Fields, Context_.Names.Customer);
    if (Target_ && !Descriptor_.Customer.empty())
      setField(Fields, Context_.Names.Customer, Descriptor_.Customer.str());
  }

  void waitForTables() {
    if (Context_.Time.Now() - Request_.Arrived >= MaxTablesWait)
      return refuse({TablesRetryAfter, "no_tables"});
    later(&Relay::routeRequest);
  }

  /// Whether this host may act on its tables, or has to ask first what has
  /// changed while it stood still.
  bool mayAct() const {
    return !Context_.Hooks.MayAct || Context_.Hooks.MayAct();
  }

  bool areTablesOutdated() const {
    return Context_.Hooks.TablesOutdated && Context_.Hooks.TablesOutdated();
  }

  /// Tries a step again after a moment.
  void later(void (Relay::*Step)(), Duration Delay = TablesPoll) {
    Context_.Time.After(Delay, [Self = shared_from_this(), Step] {
      if (!Self->Ended_)
        (Self.get()->*Step)();
    });
  }

  /// The sender acts by newer tables, by which the request may belong to
  /// another route or pool, or may not be repeated. Without them it can only be
  /// refused.
  void waitForSendersTables() {
    if (Context_.Time.Now() - Request_.Arrived >= MaxTablesWait)
      return refuse({TablesRetryAfter, "tables_older_than_senders"});
    if (Context_.Hooks.FetchTables)
      Context_.Hooks.FetchTables(SenderIp_);
    later(&Relay::routeRequest);
  }

  void startTimer() {
    Context_.Time.After(
        std::max(Duration::zero(), TimeoutAt_ - Context_.Time.Now()),
        [Weak = weak_from_this()] {
          if (auto Self = Weak.lock())
            Self->timedOut();
        });
  }

  /// Reads the fields that another entry host adds to a request that it
  /// forwards.
  void takeHostFields() {
    HttpFields &Fields = Request_.Head.Fields;
    if (auto Runs = findField(Fields, RunsField))
      Descriptor_.RunsLeft = numberIn(*Runs);
    if (auto Waited = findField(Fields, WaitedField))
      Descriptor_.WaitedBefore = std::chrono::milliseconds(numberIn(*Waited));
    if (auto Version = findField(Fields, TablesField))
      SenderTables_ = numberIn<std::uint64_t>(*Version);
    if (auto Ip = findField(Fields, HostField))
      SenderIp_ = *Ip;
    if (auto Name = findField(Fields, CustomerField))
      SenderCustomer_ = CustomerId(std::string(*Name));
    if (auto Digest = findField(Fields, KeyField))
      Descriptor_.Key = KeyDigest::fromHex(*Digest);
    Record_.SenderTables = SenderTables_;
    detail::removeHostFields(Fields);
  }

  void noRoute() {
    if (!Context_.Hooks.TablesCurrent(Request_.Arrived))
      return lookUpAgain();
    refuseCaller(NotFound, "no route of this host begins the path", "no_route");
  }

  void refuseCaller(unsigned Status, const std::string &Why,
                    const std::string &Outcome) {
    HttpResponseHead Head{Status, {{"Content-Type", "text/plain"}}};
    markNotRun(Head);
    finishWith(std::move(Head), Why + "\n", Outcome);
  }

  /// Adds the field by which entry hosts tell each other that a request has not
  /// run.
  void markNotRun(HttpResponseHead &Head) const {
    if (FromHost_)
      Head.Fields.push_back({NotRunField, "1"});
  }

  void refuse(const Refusal &Why, unsigned Status = NotRun) {
    Record_.RetryAfter = Why.RetryAfter;
    if (Why.Reason == CrashRefusal)
      noteCrashRefusal();
    HttpResponseHead Head{Status,
                          {{"Content-Type", "text/plain"},
                           {"Retry-After", secondsText(Why.RetryAfter)}}};
    markNotRun(Head);
    finishWith(std::move(Head), "not run: " + Why.Reason + "\n", Why.Reason);
  }

  /// Notes what the request is refused for.
  void noteCrashRefusal() {
    Record_.Parts = partsText(Descriptor_.Parts);
    auto Verdict = crashes().check(Descriptor_.Suspects);
    if (!Verdict)
      return;
    Record_.Attempts +=
        (Record_.Attempts.empty() ? "refused_for=" : "; refused_for=") +
        (Verdict->Part ? "part_" + std::to_string(*Verdict->Part) : "request") +
        " crashes=" + std::to_string(Verdict->Crashes) +
        " latest_ms=" + std::to_string(millisOf(Verdict->SinceLatest)) +
        " trials=" + std::to_string(Verdict->Trials);
  }

  /// Refuses the request if what makes it wait is no longer known to pass.
  void reconsider() {
    if (Ended_ || !Queued_ || isAttemptUnderWay())
      return;
    auto Verdict = crashes().check(Descriptor_.Suspects);
    if (!Verdict || Verdict->MayTry)
      return;
    Context_.Placement.end(LatestPlacement_, {});
    if (provenNotRun(Log_.Execution) && !Streaming_)
      return refuse({Verdict->RetryAfter, CrashRefusal});
    giveUp(false, CrashRefusal);
  }

  CrashTracker &crashes() { return Context_.Decisions.crashes(); }

  /// Sends a final response of this host after the request may have been sent.
  void giveUp(bool TimedOut, const std::string &Why) {
    if (Streaming_)
      return breakStream(Why);
    if (EndpointFailure_)
      return finishWith(std::move(EndpointFailure_->first),
                        EndpointFailure_->second, "endpoint_failed");
    if (provenNotRun(Log_.Execution) && !TimedOut)
      return refuse({Context_.Time.Now() < TimeoutAt_ ? TablesRetryAfter
                                                      : Duration::zero(),
                     Why});
    HttpResponseHead Head{failureStatus(Log_.Execution, TimedOut),
                          {{"Content-Type", "text/plain"}}};
    if (provenNotRun(Log_.Execution))
      markNotRun(Head);
    finishWith(std::move(Head), Why + "\n", Why);
  }

  /// When the response has to be complete: at the time-out, or before this host
  /// stops.
  TimePoint deadline() const {
    return std::min(TimeoutAt_, Context_.StopsAt.value_or(TimeoutAt_));
  }

  void attempt() {
    if (!mayAct())
      return later(&Relay::attempt);
    if (areTablesOutdated())
      return provenNotRun(Log_.Execution) && !Streaming_
                 ? refuse(OutdatedTables)
                 : giveUp(false, OutdatedTables.Reason);
    updateHomes();
    if (provenNotRun(Log_.Execution))
      return place();
    if (areTablesConfirmed())
      return runAgain();
    confirmTables([Self = shared_from_this()] { Self->runAgain(); });
  }

  /// Places the request once more if the tables allow a second run.
  void runAgain() {
    if (Ended_)
      return;
    if (!mayRunAgain()) {
      noteConfirmation(newestAllowsRepeat()
                           ? " may_not_run_again=tables_unconfirmed"
                           : " may_not_run_again=route");
      return giveUp(false, "may_not_run_again");
    }
    noteConfirmation(" again");
    place();
  }

  void place() {
    Descriptor_.Deadline = deadline();
    LatestPlacement_ = Context_.Placement.place(
        Descriptor_, *Route_, Log_,
        [Self = shared_from_this()](PlacementId Id,
                                    const PlacementAnswer &Reply) {
          Self->placed(Id, Reply);
        });
  }

  void placed(PlacementId Id, const PlacementAnswer &Reply) {
    // The reply may arrive in the same turn in which the request ended.
    if (Ended_)
      return Context_.Placement.end(Id, {});
    Log_.Inputs = Reply.Inputs;
    if (const auto *Wait = std::get_if<Enqueue>(&*Reply.Decision)) {
      if (!std::exchange(Queued_, true))
        noteAttempt("held", Wait->Expected);
      return;
    }
    Queued_ = false;
    if (const auto *Local = std::get_if<ServeAt>(&*Reply.Decision))
      return serveAt(Id, *Local);
    if (const auto *Remote = std::get_if<ForwardTo>(&*Reply.Decision))
      return forwardToHost(Id, *Remote);
    Refusal Why = std::get<Refusal>(*Reply.Decision);
    // Another host may serve it at once.
    if (deadline() < TimeoutAt_)
      Why.RetryAfter = Duration::zero();
    if (provenNotRun(Log_.Execution) && !Streaming_)
      return refuse(Why);
    giveUp(false, Why.Reason);
  }

  /// \param ReuseIdleAtMost  see HttpCallRequest. An address to which the
  /// request was sent before gets it on a new connection: on the earlier one, a
  /// late copy of the earlier response would have the right id.
  HttpCallRequest callTo(const Address &To, Duration ReuseIdleAtMost) {
    HttpCallRequest Call;
    Call.To = To;
    bool SentBefore = !SentTo_.insert(To).second;
    Call.ReuseIdleAtMost = SentBefore ? Duration::zero() : ReuseIdleAtMost;
    Call.Head = detail::outgoingHead(Request_.Head, Context_.Names);
    setCustomerFields(Call.Head.Fields);
    Call.Body = Request_.Body;
    return Call;
  }

  void serveAt(PlacementId Id, const ServeAt &Choice) {
    Target_ = Choice;
    ActivePlacement_ = Id;
    Log_.Tried.push_back(Choice.Endpoint.Key);
    ++Log_.Sends;
    HttpCallRequest Call = callToEndpoint(Choice);
    if (!Splitter_->lastId().empty())
      setField(Call.Head.Fields, Context_.Names.LastEventId,
               Splitter_->lastId());
    noteAttempt(Target_->Endpoint.Id.str(), Target_->Expected.ToFirstOutput,
                Target_->Expected);
    watchForStall(Target_->Expected.ToFirstOutput);
    if (Log_.Sends == 1)
      Context_.Hedges.countRequest(Log_.Pool);
    watchForHedge();
    beginCall(std::move(Call));
  }

  HttpCallRequest callToEndpoint(const ServeAt &Choice) {
    const WireNames &Names = Context_.Names;
    HttpCallRequest Call =
        callTo(Choice.Endpoint.Where,
               mayRepeat(Route_->Kind) ? ReuseForRepeatable : Duration::zero());
    setField(Call.Head.Fields, Names.ExpectedEndpoint,
             Choice.Endpoint.Id.str());
    if (Descriptor_.PromptTokens > 0)
      setField(Call.Head.Fields, Names.Priority,
               std::to_string(enginePriority()));
    if (!Choice.CopyFrom.empty())
      setField(Call.Head.Fields, Names.CopyFrom, Choice.CopyFrom.str());
    Call.ConnectTimeout = LocalConnectTimeout;
    return Call;
  }

  void forwardToHost(PlacementId Id, const ForwardTo &Choice) {
    if (!Choice.LoadKnown)
      OfferedPlacement_ = Id;
    Target_.reset();
    PeerIp_ = Choice.Host.Ip;
    PeerRegion_ = Choice.Host.Region;
    Record_.ForwardedToHost = true;
    Log_.RegionsTried.push_back(Choice.Host.Region);
    ++Log_.Sends;
    HttpCallRequest Call = callTo(
        Address(Choice.Host.Ip + ":" + Context_.HostPort),
        // After a loss of contact an idle connection may be dead, and
        // what was sent on it counts as possibly run.
        Choice.LoadKnown || mayRepeat(Route_->Kind) ? HttpCaller::MaxIdleTime
                                                    : Duration::zero());
    if (!Splitter_->lastId().empty())
      setField(Call.Head.Fields, Context_.Names.LastEventId,
               Splitter_->lastId());
    AllottedRuns_ = Dispatcher::runsLeft(Descriptor_, *Route_, Log_);
    Call.ConnectTimeout = RemoteConnectTimeout;
    noteAttempt("via " + Choice.Host.Id.str(), Choice.Expected);
    if (!Choice.LoadKnown)
      Record_.Attempts += " offered";
    beginCall(std::move(Call));
  }

  /// Reports the result of a request that was offered to a region of unknown
  /// load, if this is one.
  void endOffer(const PlacementEnd &End) {
    if (OfferedPlacement_)
      Context_.Placement.end(*std::exchange(OfferedPlacement_, std::nullopt),
                             End);
  }

  /// What a host that refused the request named as the time to retry.
  std::optional<Duration> retryAfterOf(const HttpResponseHead &Head) const {
    auto Text = findField(Head.Fields, "Retry-After");
    if (!Text)
      return std::nullopt;
    double Seconds = 0;
    auto Parsed =
        std::from_chars(Text->data(), Text->data() + Text->size(), Seconds);
    constexpr double MostSeconds = 3600;
    if (Parsed.ec != std::errc() || !(Seconds >= 0 && Seconds <= MostSeconds))
      return std::nullopt;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds));
  }

  void noteAttempt(const std::string &Where, Duration Expected,
                   const Prediction &Predicted = {}) {
    Record_.Attempts += (Record_.Attempts.empty() ? "" : "; ") + Where +
                        " expected_ms=" + std::to_string(millisOf(Expected));
    if (Predicted.UncachedTokens > 0)
      Record_.Attempts +=
          " uncached=" + std::to_string(Predicted.UncachedTokens);
    if (Predicted.CopiedTokens > 0)
      Record_.Attempts += " copied=" + std::to_string(Predicted.CopiedTokens);
  }

  void beginCall(HttpCallRequest Call) {
    GotOutput_ = false;
    SoundRecorded_ = false;
    IsSent_ = false;
    auto Self = shared_from_this();
    detail::AttemptHooks Hooks;
    Hooks.BeforeSend = [Self](HttpRequestHead &Head) {
      return Self->beforeSend(Head);
    };
    Hooks.Events = [Self](std::string_view Events) {
      Self->takeEvents(Events);
    };
    Hooks.AvailabilityReported =
        [Self](const ReportedAvailability &Availability) {
          Self->reportAvailability(Availability, Self->Target_);
        };
    Hooks.End = [Self](AttemptEnd End) { Self->attemptEnded(End); };
    Attempt_ =
        std::make_shared<Attempt>(Context_, Descriptor_.Id, !Target_,
                                  isStream(Route_->Kind), *Splitter_, Hooks);
    Attempt_->start(std::move(Call));
  }

  /// Whether a chosen endpoint may still receive the request. It may have
  /// begun to shut down, or its zone may have been evacuated, while the
  /// connection was made.
  bool isUsable(const ServeAt &Choice) const {
    const auto &Usable =
        Context_.Fleet.usable(Choice.Endpoint.Pool, Choice.Endpoint.Region);
    return std::any_of(Usable.begin(), Usable.end(), [&](const auto &E) {
      return E->Key == Choice.Endpoint.Key;
    });
  }

  /// Whether the region of the current attempt is a home of the request.
  bool isSentHome() const {
    return Route_->Homes.allows(Target_ ? Context_.Hosts.self().Region
                                        : PeerRegion_);
  }

  bool isPastDeadline() const { return Context_.Time.Now() >= deadline(); }

  /// Checks the request again before it is sent, because time may have passed
  /// since the decision, for example while the host stalled.
  bool beforeSend(HttpRequestHead &Head) {
    SendDeclined_ =
        Ended_ || isPastDeadline() || (Target_ && !isUsable(*Target_));
    CallerGone_ = !SendDeclined_ && !Exchange_->isCallerWaiting();
    SendDeclined_ = SendDeclined_ || CallerGone_;
    if (SendDeclined_)
      return false;
    SendDeclined_ = !mayAct();
    if (SendDeclined_) {
      Record_.Attempts += " tables_unconfirmed";
      undoChoice();
      return false;
    }
    SendDeclined_ = areTablesOutdated();
    if (SendDeclined_) {
      Record_.Attempts += " tables_outdated";
      return false;
    }
    SendDeclined_ = !provenNotRun(Log_.Execution) && !newestAllowsRepeat();
    if (SendDeclined_) {
      Record_.Attempts += " kind_changed";
      return false;
    }
    updateHomes();
    SendDeclined_ = !isSentHome();
    if (SendDeclined_) {
      Record_.Attempts += " outside_homes";
      return false;
    }
    SendDeclined_ = !passesCrashCheck();
    if (SendDeclined_)
      return false;
    TimePoint Now = Context_.Time.Now();
    detail::setTimeLeft(Head, Context_.Names, deadline() - Now);
    if (HasArrived_ && !std::exchange(RetryTaken_, false) && !takeRetry()) {
      SendDeclined_ = BudgetUsedUp_ = true;
      return false;
    }
    if (!Target_)
      setHostFields(Head);
    IsSent_ = MayBeRunning_ = true;
    return true;
  }

  /// Lets the endpoint or region of an attempt that was not sent be chosen
  /// again.
  void undoChoice() {
    if (Target_)
      Log_.Tried.pop_back();
    else
      Log_.RegionsTried.pop_back();
  }

  /// Whether the request may be sent as far as crashes are concerned; if it is
  /// a trial, begins that. Endpoints may have crashed since it was placed.
  bool passesCrashCheck() {
    auto Verdict = crashes().check(Descriptor_.Suspects);
    if (!Verdict)
      return true;
    // The other host would send it as its own trial.
    if (!Target_ || !Verdict->MayTry) {
      Record_.Attempts += " not_sent_after_crashes";
      return false;
    }
    crashes().beginTrial(Verdict->Suspect);
    Record_.Attempts += " trial=" + std::to_string(Verdict->Trials + 1);
    return true;
  }

  /// Adds the fields that another entry host reads with takeHostFields.
  void setHostFields(HttpRequestHead &Head) {
    setField(Head.Fields, RunsField, std::to_string(AllottedRuns_));
    setField(Head.Fields, WaitedField,
             std::to_string(millisOf(Context_.Time.Now() - Request_.Arrived)));
    setField(Head.Fields, TablesField, std::to_string(HomesVersion_));
    setField(Head.Fields, HostField, Context_.Hosts.self().Ip);
    if (Route_->Homes.isRestricted())
      setField(Head.Fields, HomesField, Route_->Homes.text());
    if (Descriptor_.Customer.empty() || !Descriptor_.Key)
      return;
    setField(Head.Fields, CustomerField, Descriptor_.Customer.str());
    setField(Head.Fields, KeyField, Descriptor_.Key->hex());
  }

  void reportAvailability(const ReportedAvailability &Availability,
                          const std::optional<ServeAt> &By) {
    if (By && Context_.Hooks.EndpointReported)
      Context_.Hooks.EndpointReported({By->Endpoint.Key, Availability.Leaving,
                                       Availability.BackOffFor,
                                       Context_.Hosts.self().Ip});
  }

  void watchForStall(Duration Expected) {
    if (!mayRepeat(Route_->Kind))
      return;
    Context_.Time.After(Expected * StallFactor + StallMargin,
                        [Weak = weak_from_this(), Number = Log_.Sends] {
                          auto Self = Weak.lock();
                          if (Self && !Self->Ended_ &&
                              Self->Log_.Sends == Number && !Self->GotOutput_)
                            Self->seekAlternative();
                        });
  }

  /// Requests an alternative placement while the current attempt continues,
  /// since that may still succeed.
  void seekAlternative() {
    if (areTablesConfirmed())
      return findAlternative();
    if (!Target_ || !newestAllowsRepeat())
      return;
    confirmTables([Self = shared_from_this(), Number = Log_.Sends] {
      if (!Self->Ended_ && Self->Log_.Sends == Number && !Self->GotOutput_)
        Self->findAlternative();
    });
  }

  void findAlternative() {
    if (!Target_ || !mayRunAgain())
      return;
    updateHomes();
    Descriptor_.Deadline = deadline();
    if (!Hedge_ || !Hedge_->IsSent)
      dropHedge();
    AttemptLog After = Log_;
    After.Execution = ExecutionState::Unknown;
    After.Runs += Hedge_ ? 2 : 1;
    if (Dispatcher::runsLeft(Descriptor_, *Route_, After) == 0)
      return;
    SeekingAlternative_ = true;
    PlacementId Id = Context_.Placement.place(
        Descriptor_, *Route_, After,
        [Self = shared_from_this(), After](PlacementId Found,
                                           const PlacementAnswer &Reply) {
          Self->alternativeFound(Found, After, Reply);
        });
    // The callback may already have run.
    if (SeekingAlternative_)
      Alternative_ = Id;
  }

  void alternativeFound(PlacementId Id, const AttemptLog &After,
                        const PlacementAnswer &Reply) {
    bool Waits = std::holds_alternative<Enqueue>(*Reply.Decision);
    if (Waits)
      return;
    Alternative_.reset();
    SeekingAlternative_ = false;
    const auto *Local = std::get_if<ServeAt>(&*Reply.Decision);
    const auto *Remote = std::get_if<ForwardTo>(&*Reply.Decision);
    bool Wanted = (Local != nullptr || Remote != nullptr) && !Ended_ &&
                  Target_ && !GotOutput_ && Log_.Sends == After.Sends &&
                  mayAct() && mayRunAgain() && mayRetry(After) && takeRetry();
    if (!Wanted)
      return Context_.Placement.end(Id, {});
    Record_.Attempts += " stalled";
    noteConfirmation(" again");
    noteReceived();
    dropHedge();
    Attempt_->cancel();
    endPlacement(AttemptOutcome::Failed);
    Log_ = After;
    HasArrived_ = RetryTaken_ = true;
    if (Local != nullptr)
      return serveAt(Id, *Local);
    forwardToHost(Id, *Remote);
  }

  void watchForHedge() {
    if (HedgeRequested_ || !mayRepeat(Route_->Kind))
      return;
    auto Delay =
        Context_.Hedges.delay(Log_.Pool, Target_->Expected.ToFirstOutput);
    if (!Delay)
      return;
    Context_.Time.After(*Delay, [Weak = weak_from_this(), Number = Log_.Sends] {
      auto Self = Weak.lock();
      if (Self && Self->Log_.Sends == Number)
        Self->seekHedge();
    });
  }

  /// Whether the current attempt awaits its first output, so that the request
  /// may be sent a second time beside it if the tables allow that. Once a part
  /// of the stream was delivered, only one run can continue it.
  bool isHedgeWanted() {
    return !Ended_ && !GotOutput_ && !Streaming_ && Target_ && IsSent_ &&
           isAttemptUnderWay() && !SeekingAlternative_ && mayAct() &&
           Context_.Hedges.canTake(Log_.Pool);
  }

  bool mayHedge() { return isHedgeWanted() && mayRunAgain(); }

  void seekHedge() {
    if (!isHedgeWanted())
      return;
    if (areTablesConfirmed())
      return findHedge();
    confirmTables([Self = shared_from_this(), Number = Log_.Sends] {
      if (Self->Log_.Sends == Number)
        Self->findHedge();
    });
  }

  /// Requests a placement for a hedge at an endpoint with a free slot.
  void findHedge() {
    if (!mayHedge())
      return;
    updateHomes();
    Descriptor_.Deadline = deadline();
    if (!Context_.Decisions.mayHedge(Descriptor_, *Route_, Log_,
                                     Target_->Expected.ToFirstOutput))
      return;
    HedgeRequested_ = SeekingHedge_ = true;
    RequestDescriptor Second = Descriptor_;
    Second.OnlyFree = true;
    AttemptLog Log = Log_;
    PlacementId Id = Context_.Placement.place(
        Second, *Route_, Log,
        [Self = shared_from_this(),
         Number = Log_.Sends](PlacementId Found, const PlacementAnswer &Reply) {
          Self->hedgePlaced(Found, Number, Reply);
        });
    // The callback may already have run.
    if (SeekingHedge_)
      HedgePlacement_ = Id;
  }

  void hedgePlaced(PlacementId Id, unsigned Number,
                   const PlacementAnswer &Reply) {
    bool IsSought = std::exchange(SeekingHedge_, false);
    HedgePlacement_.reset();
    const auto *Local = std::get_if<ServeAt>(&*Reply.Decision);
    if (Local == nullptr || !IsSought || !mayHedge() || Log_.Sends != Number)
      return Context_.Placement.end(Id, {});
    startHedge(Id, *Local);
  }

  void startHedge(PlacementId Id, const ServeAt &Choice) {
    noteAttempt("hedge " + Choice.Endpoint.Id.str(),
                Choice.Expected.ToFirstOutput, Choice.Expected);
    noteConfirmation("");
    auto Self = shared_from_this();
    detail::AttemptHooks Hooks;
    Hooks.BeforeSend = [Self](HttpRequestHead &Head) {
      return Self->Hedge_ ? Self->beforeHedge(Head) : Self->beforeSend(Head);
    };
    Hooks.Events = [Self](std::string_view Events) {
      if (Self->Hedge_)
        Self->hedgeIsFirst();
      Self->takeEvents(Events);
    };
    Hooks.AvailabilityReported =
        [Self, Choice](const ReportedAvailability &Availability) {
          Self->reportAvailability(Availability, Choice);
        };
    Hooks.End = [Self](AttemptEnd End) {
      Self->Hedge_ ? Self->hedgeEnded(End) : Self->attemptEnded(End);
    };
    Hedge_ = Hedge{nullptr, Choice, Id, std::make_shared<EventSplitter>()};
    Hedge_->Run = std::make_shared<Attempt>(
        Context_, Descriptor_.Id, false, isStream(Route_->Kind),
        *Hedge_->Splitter, std::move(Hooks));
    Hedge_->Run->start(callToEndpoint(Choice));
  }

  /// Checks the hedge again before it is sent, and takes it from its budgets.
  bool beforeHedge(HttpRequestHead &Head) {
    Hedge_->SendDeclined = true;
    updateHomes();
    bool MaySend = mayHedge() && !isPastDeadline() &&
                   isUsable(Hedge_->Choice) && isSentHome() &&
                   Exchange_->isCallerWaiting() &&
                   !crashes().check(Descriptor_.Suspects) && takeRetry() &&
                   Context_.Hedges.take(Log_.Pool);
    if (!MaySend) {
      Record_.Attempts += " hedge_not_sent";
      return false;
    }
    detail::setTimeLeft(Head, Context_.Names, deadline() - Context_.Time.Now());
    Hedge_->SendDeclined = false;
    Hedge_->IsSent = true;
    Log_.Tried.push_back(Hedge_->Choice.Endpoint.Key);
    ++Log_.Sends;
    watchForStall(Hedge_->Choice.Expected.ToFirstOutput);
    return true;
  }

  /// Cancels the current attempt, as the hedge has output first. It may have
  /// run.
  void hedgeIsFirst() {
    Record_.Attempts += " cancelled";
    noteReceived();
    observeForHedges();
    Attempt_->cancel();
    dropAlternative();
    Context_.Placement.end(ActivePlacement_, {});
    countRun();
    adoptHedge();
    Record_.Attempts += "; hedge first";
  }

  /// Records how long the current attempt has taken. Predictions do not hold
  /// for cold endpoints.
  void observeForHedges() {
    if (Target_ && !Target_->Cold)
      Context_.Hedges.observe(Log_.Pool, Attempt_->sinceSent(),
                              Target_->Expected.ToFirstOutput);
  }

  /// Counts a run of which the outcome is not known.
  void countRun() {
    Log_.Execution = combine(Log_.Execution, ExecutionState::Unknown);
    Log_.Runs += 1;
    HasArrived_ = true;
  }

  /// Makes the hedge the current attempt.
  void adoptHedge() {
    Hedge Adopted = std::move(*Hedge_);
    Hedge_.reset();
    Target_ = std::move(Adopted.Choice);
    LatestPlacement_ = ActivePlacement_ = Adopted.Placement;
    Attempt_ = std::move(Adopted.Run);
    Splitter_ = std::move(Adopted.Splitter);
    IsSent_ = Adopted.IsSent;
    MayBeRunning_ = MayBeRunning_ || Adopted.IsSent;
    GotOutput_ = SoundRecorded_ = false;
    if (!Adopted.IsSent) {
      Log_.Tried.push_back(Target_->Endpoint.Key);
      ++Log_.Sends;
      watchForStall(Target_->Expected.ToFirstOutput);
    }
  }

  /// Goes on with the hedge after the current attempt has failed. \return
  /// whether there is one.
  bool continueWithHedge() {
    if (!Hedge_)
      return false;
    adoptHedge();
    Record_.Attempts += "; hedge remains";
    return true;
  }

  void hedgeEnded(AttemptEnd End) {
    const HttpResponseHead &Head = Hedge_->Run->head();
    bool IsAnswer = End == AttemptEnd::StreamEnded ||
                    (End == AttemptEnd::Answered && !isFailure(Head.Status));
    if (IsAnswer) {
      hedgeIsFirst();
      return attemptEnded(End);
    }
    Hedge Lost = std::move(*Hedge_);
    Hedge_.reset();
    Record_.Attempts += " hedge_failed" + Lost.Run->describeReceived();
    Context_.Placement.end(Lost.Placement, {outcomeOf(Lost, End)});
  }

  /// Records how a hedge without output ended. \return the outcome for its
  /// endpoint; empty if that did not get the request.
  std::optional<AttemptOutcome> outcomeOf(const Hedge &Lost, AttemptEnd End) {
    if (End == AttemptEnd::NotConnected) {
      bool LocalCause =
          Lost.SendDeclined ||
          Lost.Run->sinceSent() > LocalConnectTimeout + LocalStallMargin;
      return LocalCause ? std::nullopt : std::optional(AttemptOutcome::Broken);
    }
    if (End == AttemptEnd::NotRun)
      return outcomeOfRefusal(*Lost.Run, Lost.Choice);
    countRun();
    if (End != AttemptEnd::Broken)
      return AttemptOutcome::Failed;
    recordBreak(*Lost.Run, Lost.Choice, false);
    return AttemptOutcome::Broken;
  }

  /// The outcome for an endpoint that refused the request as not run.
  AttemptOutcome outcomeOfRefusal(const Attempt &Run, const ServeAt &Choice) {
    if (Run.head().Status == Misdirected) {
      Context_.Fleet.noteMoved(Choice.Endpoint.Id);
      return AttemptOutcome::Moved;
    }
    return Run.wantsBackOff() ? AttemptOutcome::Declined
                              : AttemptOutcome::Failed;
  }

  /// Cancels the hedge, or the request for its placement.
  void dropHedge() {
    SeekingHedge_ = false;
    if (HedgePlacement_)
      Context_.Placement.end(*std::exchange(HedgePlacement_, std::nullopt), {});
    if (!Hedge_)
      return;
    Hedge Lost = std::move(*Hedge_);
    Hedge_.reset();
    Record_.Attempts += " hedge_cancelled" + Lost.Run->describeReceived();
    Lost.Run->cancel();
    if (Lost.IsSent)
      countRun();
    Context_.Placement.end(Lost.Placement, {});
  }

  /// Whether a response with this status counts as a failure. Forwarded to the
  /// caller, a status that promises that a request has not run would be false.
  static bool isFailure(unsigned Status) {
    return Status >= ServerFailure || detail::promisesNotRun(Status);
  }

  /// Whether the tables allow a second run. Those that may lack a change from
  /// before the request arrived do not: a first run cannot wait for better
  /// ones, a second one can be left.
  bool mayRunAgain() const {
    return areTablesConfirmed() && newestAllowsRepeat();
  }

  bool newestAllowsRepeat() const {
    const FleetRoute *Newest =
        Context_.Fleet.tables()->find(Descriptor_.Host, Descriptor_.Target);
    return Newest == nullptr || mayRepeat(Newest->Kind);
  }

  /// Whether the tables include all changes from before the request arrived.
  bool areTablesConfirmed() const {
    return !Context_.Hooks.TablesInclude ||
           Context_.Hooks.TablesInclude(Request_.Arrived);
  }

  /// Has the tables confirmed for a second run. \param Then  called whether or
  /// not they are; the request may have ended meanwhile.
  void confirmTables(std::function<void()> Then) {
    if (!Context_.Hooks.ReadTables)
      return Then();
    Duration Left =
        std::max(Duration::zero(), deadline() - Context_.Time.Now());
    readTables(std::min(MaxConfirmationWait, Left / ConfirmationShare),
               std::move(Then));
  }

  void readTables(Duration AtMost, std::function<void()> Then) {
    ++Confirming_;
    Context_.Hooks.ReadTables(
        Request_.Arrived, AtMost,
        [Self = shared_from_this(), Then = std::move(Then)](bool) {
          --Self->Confirming_;
          Then();
        });
  }

  /// Notes what was decided by the tables, and how old their confirmation is.
  void noteConfirmation(const std::string &Decision) {
    Record_.Attempts += Decision;
    auto Age = Context_.Hooks.TablesAge ? Context_.Hooks.TablesAge()
                                        : std::optional<Duration>();
    if (Age)
      Record_.Attempts += " confirmed_ms=" + std::to_string(millisOf(*Age));
  }

  /// Decides whether to send the request once more, and notes the decision.
  bool mayRetry(const AttemptLog &Log) {
    RetryDecision Retry =
        Context_.Decisions.mayRetry(Descriptor_, *Route_, Log);
    Record_.Attempts += describe(Retry);
    return Retry.isAllowed();
  }

  /// Takes the send that is about to happen from the retry budget.
  bool takeRetry() {
    RetryDecision Retry = Context_.Decisions.takeRetry(Log_.Pool);
    if (!Retry.isAllowed())
      Record_.Attempts += describe(Retry);
    return Retry.isAllowed();
  }

  void dropAlternative() {
    SeekingAlternative_ = false;
    if (Alternative_)
      Context_.Placement.end(*std::exchange(Alternative_, std::nullopt), {});
  }

  void firstOutput() {
    if (std::exchange(GotOutput_, true))
      return;
    OutputAt_ = Context_.Time.Now();
    endOffer({AttemptOutcome::Answered});
    if (Target_)
      crashes().recordAlive(Target_->Endpoint.Key);
    if (Record_.FirstOutput == Duration::zero())
      Record_.FirstOutput = Context_.Time.Now() - Request_.Arrived;
    if (Target_)
      Context_.Placement.reportFirstOutput(
          ActivePlacement_, {Attempt_->sinceSent(), Attempt_->slowness()});
    observeForHedges();
    dropHedge();
    dropAlternative();
  }

  void takeEvents(std::string_view Events) {
    firstOutput();
    TimePoint Now = Context_.Time.Now();
    if (Streaming_)
      Record_.LongestGap = std::max(Record_.LongestGap, Now - LastEventsAt_);
    LastEventsAt_ = Now;
    if (Target_)
      crashes().recordAlive(Target_->Endpoint.Key);
    if (!SoundRecorded_ && crashes().survives(OutputAt_))
      recordSound(OutputAt_);
    if (!Streaming_) {
      Streaming_ = true;
      Exchange_->beginStream(callerHead());
    }
    Exchange_->streamPiece(Events);
  }

  /// The endpoint's response head in the form that the caller receives.
  HttpResponseHead callerHead() {
    HttpResponseHead Head = Attempt_->head();
    removeConnectionFields(Head.Fields);
    detail::removeHostFields(Head.Fields);
    // Load reports are meant for entry hosts only.
    if (!FromHost_)
      removeField(Head.Fields, Context_.Names.Load);
    return Head;
  }

  void endPlacement(AttemptOutcome Outcome) {
    if (!Target_)
      return;
    Target_.reset();
    Context_.Placement.end(ActivePlacement_, {Outcome});
  }

  void attemptEnded(AttemptEnd End) {
    if (Ended_)
      return;
    dropAlternative();
    switch (End) {
    case AttemptEnd::NotConnected:
      if (CallerGone_)
        return callerDisconnected();
      if (isPastDeadline())
        return timedOut();
      Record_.Attempts += " not_connected after_ms=" +
                          std::to_string(millisOf(Attempt_->sinceSent()));
      notConnected();
      if (continueWithHedge())
        return;
      if (BudgetUsedUp_)
        return giveUp(false, "retry_budget_used_up");
      return attempt();
    case AttemptEnd::Broken:
      Record_.Attempts += Splitter_->outOfOrder() ? " out_of_order" : " broken";
      noteReceived();
      return attemptBroken();
    case AttemptEnd::NotRun:
      return refusedByPeer();
    case AttemptEnd::Answered:
    case AttemptEnd::StreamEnded:
      noteReceived();
      return responseReceived();
    }
  }

  void noteReceived() { Record_.Attempts += Attempt_->describeReceived(); }

  /// Reports an endpoint or host that could not be reached. A failure that
  /// comes much later than the connect time-out allows is due to a stall of
  /// this host and does not indicate a fault of the other end.
  void notConnected() {
    Duration Allowed = Target_ ? LocalConnectTimeout : RemoteConnectTimeout;
    bool LocalCause = std::exchange(SendDeclined_, false) ||
                      Attempt_->sinceSent() > Allowed + LocalStallMargin;
    if (LocalCause)
      endOffer({});
    else
      endOffer({AttemptOutcome::Broken});
    if (!LocalCause && Target_)
      return endPlacement(AttemptOutcome::Broken);
    if (!LocalCause)
      return Context_.Hosts.unreachable(PeerIp_);
    if (Target_)
      Context_.Placement.end(ActivePlacement_, {});
    Target_.reset();
  }

  void refusedByPeer() {
    MayBeRunning_ = false;
    unsigned Status = Attempt_->head().Status;
    Record_.Attempts += " refused=" + std::to_string(Status);
    Log_.Execution = combine(Log_.Execution, ExecutionState::RefusedByEndpoint);
    bool ByHost = !Target_;
    endOffer({AttemptOutcome::Declined, retryAfterOf(Attempt_->head())});
    bool Arrived =
        !ByHost || findField(Attempt_->head().Fields, ArrivedField).has_value();
    // What was taken for a send that reached no endpoint is left for the next.
    RetryTaken_ = !Arrived && HasArrived_;
    HasArrived_ = HasArrived_ || Arrived;
    if (Target_)
      endPlacement(outcomeOfRefusal(*Attempt_, *Target_));
    if (continueWithHedge())
      return;
    if (!Arrived || mayRetry(Log_))
      return attempt();
    giveUp(false, "refused_by_endpoint");
  }

  void attemptBroken() {
    Log_.Execution = combine(Log_.Execution, ExecutionState::Unknown);
    Log_.Runs += Target_ ? 1 : AllottedRuns_;
    HasArrived_ = true;
    endOffer({AttemptOutcome::Broken});
    if (Target_)
      recordBreak(*Attempt_, *Target_, GotOutput_);
    endPlacement(AttemptOutcome::Broken);
    if (continueWithHedge())
      return;
    if (Splitter_->mayResume() && mayRetry(Log_))
      return attempt();
    giveUp(false, "endpoint_broke_off");
  }

  /// Records that the endpoint broke off, if that may be a crash under this
  /// request.
  void recordBreak(const Attempt &Run, const ServeAt &Choice, bool GotOutput) {
    TimePoint Now = Context_.Time.Now();
    PeerClose Peer = Run.progress().Peer;
    const FleetEndpoint *Known = Context_.Fleet.endpoint(Choice.Endpoint.Key);
    bool IsLeaving =
        Known == nullptr || Known->Leaving || Known->EndsAt.has_value();
    bool MayBeCrash =
        (Peer == PeerClose::Closed || Peer == PeerClose::Reset) && !IsLeaving;
    bool IsSound = GotOutput && crashes().survives(OutputAt_);
    if (MayBeCrash && !IsSound)
      crashes().recordBreak(Choice.Endpoint.Key, Descriptor_.Suspects,
                            Now - Run.sinceSent());
    Record_.Parts = partsText(Descriptor_.Parts);
    Record_.Attempts +=
        " broke_ms=" + std::to_string(millisOf(Run.sinceSent()));
    if (GotOutput)
      Record_.Attempts +=
          " output_ms=" + std::to_string(millisOf(Now - OutputAt_));
    Record_.Attempts +=
        " crashes=" + std::to_string(crashes().crashesOf(Descriptor_.Suspects));
  }

  void recordSound(TimePoint BegunAt) {
    SoundRecorded_ = true;
    crashes().recordSound(Descriptor_.Suspects, BegunAt);
  }

  void responseReceived() {
    const HttpResponseHead &Head = Attempt_->head();
    bool Signed = findField(Head.Fields, Context_.Names.Signature).has_value();
    Log_.Execution = combine(Log_.Execution, Signed ? ExecutionState::Ran
                                                    : ExecutionState::Unknown);
    Log_.Runs += Target_ ? 1 : reportedRuns();
    HasArrived_ = true;
    if (Attempt_->isEvents())
      return streamEnded();
    bool FalseNotRun = detail::promisesNotRun(Head.Status);
    bool Failed = isFailure(Head.Status);
    if (!Failed) {
      firstOutput();
      // When it began to respond is not known.
      recordSound(Context_.Time.Now() - Attempt_->sinceSent());
    }
    // Also a failure of an endpoint shows that the region serves.
    endOffer({AttemptOutcome::Answered});
    endPlacement(Failed ? AttemptOutcome::Failed : AttemptOutcome::Answered);
    Record_.Attempts += " status=" + std::to_string(Head.Status);
    if (Streaming_ && !Failed)
      return breakStream("endpoint_failed");
    if (!Failed)
      return finishWith(callerHead(), Attempt_->takeBody(), "answered");
    if (Signed && !Streaming_ && !FalseNotRun)
      EndpointFailure_ = {callerHead(), Attempt_->takeBody()};
    if (continueWithHedge())
      return;
    if (mayRepeat(Route_->Kind) && mayRetry(Log_))
      return attempt();
    giveUp(false, "endpoint_failed");
  }

  /// The number of endpoints on which the request has run according to the
  /// other entry host; all allotted runs when it does not report one.
  unsigned reportedRuns() const {
    auto Runs = findField(Attempt_->head().Fields, RunsField);
    return Runs ? numberIn(*Runs) : AllottedRuns_;
  }

  void streamEnded() {
    dropHedge();
    endOffer({AttemptOutcome::Answered});
    recordSound(GotOutput_ ? OutputAt_
                           : Context_.Time.Now() - Attempt_->sinceSent());
    endPlacement(AttemptOutcome::Answered);
    if (!Streaming_)
      return finishWith(callerHead(), Splitter_->partial(), "answered");
    Exchange_->streamPiece(Splitter_->partial());
    Exchange_->endStream();
    Record_.SentAs = "chunks";
    done(Ok, "answered");
  }

  void breakStream(const std::string &Why) {
    Exchange_->abort();
    Record_.SentAs = "cut";
    done(0, "stream_broken_" + Why);
  }

  void timedOut() {
    if (Ended_)
      return;
    if (isAttemptUnderWay())
      Log_.Execution = combine(Log_.Execution, ExecutionState::Unknown);
    endOffer({AttemptOutcome::Failed});
    cancelAttempts(GotOutput_ ? AttemptOutcome::Answered
                              : AttemptOutcome::Failed);
    giveUp(true, "timeout");
  }

  /// Gives the final response that is true of what has happened so far.
  void hostStops() {
    if (Ended_)
      return;
    if (isAttemptUnderWay())
      Log_.Execution = combine(Log_.Execution, ExecutionState::Unknown);
    cancelAttempts(AttemptOutcome::Answered);
    if (provenNotRun(Log_.Execution) && !Streaming_ && !EndpointFailure_)
      return refuse({Duration::zero(), "leaving"});
    giveUp(false, "leaving");
  }

  void callerDisconnected() {
    if (Ended_)
      return;
    Record_.LeftWhile = phase();
    cancelAttempts(AttemptOutcome::Answered);
    done(0, "caller_left");
  }

  /// What the request is waiting for, for the log.
  const char *phase() const {
    if (CallerGone_)
      return "connecting";
    if (isAttemptUnderWay())
      return IsSent_ ? "sent" : "connecting";
    if (Confirming_ > 0)
      return "confirming";
    return Queued_ ? "queued" : "placing";
  }

  /// Whether an attempt is in progress.
  bool isAttemptUnderWay() const { return Attempt_ && Attempt_->isUnderWay(); }

  void cancelAttempts(AttemptOutcome Outcome) {
    dropHedge();
    if (isAttemptUnderWay()) {
      noteReceived();
      Attempt_->cancel();
    }
    dropAlternative();
    endOffer({});
    endPlacement(Outcome);
    // The latest placement may still be requested or queued.
    Context_.Placement.end(LatestPlacement_, {});
  }

  void finishWith(HttpResponseHead Head, const std::string &Body,
                  const std::string &Outcome) {
    dropHedge();
    unsigned Status = Head.Status;
    if (Status >= FirstFailure && !Descriptor_.Id.empty() &&
        !findField(Head.Fields, Context_.Names.RequestId))
      Head.Fields.push_back({Context_.Names.RequestId, Descriptor_.Id.str()});
    if (FromHost_)
      setField(Head.Fields, RunsField, std::to_string(Log_.Runs));
    if (FromHost_ && HasArrived_)
      setField(Head.Fields, ArrivedField, "1");
    Exchange_->respond(std::move(Head), Body);
    Record_.SentAs = "length";
    done(Status, Outcome);
  }

  void done(unsigned Status, const std::string &Outcome) {
    dropHedge();
    Ended_ = true;
    Record_.Status = Status;
    Record_.Outcome = Outcome;
    Record_.Pool = Log_.Pool;
    Record_.PromptTokens = Descriptor_.PromptTokens;
    Record_.Execution = Log_.Execution;
    Record_.Inputs = Log_.Inputs;
    Record_.Sends = Log_.Sends;
    Record_.Total = Context_.Time.Now() - Request_.Arrived;
    Exchange_.reset();
    if (Context_.Limits != nullptr)
      Context_.Limits->end(LimitAttempt_,
                           MayBeRunning_ || !provenNotRun(Log_.Execution));
    Context_.Open.remove(OpenEntry_);
    if (Context_.Hooks.Done)
      Context_.Hooks.Done(Record_);
  }

  RelayContext &Context_;
  HttpServerRequest Request_;
  std::shared_ptr<HttpExchange> Exchange_;
  bool FromHost_;
  RequestDescriptor Descriptor_;
  FleetTablesPtr Tables_;
  const FleetRoute *Route_ = nullptr;
  /// The route in Tables_.
  const FleetRoute *BaseRoute_ = nullptr;
  /// The route with the homes and rank of the request, if these differ from its
  /// own in Tables_.
  std::optional<FleetRoute> ChangedRoute_;
  /// The rank by customer and route; unset without a customer.
  std::optional<unsigned> Rank_;
  HomeRegions CustomerHomes_;
  /// The version of the tables that the homes come from.
  std::uint64_t HomesVersion_ = 0;
  /// The version of the tables by which another host has forwarded the request,
  /// and that host.
  std::uint64_t SenderTables_ = 0;
  std::string SenderIp_;
  /// The customer that this host has found.
  CustomerId SenderCustomer_;
  LimitAttempt LimitAttempt_;
  AttemptLog Log_;
  RequestRecord Record_;
  TimePoint TimeoutAt_{};
  OpenRequests::Id OpenEntry_;
  bool Ended_ = false;
  /// The endpoint of the current attempt.
  std::optional<ServeAt> Target_;
  /// The host and the region that the current attempt is forwarded to.
  std::string PeerIp_;
  RegionId PeerRegion_;
  /// The addresses to which the request was sent.
  std::set<Address> SentTo_;
  /// Runs that were allotted to the other entry host.
  unsigned AllottedRuns_ = 0;
  /// The most recently requested placement, and the one in use.
  PlacementId LatestPlacement_;
  /// Set while the request is offered to a region of unknown load.
  std::optional<PlacementId> OfferedPlacement_;
  PlacementId ActivePlacement_;
  /// Alternative placement that is requested while the current attempt stalls.
  std::optional<PlacementId> Alternative_;
  bool SeekingAlternative_ = false;
  bool Queued_ = false;
  /// Whether the tables were read again as they lacked its route or key.
  bool LookedUpAgain_ = false;
  /// Confirmations of the tables that the request waits for.
  unsigned Confirming_ = 0;
  /// Whether the connection was established but the request was not sent.
  bool SendDeclined_ = false;
  /// Whether the caller was found gone when the request was to be sent.
  bool CallerGone_ = false;
  /// Whether the current attempt has been sent.
  bool IsSent_ = false;
  /// Whether an attempt was sent that has not been refused as not run.
  bool MayBeRunning_ = false;
  /// Whether the request has reached an endpoint, so that a further send is a
  /// retry.
  bool HasArrived_ = false;
  /// Whether the next send was already taken from the retry budget.
  bool RetryTaken_ = false;
  /// Whether a retry was declined when it was to be sent.
  bool BudgetUsedUp_ = false;
  std::shared_ptr<Attempt> Attempt_;
  TimePoint LastEventsAt_{};
  bool GotOutput_ = false;
  /// Whether the current attempt has shown the request to be sound.
  bool SoundRecorded_ = false;
  /// First output of the current attempt.
  TimePoint OutputAt_{};
  /// The complete failure response of an endpoint. Sent to the caller if no
  /// other attempt succeeds.
  std::optional<std::pair<HttpResponseHead, std::string>> EndpointFailure_;
  /// Whether the response to the caller is a stream that has begun.
  bool Streaming_ = false;
  /// Splits the events of the attempts of the request. A hedge has one of its
  /// own, which takes the place of this one when the hedge is first.
  std::shared_ptr<EventSplitter> Splitter_ = std::make_shared<EventSplitter>();
  /// The second send beside the current attempt, and the placement that is
  /// requested for one.
  std::optional<Hedge> Hedge_;
  std::optional<PlacementId> HedgePlacement_;
  bool SeekingHedge_ = false;
  /// Whether a hedge was requested. A request gets one at most.
  bool HedgeRequested_ = false;
};

} // namespace

void relayRequest(RelayContext &Context, HttpServerRequest Request,
                  std::shared_ptr<HttpExchange> Exchange, bool FromHost) {
  std::make_shared<Relay>(Context, std::move(Request), std::move(Exchange),
                          FromHost)
      ->start();
}

} // namespace celerybeam
