#include "soak/soakjudge.h"

#include <algorithm>

#include "soak/endpointprocess.h"

namespace celerybeam::testing {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Unauthorized = 401;
constexpr unsigned TooMany = 429;
constexpr unsigned Unavailable = 503;

/// The statuses by which a host promises that a request has not run and will
/// not.
bool promisesNotRun(unsigned Status) {
  constexpr unsigned Misdirected = 421;
  constexpr unsigned RequestTimeout = 408;
  return Status == TooMany || Status == Unavailable || Status == Misdirected ||
         Status == RequestTimeout;
}

std::string wholeStream(const std::string &Id) {
  std::string Text;
  for (unsigned I = 1; I <= endpointEvents(Id); ++I)
    Text += "id: " + std::to_string(I) + "\ndata: " + Id + "\n\n";
  return Text;
}

} // namespace

void SoakJudge::fault(const std::string &Promise, const std::string &Id,
                      const std::string &What) {
  Broken_.push_back(Promise + ": request " + Id + " " + What);
}

void SoakJudge::sent(const std::string &Id, const SoakRoute &Route,
                     const std::string &HostStart, TimePoint Now,
                     const SoakIdentity &From) {
  ++Open_;
  Call &C = Calls_[Id];
  C.Route = Route;
  C.HostStart = HostStart;
  C.Sent = C.Begun = Now;
  C.From = From;
}

void SoakJudge::customerSet(const std::string &Name,
                            const std::set<std::string> &Keys,
                            const SoakLimit &Limit, TimePoint Now) {
  for (auto &[Text, K] : Keys_)
    if (K.Customer == Name && !K.RemovedAt && !Keys.contains(Text))
      K.RemovedAt = Now;
  for (const std::string &Text : Keys)
    Keys_.try_emplace(Text, Key{Name, Now, std::nullopt});
  Limits_[Name].push_back({Now, Limit});
}

void SoakJudge::sentWhole(const std::string &Id, TimePoint Now) {
  Call &C = Calls_.at(Id);
  C.InPart = false;
  C.Sent = Now;
}

void SoakJudge::ran(const std::string &Id, const std::string &Region,
                    const std::string &Customer, TimePoint Now) {
  ++Runs_;
  auto Found = Calls_.find(Id);
  if (Found == Calls_.end())
    return fault("nothing runs unasked", Id, "was sent by nobody");
  Call &C = Found->second;
  if (C.InPart)
    fault("nothing runs unasked", Id, "ran and was not sent whole");
  ++C.Runs;
  if (C.Route.Once && C.Runs > 1)
    fault("at most once", Id, "ran " + std::to_string(C.Runs) + " times");
  if (C.SaidNotRun && C.Route.Once)
    fault("true refusals", Id, "ran after its refusal");
  if (!C.Route.Homes.empty() && !C.Route.Homes.contains(Region))
    fault("homes", Id, "ran in " + Region);
  checkCustomer(Id, C, Customer);
  // The first host charges a request once, however often it runs.
  if (!Customer.empty() && C.Runs == 1)
    Uses_[Customer].push_back({C.Begun, Now, C.From.Cost});
}

void SoakJudge::checkCustomer(const std::string &Id, const Call &C,
                              const std::string &Customer) {
  if (Customer == SeenKey)
    return fault("keys stay inside", Id, "reached an endpoint with a key");
  auto K = Keys_.find(C.From.Key);
  bool NeedsKey = !Keys_.empty() && !C.Route.Public;
  if (NeedsKey && K == Keys_.end())
    return fault("keys", Id, "ran without a customer's key");
  if (Customer != (NeedsKey ? K->second.Customer : ""))
    return fault("customers", Id, "ran in the name of '" + Customer + "'");
  if (NeedsKey && K->second.RemovedAt &&
      C.Begun > *K->second.RemovedAt + KeyLifetime)
    fault("removed keys end", Id,
          "ran and was sent " +
              std::to_string((C.Begun - *K->second.RemovedAt).count()) +
              " us after its key was removed, to " + C.HostStart);
}

double SoakJudge::allowance(const std::string &Customer, TimePoint From,
                            TimePoint To) const {
  // Hosts without newer tables use the old limit while they resolve keys, and
  // what is unused of it for a window more.
  constexpr Duration Lag = KeyLifetime + LimitWindow;
  constexpr double Seconds = std::chrono::duration<double>(LimitWindow).count();
  double Most = 0;
  const std::vector<LimitChange> &Changes = Limits_.at(Customer);
  for (std::size_t I = 0; I < Changes.size(); ++I) {
    const SoakLimit &L = Changes[I].Limit;
    bool Ended = I + 1 < Changes.size() && Changes[I + 1].At + Lag < From;
    if (!Ended && Changes[I].At <= To)
      Most = std::max(Most,
                      (1 + LimitTolerance) * (L.PerSecond * Seconds + L.Burst) +
                          L.Slack);
  }
  return Most;
}

void SoakJudge::checkLimit(const std::string &Customer) {
  auto Changes = Limits_.find(Customer);
  if (Changes == Limits_.end() || Changes->second.back().Limit.PerSecond <= 0)
    return;
  const std::vector<Use> &All = Uses_[Customer];
  for (const Use &First : All) {
    TimePoint End = First.From + LimitWindow;
    double Sum = 0;
    for (const Use &U : All)
      Sum += U.From >= First.From && U.To <= End ? U.Cost : 0;
    double Most = allowance(Customer, First.From, End);
    MostUsed_ = std::max(MostUsed_, Sum / Most);
    if (Sum > Most)
      return fault("limits", "of " + Customer,
                   "ran " + std::to_string(Sum) + " units in one window, of " +
                       std::to_string(Most));
  }
}

void SoakJudge::checkBody(const std::string &Id, const Call &C,
                          const CallResult &R) {
  if (R.Stamp.empty() || R.RequestId != Id)
    return fault("whole answers", Id, "got a success that is not its own");
  std::string Expected = C.Route.Streams ? wholeStream(Id) : endpointBody(Id);
  if (R.Body != Expected)
    fault("whole answers", Id,
          "got " + std::to_string(R.Body.size()) + " bytes that are not its " +
              std::to_string(Expected.size()));
}

void SoakJudge::checkVersion(const std::string &Id, const Call &C,
                             TimePoint Now) {
  Shown &S = Versions_[C.HostStart];
  if (C.Route.Version < S.Version && C.Sent > S.At + VersionSlack)
    return fault("tables never go back", Id,
                 "was served by version " + std::to_string(C.Route.Version) +
                     " after " + std::to_string(S.Version) + " on " +
                     C.HostStart);
  if (C.Route.Version > S.Version)
    S = {C.Route.Version, Now};
}

void SoakJudge::ended(const std::string &Id, const CallResult &R, TimePoint Now,
                      Duration Stood) {
  Call &C = Calls_.at(Id);
  C.Ended = true;
  --Open_;
  bool Waited = Now - C.Sent >= CallerPatience + Stood;
  if (!R.Whole) {
    if (R.Sent && Waited && R.Status == 0)
      fault("every request ends", Id, "got no answer in its time");
    return;
  }
  if (Waited)
    fault("every request ends", Id, "was answered after its time");
  // Hosts may handle a request by the tables before for as long as a change may
  // take to be in force.
  if (auto K = Keys_.find(C.From.Key);
      R.Status == Unauthorized &&
      (C.Route.Public || (K != Keys_.end() && !K->second.RemovedAt &&
                          C.Begun > K->second.AddedAt + ConfigurationDeadline)))
    fault("valid keys are known", Id,
          "got 401 from " + C.HostStart +
              (C.Route.Public
                   ? ""
                   : ", " +
                         std::to_string((C.Begun - K->second.AddedAt).count()) +
                         " us after its key was added"));
  if (R.Status == Ok) {
    ++Served_;
    checkBody(Id, C, R);
    if (C.Route.Version > 0)
      checkVersion(Id, C, Now);
    return;
  }
  if (!promisesNotRun(R.Status))
    return;
  ++Refused_;
  C.SaidNotRun = true;
  if (C.Route.Once && C.Runs > 0)
    fault("true refusals", Id,
          "was refused with " + std::to_string(R.Status) + " and had run");
}

void SoakJudge::close(TimePoint Now) {
  for (const auto &[Id, C] : Calls_)
    if (!C.Ended && Now - C.Sent > CallerPatience)
      fault("every request ends", Id, "is still open");
  for (const auto &[Customer, Changes] : Limits_)
    checkLimit(Customer);
}

} // namespace celerybeam::testing
