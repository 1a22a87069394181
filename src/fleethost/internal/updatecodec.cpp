#include "fleethost/internal/updatecodec.h"

#include <algorithm>
#include <limits>

namespace celerybeam::detail {

namespace {

constexpr double Percent = 100;

std::uint32_t millis(Duration D) {
  auto Count = std::chrono::ceil<std::chrono::milliseconds>(D).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Count, 0, std::numeric_limits<std::uint32_t>::max()));
}

Duration span(std::uint32_t Millis) {
  return std::chrono::milliseconds(Millis);
}

/// For times that may be longer than some weeks.
std::uint64_t longMillis(Duration D) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, std::chrono::ceil<std::chrono::milliseconds>(D).count()));
}

/// At most a year, so that sums of times don't overflow.
Duration longSpan(std::uint64_t Millis) {
  constexpr std::chrono::milliseconds Most = std::chrono::hours(24 * 365);
  return std::chrono::milliseconds(std::min<std::uint64_t>(
      Millis, static_cast<std::uint64_t>(Most.count())));
}

void writeAsk(const PlacementAsk &Ask, TimePoint Now,
              messages::PlacementAsk &Out) {
  const RequestDescriptor &R = Ask.Request;
  const AttemptLog &Log = Ask.Log;
  Out.set_pool(Log.Pool.str());
  Out.set_kind(static_cast<std::uint32_t>(Ask.Route.Kind));
  Out.set_rank(Ask.Route.Rank);
  Out.set_latency_target_ms(millis(Ask.Route.LatencyTarget));
  Out.set_event_gap_ms(millis(Ask.Route.EventGapTarget));
  Out.set_timeout_ms(millis(Ask.Route.Timeout));
  Out.set_first_output_patience_ms(millis(Ask.Route.FirstOutputPatience));
  Out.set_left_ms(millis(R.Deadline - Now));
  Out.set_waited_ms(millis(Now - Log.Arrived));
  Out.set_runs(Log.Runs);
  Out.set_forwarded(R.Forwarded);
  Out.set_only_free(R.OnlyFree);
  Out.set_prompt_tokens(R.PromptTokens);
  Out.set_max_output_tokens(R.MaxOutputTokens);
  Out.set_fingerprint(R.Fingerprint);
  Out.set_customer(R.Customer.str());
  for (const PrefixLevel &Level : R.Levels) {
    Out.add_level_hashes(Level.Hash);
    Out.add_level_tokens(Level.TokensUpTo);
  }
  for (const EndpointKey &Key : Log.Tried)
    Out.add_tried(Key.Value);
  for (const RegionId &Region : Log.RegionsTried)
    Out.add_regions_tried(Region.str());
  for (const RegionId &Region : Ask.Route.Homes.regions())
    Out.add_homes(Region.str());
  // A list without entries means no restriction.
  if (Ask.Route.Homes.isRestricted() && Out.homes_size() == 0)
    Out.add_homes("");
}

PlacementAsk readAsk(const messages::PlacementAsk &In, TimePoint Now) {
  PlacementAsk Ask;
  Ask.Route.Kind = static_cast<RepeatKind>(std::min<std::uint32_t>(
      In.kind(), static_cast<std::uint32_t>(RepeatKind::ResumableStream)));
  Ask.Route.Rank = In.rank();
  Ask.Route.LatencyTarget = span(In.latency_target_ms());
  Ask.Route.EventGapTarget = span(In.event_gap_ms());
  Ask.Route.Timeout = span(In.timeout_ms());
  Ask.Route.FirstOutputPatience = span(In.first_output_patience_ms());
  std::set<RegionId> Homes;
  for (const std::string &Region : In.homes())
    Homes.insert(RegionId(Region));
  if (!Homes.empty())
    Ask.Route.Homes = HomeRegions::only(std::move(Homes));
  Ask.Request.Deadline = Now + span(In.left_ms());
  Ask.Request.Forwarded = In.forwarded();
  Ask.Request.OnlyFree = In.only_free();
  Ask.Request.PromptTokens = In.prompt_tokens();
  Ask.Request.MaxOutputTokens = In.max_output_tokens();
  Ask.Request.Fingerprint = In.fingerprint();
  Ask.Request.Customer = CustomerId(In.customer());
  int Levels = std::min(In.level_hashes_size(), In.level_tokens_size());
  for (int I = 0; I < Levels; ++I)
    Ask.Request.Levels.push_back({In.level_hashes(I), In.level_tokens(I)});
  Ask.Log.Pool = PoolName(In.pool());
  Ask.Log.Arrived = Now - span(In.waited_ms());
  Ask.Log.Runs = In.runs();
  for (std::uint64_t Key : In.tried())
    Ask.Log.Tried.push_back({Key});
  for (const std::string &Region : In.regions_tried())
    Ask.Log.RegionsTried.emplace_back(Region);
  return Ask;
}

void writeServe(const ServeAt &Serve, messages::PlacementAnswer::Serve &Out) {
  Out.set_endpoint(Serve.Endpoint.Key.Value);
  Out.set_expected_ms(millis(Serve.Expected.ToFirstOutput));
  Out.set_wait_ms(millis(Serve.Expected.Wait));
  Out.set_uncached_tokens(Serve.Expected.UncachedTokens);
  Out.set_copied_tokens(Serve.Expected.CopiedTokens);
  Out.set_cold(Serve.Cold);
  Out.set_copy_from(Serve.CopyFrom.str());
}

ServeAt readServe(const messages::PlacementAnswer::Serve &In,
                  const FleetView &Fleet) {
  ServeAt Serve;
  if (const FleetEndpoint *E = Fleet.endpoint(EndpointKey{In.endpoint()}))
    Serve.Endpoint = *E;
  Serve.Endpoint.Key = {In.endpoint()};
  Serve.Expected.ToFirstOutput = span(In.expected_ms());
  Serve.Expected.Wait = span(In.wait_ms());
  Serve.Expected.UncachedTokens = In.uncached_tokens();
  Serve.Expected.CopiedTokens = In.copied_tokens();
  Serve.Cold = In.cold();
  Serve.CopyFrom = Address(In.copy_from());
  return Serve;
}

void writeAnswer(const PlacementAnswer &Answer,
                 messages::PlacementAnswer &Out) {
  Out.set_usable(Answer.Inputs.Usable);
  Out.set_untrusted(Answer.Inputs.Untrusted);
  Out.set_cold(Answer.Inputs.Cold);
  Out.set_resting(Answer.Inputs.BackingOff);
  if (Answer.Inputs.Local)
    Out.set_here_ms(millis(*Answer.Inputs.Local));
  if (Answer.Inputs.Remote)
    Out.set_away_ms(millis(*Answer.Inputs.Remote));
  Out.set_limit_ms(millis(Answer.Inputs.Limit));
  if (!Answer.Decision)
    return;
  if (const auto *Serve = std::get_if<ServeAt>(&*Answer.Decision))
    return writeServe(*Serve, *Out.mutable_serve());
  if (const auto *Wait = std::get_if<Enqueue>(&*Answer.Decision))
    return Out.mutable_held()->set_expected_ms(millis(Wait->Expected));
  if (const auto *Remote = std::get_if<ForwardTo>(&*Answer.Decision)) {
    writeHost(Remote->Host, {}, *Out.mutable_pass_on()->mutable_host());
    Out.mutable_pass_on()->set_expected_ms(millis(Remote->Expected));
    return;
  }
  const auto &Why = std::get<Refusal>(*Answer.Decision);
  Out.mutable_refused()->set_retry_after_ms(millis(Why.RetryAfter));
  Out.mutable_refused()->set_reason(Why.Reason);
}

PlacementAnswer readAnswer(const messages::PlacementAnswer &In,
                           const FleetView &Fleet) {
  PlacementAnswer Answer;
  Answer.Inputs.Usable = In.usable();
  Answer.Inputs.Untrusted = In.untrusted();
  Answer.Inputs.Cold = In.cold();
  Answer.Inputs.BackingOff = In.resting();
  if (In.has_here_ms())
    Answer.Inputs.Local = span(In.here_ms());
  if (In.has_away_ms())
    Answer.Inputs.Remote = span(In.away_ms());
  Answer.Inputs.Limit = span(In.limit_ms());
  if (In.has_serve())
    Answer.Decision = readServe(In.serve(), Fleet);
  else if (In.has_held())
    Answer.Decision = Enqueue{.Expected = span(In.held().expected_ms())};
  else if (In.has_pass_on())
    // A region of which no load is known has no prediction.
    Answer.Decision =
        ForwardTo{readHost(In.pass_on().host()),
                  span(In.pass_on().expected_ms()), In.has_away_ms()};
  else if (In.has_refused())
    Answer.Decision =
        Refusal{span(In.refused().retry_after_ms()), In.refused().reason()};
  return Answer;
}

} // namespace

void writeCrash(const CrashReport &Report, messages::CrashReport &Out) {
  Out.set_endpoint(Report.Endpoint.Value);
  Out.set_age_ms(millis(Report.Age));
  for (const CrashedRun &Run : Report.Runs) {
    messages::CrashedRun &To = *Out.add_runs();
    To.set_scope(Run.Suspects.Scope.Value);
    for (CrashSuspect Part : Run.Suspects.Parts)
      To.add_parts(Part.Value);
    To.set_whole(Run.Suspects.Whole.Value);
    To.set_sent_before_ms(millis(Run.SentBefore));
  }
}

void writeSound(const SoundReport &Report, messages::SoundReport &Out) {
  Out.set_suspect(Report.Suspect.Value);
  Out.set_begun_before_ms(millis(Report.BegunBefore));
}

void writeRefused(const RefusedSuspect &Report, messages::RefusedSuspect &Out) {
  Out.set_suspect(Report.Suspect.Value);
  Out.set_scope(Report.Scope.Value);
  Out.set_whole(Report.IsWhole);
  Out.set_crashes(Report.Crashes);
  Out.set_since_first_ms(longMillis(Report.SinceFirst));
  Out.set_since_latest_ms(longMillis(Report.SinceLatest));
  Out.set_trials(Report.Trials);
  if (Report.SinceTrial)
    Out.set_since_trial_ms(longMillis(*Report.SinceTrial));
}

CrashNews readCrashNews(const messages::FleetNews &In) {
  CrashNews News;
  for (const auto &From : In.crashes()) {
    CrashReport Report{{From.endpoint()}, span(From.age_ms()), {}};
    for (const auto &Run : From.runs()) {
      CrashedRun To;
      To.Suspects.Scope = {Run.scope()};
      for (std::uint64_t Part : Run.parts())
        To.Suspects.Parts.push_back({Part});
      To.Suspects.Whole = {Run.whole()};
      To.SentBefore = span(Run.sent_before_ms());
      Report.Runs.push_back(std::move(To));
    }
    News.Crashes.push_back(std::move(Report));
  }
  for (const auto &From : In.sound())
    News.Sound.push_back({{From.suspect()}, span(From.begun_before_ms())});
  for (const auto &From : In.refused()) {
    RefusedSuspect To;
    To.Suspect = {From.suspect()};
    To.Scope = {From.scope()};
    To.IsWhole = From.whole();
    To.Crashes = From.crashes();
    To.SinceFirst = longSpan(From.since_first_ms());
    To.SinceLatest = longSpan(From.since_latest_ms());
    To.Trials = From.trials();
    if (From.has_since_trial_ms())
      To.SinceTrial = longSpan(From.since_trial_ms());
    News.Refused.push_back(To);
  }
  return News;
}

// Each duration is rounded so that the confirmation seems older than it is.
void writeConfirmation(const TablesConfirmation &Confirmation,
                       messages::TablesConfirmation &Out) {
  Out.set_stamp_ms(stampMillis(Confirmation.Stamp));
  Out.set_held_ms(static_cast<std::uint32_t>(
      std::chrono::floor<std::chrono::milliseconds>(Confirmation.Held)
          .count()));
  Out.set_age_ms(millis(Confirmation.Age));
  Out.set_era(Confirmation.Of.Era);
  Out.set_revision(Confirmation.Of.Number);
}

TablesConfirmation readConfirmation(const messages::TablesConfirmation &In) {
  TablesConfirmation Confirmation;
  Confirmation.Stamp = stampOf(In.stamp_ms());
  Confirmation.Held = span(In.held_ms());
  Confirmation.Age = span(In.age_ms());
  Confirmation.Of = {In.era(), In.revision()};
  return Confirmation;
}

void writeShare(const ShareNote &Note, messages::ShareNote &Out) {
  Out.set_limit(Note.Limit);
  Out.set_amount(Note.Amount);
  Out.set_serial(Note.Serial);
  Out.set_acknowledged(Note.Acknowledged);
  Out.set_held(Note.Held);
  Out.set_credit(Note.Credit);
  Out.set_holder_start(Note.HolderStart);
  Out.set_needed(Note.Needed);
}

void writeOutlook(const PoolLoadSummary &Load, messages::PoolOutlook &Out) {
  auto MillisOf = [](Duration D) {
    return static_cast<std::uint32_t>(D / std::chrono::milliseconds(1));
  };
  Out.set_pool(Load.Pool);
  Out.set_wait_ms(MillisOf(Load.Wait));
  Out.set_endpoints(Load.Endpoints);
  Out.set_places(Load.Slots);
  Out.set_free_places(Load.FreeSlots);
  Out.set_late_wait_ms(MillisOf(Load.LateWait));
}

PoolLoadSummary readOutlook(const messages::PoolOutlook &In) {
  return {In.pool(),        std::chrono::milliseconds(In.wait_ms()),
          In.endpoints(),   In.places(),
          In.free_places(), std::chrono::milliseconds(In.late_wait_ms())};
}

// A share or credit that is no number of its range is an error of the sender;
// it must not make this host exceed the limit.
ShareNote readShare(const messages::ShareNote &In) {
  auto InRange = [](double Value, double Most = 1) {
    return Value >= 0 && Value <= Most ? Value : 0;
  };
  constexpr double MaxCreditSeconds = 60;
  ShareNote Note;
  Note.Limit = In.limit();
  Note.Amount = InRange(In.amount());
  Note.Serial = In.serial();
  Note.Acknowledged = In.acknowledged();
  Note.Held = InRange(In.held());
  Note.Credit = InRange(In.credit(), MaxCreditSeconds);
  Note.HolderStart = In.holder_start();
  Note.Needed = InRange(In.needed(), MaxCreditSeconds);
  return Note;
}

std::uint64_t stampMillis(TimePoint At) {
  return static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(At.time_since_epoch())
          .count());
}

TimePoint stampOf(std::uint64_t Millis) { return TimePoint(longSpan(Millis)); }

void writeHost(const HostState &Host, Duration Age, messages::HostNews &Out) {
  Out.set_id(Host.Id.str());
  Out.set_ip(Host.Ip);
  Out.set_zone(Host.Zone.str());
  Out.set_region(Host.Region.str());
  Out.set_started_at(Host.StartedAt);
  Out.set_ready(Host.Ready);
  Out.set_leaving(Host.Leaving);
  Out.set_operator_revision(Host.OperatorRevision.Number);
  Out.set_operator_era(Host.OperatorRevision.Era);
  Out.set_endpoint_revision(Host.EndpointRevision.Number);
  Out.set_endpoint_era(Host.EndpointRevision.Era);
  Out.set_milli_cores(Host.MilliCores);
  Out.set_watches(Host.Watches);
  Out.set_tables_stale(Host.TablesStale);
  Out.set_age_ms(millis(Age));
}

void writeSelf(const HostState &Self, messages::HostNews &Out) {
  writeHost(Self, {}, Out);
  Out.set_fleet_hosts(Self.FleetHosts);
  // Rounded up, so that a number that hosts tell each other in a circle ages.
  Out.set_fleet_hosts_age_s(static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::seconds>(Self.FleetHostsAge).count()));
}

HostState readHost(const messages::HostNews &In) {
  HostState Host;
  Host.Id = HostId(In.id());
  Host.Ip = In.ip();
  Host.Zone = ZoneId(In.zone());
  Host.Region = RegionId(In.region());
  Host.StartedAt = In.started_at();
  Host.Ready = In.ready();
  Host.Leaving = In.leaving();
  Host.OperatorRevision = {In.operator_era(), In.operator_revision()};
  Host.EndpointRevision = {In.endpoint_era(), In.endpoint_revision()};
  Host.MilliCores = In.milli_cores();
  Host.Watches = In.watches();
  Host.TablesStale = In.tables_stale();
  Host.FleetHosts = In.fleet_hosts();
  Host.FleetHostsAge = std::chrono::seconds(In.fleet_hosts_age_s());
  return Host;
}

void writeNote(PlacementId Id, const PlacementNote &Note, TimePoint Now,
               messages::PlacementNote &Out) {
  Out.set_id(Id.Value);
  if (const auto *Ask = std::get_if<PlacementAsk>(&Note))
    return writeAsk(*Ask, Now, *Out.mutable_ask());
  if (const auto *Answer = std::get_if<PlacementAnswer>(&Note))
    return writeAnswer(*Answer, *Out.mutable_answer());
  if (const auto *Output = std::get_if<FirstOutputReport>(&Note)) {
    Out.mutable_output()->set_took_ms(millis(Output->Took));
    if (Output->Slowness)
      Out.mutable_output()->set_slowness_percent(
          static_cast<std::uint32_t>(*Output->Slowness * Percent));
    return;
  }
  const auto &End = std::get<PlacementEnd>(Note);
  Out.mutable_end()->set_outcome(
      End.Outcome ? 1 + static_cast<std::uint32_t>(*End.Outcome) : 0);
}

std::optional<PlacementNote> readNote(const messages::PlacementNote &In,
                                      TimePoint Now, const FleetView &Fleet) {
  if (In.has_ask())
    return readAsk(In.ask(), Now);
  if (In.has_answer())
    return readAnswer(In.answer(), Fleet);
  if (In.has_output()) {
    FirstOutputReport Output{span(In.output().took_ms()), std::nullopt};
    if (In.output().slowness_percent() > 0)
      Output.Slowness = In.output().slowness_percent() / Percent;
    return Output;
  }
  if (!In.has_end())
    return std::nullopt;
  PlacementEnd End;
  constexpr auto Last = static_cast<std::uint32_t>(AttemptOutcome::Declined);
  if (In.end().outcome() > 0)
    End.Outcome =
        static_cast<AttemptOutcome>(std::min(In.end().outcome() - 1, Last));
  return End;
}

void writeReport(const EndpointReport &Report, messages::EndpointWord &Out) {
  Out.set_endpoint(Report.Key.Value);
  Out.set_leaving(Report.Leaving);
  Out.set_rest_ms(millis(Report.BackOffFor));
  Out.set_heard_by(Report.ReceivedBy);
}

EndpointReport readReport(const messages::EndpointWord &In) {
  return {{In.endpoint()}, In.leaving(), span(In.rest_ms()), In.heard_by()};
}

void writeListed(const ListedPlacement &Listed,
                 messages::ListedPlacement &Out) {
  Out.set_id(Listed.Id.Value);
  if (Listed.Endpoint)
    Out.set_endpoint(Listed.Endpoint->Value);
  Out.set_uncached_tokens(Listed.Cost.UncachedTokens);
  Out.set_memory_tokens(Listed.Cost.MemoryTokens);
  Out.set_rank(Listed.Cost.Rank);
  Out.set_has_output(Listed.HasOutput);
}

ListedPlacement readListed(const messages::ListedPlacement &In) {
  ListedPlacement Listed;
  Listed.Id = {In.id()};
  if (In.has_endpoint())
    Listed.Endpoint = EndpointKey{In.endpoint()};
  Listed.Cost = {In.uncached_tokens(), In.memory_tokens(), In.rank()};
  Listed.HasOutput = In.has_output();
  return Listed;
}

} // namespace celerybeam::detail
