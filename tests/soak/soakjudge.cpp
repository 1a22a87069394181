#include "soak/soakjudge.h"

#include "soak/endpointprocess.h"

namespace celerybeam::testing {

namespace {

constexpr unsigned Ok = 200;
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
                     const std::string &HostStart, TimePoint Now) {
  ++Open_;
  Call &C = Calls_[Id];
  C.Route = Route;
  C.HostStart = HostStart;
  C.Sent = Now;
}

void SoakJudge::sentWhole(const std::string &Id, TimePoint Now) {
  Call &C = Calls_.at(Id);
  C.InPart = false;
  C.Sent = Now;
}

void SoakJudge::ran(const std::string &Id, const std::string &Region) {
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
}

} // namespace celerybeam::testing
