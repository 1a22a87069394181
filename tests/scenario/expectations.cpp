// The expectations of the scenario language.

#include <algorithm>
#include <utility>

#include "scenario/scenariorunner.h"
#include "scenario/stepvalues.h"

namespace celerybeam::testing {

namespace {

StepResult fail(const std::string &Why) { return tl::unexpected(Why); }

StepResult failIf(const std::string &Why) {
  return Why.empty() ? StepResult() : fail(Why);
}

std::string describe(const CallRecord &R) {
  if (!R.Ended)
    return "not ended, " + std::to_string(R.Body.size()) + " bytes so far";
  if (R.Failure)
    return std::string(errorKindName(R.Failure->Kind)) + ": " +
           R.Failure->Message;
  return "status " + std::to_string(R.Status) +
         (R.correct() ? ", whole" : ", not its own whole answer");
}

Duration percentile(std::vector<Duration> Sorted, double Share) {
  if (Sorted.empty())
    return Duration::max();
  std::sort(Sorted.begin(), Sorted.end());
  auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

// "of 80: 12 overloaded, 3 deadline_expired"
std::string failuresOf(const std::vector<const CallRecord *> &Calls) {
  std::map<std::string, unsigned> Counts;
  for (const CallRecord *R : Calls)
    if (R->Failure)
      ++Counts[std::string(errorKindName(R->Failure->Kind))];
  std::string Text = "of " + std::to_string(Calls.size()) + ":";
  for (const auto &[Kind, Count] : Counts)
    Text += " " + std::to_string(Count) + " " + Kind;
  return Text;
}

std::string word(const Step &S, std::size_t Index) {
  return Index < S.Words.size() ? S.Words[Index] : "";
}

} // namespace

void ScenarioRunner::addExpectations() {
  Expectations_["call"] = [this](const Step &S) { return expectCall(S); };
  Expectations_["load"] = [this](const Step &S) { return expectLoad(S); };
  Expectations_["revision"] = [this](const Step &S) {
    return expectRevision(S);
  };
  Expectations_["entries"] = [this](const Step &S) { return expectEntries(S); };
  Expectations_["arrivals"] = [this](const Step &S) {
    return expectArrivals(S);
  };
  Expectations_["executions"] = [this](const Step &S) {
    return failIf(checkBounds(S, World_->executions(Keys_[textOf(S, "key")])));
  };
  Expectations_["crashes"] = [this](const Step &S) {
    double Count = 0;
    for (FakeEndpoint *E : World_->endpoints())
      Count += E->crashes();
    return failIf(checkBounds(S, Count));
  };
  Expectations_["orders"] = [this](const Step &S) {
    FakeEndpoint *E = World_->endpoint(EndpointId(word(S, 2)));
    return E ? failIf(checkBounds(S, E->orders())) : fail("no such endpoint");
  };
  Expectations_["forwarded"] = [this](const Step &S) {
    return failIf(checkBounds(S, World_->forwarded()));
  };
  Expectations_["ready"] = [this](const Step &S) {
    EntryHost *Core = World_->host(HostId(word(S, 2)));
    bool Ready = Core && Core->ready();
    bool Wanted = textOf(S, "is", "yes") == "yes";
    return Ready == Wanted ? StepResult() : fail("it is not so");
  };
  Expectations_["gone"] = [this](const Step &S) {
    bool Gone = World_->host(HostId(word(S, 2))) == nullptr;
    return Gone ? StepResult() : fail("it still runs");
  };
  Expectations_["applied"] = [this](const Step &S) {
    auto It = World_->applied().find(word(S, 2));
    std::string Seen = It == World_->applied().end() ? "no word" : It->second;
    return Seen.starts_with(textOf(S, "is", "accepted")) ? StepResult()
                                                         : fail(Seen);
  };
  Expectations_["probation"] = [this](const Step &S) {
    EntryHost *Core = World_->host(HostId(textOf(S, "host")));
    if (!Core)
      return fail("no such host");
    auto Record = Core->board().endpoints().find(EndpointId(word(S, 2)));
    bool Clear = Record && Record->Probation == ProbationState::Clear;
    return Clear == (textOf(S, "is") == "clear") ? StepResult()
                                                 : fail("it is not so");
  };
}

StepResult ScenarioRunner::expectCall(const Step &S) {
  const CallRecord *R = World_->calls().find(S.Words[1]);
  if (!R)
    return fail("no call \"" + S.Words[1] + "\"");
  if (S.Named.contains("error")) {
    bool Fits = R->Ended && R->Failure &&
                errorKindName(R->Failure->Kind) == S.Named.at("error");
    return Fits ? StepResult() : fail(describe(*R));
  }
  if (S.Named.contains("outcome"))
    return R->Outcome == S.Named.at("outcome")
               ? StepResult()
               : fail("outcome \"" + R->Outcome + "\", " + describe(*R));
  const std::string What = word(S, 2);
  if (What == "whole")
    return R->whole() ? StepResult() : fail(describe(*R));
  if (What == "ended")
    return R->Ended ? failIf(checkBounds(S, R->EndedAt - R->StartedAt))
                    : fail(describe(*R));
  if (What == "failed")
    return R->Ended && R->Failure ? StepResult() : fail(describe(*R));
  if (What == "retry-after")
    return R->Failure && R->Failure->RetryAfter ? StepResult()
                                                : fail(describe(*R));
  return fail("expect whole, ended, failed, retry-after, error= or outcome=");
}

StepResult ScenarioRunner::expectLoad(const Step &S) {
  std::vector<const CallRecord *> Calls = World_->calls().ofLoad(word(S, 2));
  if (Calls.empty())
    return fail("no calls of this load");
  const std::string What = word(S, 3);
  std::vector<Duration> First;
  std::vector<Duration> Total;
  double Whole = 0;
  double Unended = 0;
  for (const CallRecord *R : Calls) {
    Unended += R->Ended ? 0 : 1;
    if (!R->whole())
      continue;
    ++Whole;
    First.push_back(R->FirstByteAt - R->StartedAt);
    Total.push_back(R->EndedAt - R->StartedAt);
  }
  auto Count = static_cast<double>(Calls.size());
  if (What == "whole-share") {
    std::string Seen = checkBounds(S, Whole / Count);
    return failIf(Seen.empty() ? Seen : Seen + "; " + failuresOf(Calls));
  }
  if (What == "unended")
    return failIf(checkBounds(S, Unended));
  if (What == "p99-first")
    return failIf(checkBounds(S, percentile(First, 0.99)));
  if (What == "p50-first")
    return failIf(checkBounds(S, percentile(First, 0.5)));
  if (What == "p99")
    return failIf(checkBounds(S, percentile(Total, 0.99)));
  return fail("expect whole-share, unended, p50-first, p99-first or p99");
}

StepResult ScenarioRunner::expectRevision(const Step &S) {
  for (const HostId &Id : World_->hostIds()) {
    if (!World_->isIn(Id, word(S, 2)) || !World_->running(Id))
      continue;
    auto Number =
        static_cast<double>(World_->host(Id)->board().tables()->Number);
    std::string Seen = checkBounds(S, Number);
    if (!Seen.empty())
      return fail(Id.str() + ": " + Seen);
  }
  return {};
}

StepResult ScenarioRunner::expectEntries(const Step &S) {
  EntryHost *Core = World_->host(HostId(word(S, 2)));
  if (!Core)
    return fail("no such host");
  std::vector<EntryAdvice> Entries =
      Core->membership().entries(RegionId(textOf(S, "region")));
  auto Has = [&](const std::string &Name) {
    return std::any_of(
        Entries.begin(), Entries.end(),
        [&](const EntryAdvice &E) { return E.Host.str() == Name; });
  };
  if (S.Named.contains("with") && !Has(S.Named.at("with")))
    return fail(S.Named.at("with") + " is not in the list");
  if (S.Named.contains("without") && Has(S.Named.at("without")))
    return fail(S.Named.at("without") + " is in the list");
  if (S.Named.contains("first") &&
      (Entries.empty() || Entries.front().Zone.str() != S.Named.at("first")))
    return fail("another zone comes first");
  return {};
}

StepResult ScenarioRunner::expectArrivals(const Step &S) {
  FakeEndpoint *E = World_->endpoint(EndpointId(word(S, 2)));
  if (!E)
    return fail("no such endpoint");
  unsigned Before = 0;
  if (S.Named.contains("since"))
    Before = Marks_[S.Named.at("since")][E->options().Descriptor.Id];
  return failIf(checkBounds(S, E->arrivals() - Before));
}

} // namespace celerybeam::testing
