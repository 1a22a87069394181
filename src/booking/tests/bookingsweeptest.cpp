// Places each fault at every message boundary of a short booking scenario,
// and pairs of faults at random boundaries, and checks that no booking runs
// twice, that "not run" is never wrong and that every caller is answered.

#include "bookingfleet.h"

#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace celerybeam;
using namespace celerybeam::testing;
using namespace std::chrono_literals;

namespace {

enum class Fault {
  Lose,
  Duplicate,
  Delay,
  LoseReply,
  RunnerRefuses,
  RunnerLate,
  CrashHost,
  PauseHostShort,
  PauseHostLong,
  StoreDown,
  CutOffHost,
  CrashAndStoreDown,
  LoseAndCrashHost,
  IsolateHost,
  IsolateHostAndStore,
  IsolateHostWithStore,
  Count
};

struct PlannedFault {
  int Boundary = 0;
  Fault What = Fault::Lose;
};

using Plan = std::vector<PlannedFault>;

/// What a run came to.
struct RunSummary {
  int Boundaries = 0;
  int Keys = 0;
  int UnknownKeys = 0;
  std::string Failure;
};

class SweepRun {
public:
  SweepRun(std::uint64_t Seed, Plan P, RunnerCheck Checks = RunnerCheck::None)
      : Fleet_(Seed, Checks), Plan_(std::move(P)) {
    Fleet_.Network.PickFault = [this](const messages::Envelope &M) {
      return atMessage(HostId(M.from()));
    };
    Fleet_.Store.OnCall = [this](const HostId &Host) { reach(Host); };
    Fleet_.Store.PickFault = [this] { return atStore(); };
    Fleet_.PickRunnerFault = [this](const HostId &Host) {
      return atRunner(Host);
    };
  }

  RunSummary run() {
    Fleet_.Time.runFor(45s);
    Counting_ = true;
    // One key at three hosts at once, one sent once.
    Uuid7 Shared = Fleet_.newKey();
    for (int I = 0; I < 3; ++I)
      bookIfAlive(I, Shared);
    Fleet_.Time.runFor(300ms);
    Uuid7 Single = Fleet_.newKey();
    bookIfAlive(1, Single);
    Fleet_.Time.runFor(4s);
    // Callers without an outcome ask again at another host.
    for (int I : {2, 0})
      for (const Uuid7 &Key : {Shared, Single}) {
        bookIfAlive(I, Key);
        Fleet_.Time.runFor(3s);
      }
    Counting_ = false;
    // A key that first comes when owners may have changed.
    Uuid7 Late = Fleet_.newKey();
    for (int I : {0, 1, 2}) {
      bookIfAlive(I, Late);
      Fleet_.Time.runFor(2s);
    }
    Fleet_.Time.runFor(40s);
    for (const Uuid7 &Key : {Shared, Single, Late})
      judgeKey(Key);
    judgeAnswers(Single);
    Summary_.Boundaries = Boundary_;
    return Summary_;
  }

private:
  void bookIfAlive(int I, const Uuid7 &Key) {
    std::string Host = BookingFleet::hostName(I);
    if (Fleet_.alive(Host))
      Fleet_.book(Host, Key, 3500ms);
  }

  /// Counts a boundary; applies faults of hosts and the store at once.
  std::optional<Fault> reach(const HostId &Host) {
    Now_.reset();
    if (!Counting_)
      return Now_;
    ++Boundary_;
    for (const PlannedFault &F : Plan_)
      if (F.Boundary == Boundary_)
        apply(F.What, Host.str());
    return Now_;
  }

  void apply(Fault What, const std::string &Host) {
    switch (What) {
    case Fault::CrashHost:
      Fleet_.crash(Host);
      return;
    case Fault::PauseHostShort:
      Fleet_.pause(Host, 2s);
      return;
    case Fault::PauseHostLong:
      Fleet_.pause(Host, 20s);
      return;
    case Fault::StoreDown:
      Fleet_.storeDown(15s);
      return;
    case Fault::CutOffHost:
      Fleet_.cutOffFromStore(Host, 20s);
      return;
    case Fault::CrashAndStoreDown:
      Fleet_.storeDown(15s);
      Fleet_.Time.after(1500ms, [this, Host] { Fleet_.crash(Host); });
      return;
    case Fault::LoseAndCrashHost:
      Now_ = Fault::Lose;
      Fleet_.Time.after(100ms, [this, Host] { Fleet_.crash(Host); });
      return;
    case Fault::IsolateHost:
      Fleet_.isolate(Host, 25s);
      return;
    case Fault::IsolateHostWithStore:
      // The store is on the side of the one host, the majority on the other.
      Fleet_.isolate(Host, 25s);
      for (int I = 0; I < 3; ++I)
        if (BookingFleet::hostName(I) != Host)
          Fleet_.cutOffFromStore(BookingFleet::hostName(I), 25s);
      return;
    case Fault::IsolateHostAndStore:
      Fleet_.isolate(Host, 25s);
      Fleet_.cutOffFromStore(Host, 25s);
      return;
    default:
      Now_ = What;
    }
  }

  MessageFault atMessage(const HostId &From) {
    switch (reach(From).value_or(Fault::Count)) {
    case Fault::Lose:
      return MessageFault::Lose;
    case Fault::Duplicate:
      return MessageFault::Duplicate;
    case Fault::Delay:
      return MessageFault::Delay;
    default:
      return MessageFault::None;
    }
  }

  StoreFault atStore() {
    switch (Now_.value_or(Fault::Count)) {
    case Fault::Lose:
      return StoreFault::LoseRequest;
    case Fault::LoseReply:
      return StoreFault::LoseReply;
    case Fault::Duplicate:
      return StoreFault::DuplicateRequest;
    case Fault::Delay:
      return StoreFault::DelayRequest;
    default:
      return StoreFault::None;
    }
  }

  RunnerFault atRunner(const HostId &Host) {
    switch (reach(Host).value_or(Fault::Count)) {
    case Fault::Lose:
      return RunnerFault::LoseRequest;
    case Fault::LoseReply:
      return RunnerFault::LoseAnswer;
    case Fault::Delay:
      return RunnerFault::LateRequest;
    case Fault::RunnerLate:
      return RunnerFault::LateAnswer;
    case Fault::RunnerRefuses:
      return RunnerFault::RefuseConnection;
    default:
      return RunnerFault::None;
    }
  }

  void fail(const std::string &What) {
    if (Summary_.Failure.empty())
      Summary_.Failure = What;
  }

  void judgeKey(const Uuid7 &Key) {
    ++Summary_.Keys;
    if (Fleet_.executions(Key.str()) > 1)
      fail("key ran " + std::to_string(Fleet_.executions(Key.str())) +
           " times");
    for (int I = 0; I < 3; ++I) {
      if (!Fleet_.alive(BookingFleet::hostName(I)))
        continue;
      std::size_t Q = Fleet_.query(BookingFleet::hostName(I), Key);
      Fleet_.Time.runFor(5s);
      judgeFinal(Fleet_.answer(Q));
      return;
    }
    ++Summary_.UnknownKeys;
  }

  void judgeFinal(const BookingFleet::Answer &A) {
    bool Settled = A.Got && *A.Got && (*A.Got)->State != BookingState::Unknown;
    bool Absent =
        A.Got && !*A.Got && A.Got->error().Kind == ErrorKind::NotFound;
    if (!Settled && !Absent)
      ++Summary_.UnknownKeys;
    bool Ran = Fleet_.executions(A.Key) > 0;
    if (Absent && Ran)
      fail("a key that ran is not in the ledger");
    if (Settled && (*A.Got)->State == BookingState::NotRun && Ran)
      fail("a key that ran is recorded as not run");
  }

  void judgeAnswers(const Uuid7 &Single) {
    for (const auto &A : Fleet_.Answers) {
      if (!A->Got) {
        if (Fleet_.alive(A->Host) && !everCrashed(A->Host))
          fail("no answer at " + A->Host);
        continue;
      }
      bool WasPaused = A->GotAt > A->Deadline;
      if (WasPaused && !everStopped(A->Host))
        fail("answer after the deadline at " + A->Host);
      judgeAnswer(*A, A->Key == Single.str());
    }
  }

  void judgeAnswer(const BookingFleet::Answer &A, bool SentAlone) {
    const Result<BookingOutcome> &Got = *A.Got;
    if (Got && Got->State == BookingState::Done && A.ExecutionsThen != 1)
      fail("done was said and it had not run");
    if (Got && Got->State == BookingState::NotRun &&
        Fleet_.executions(A.Key) > 0)
      fail("not-run was said and it ran");
    if (!Got && Got.error().Kind == ErrorKind::NotReady && SentAlone &&
        A.Host == "k2" && A.ExecutionsThen > 0)
      fail("the first call was refused as not run and it ran");
  }

  bool everStopped(const std::string &Host) const {
    for (const PlannedFault &F : Plan_)
      if (F.What == Fault::PauseHostShort || F.What == Fault::PauseHostLong)
        return true;
    return everCrashed(Host);
  }

  bool everCrashed(const std::string &) const {
    for (const PlannedFault &F : Plan_)
      if (F.What == Fault::CrashHost || F.What == Fault::CrashAndStoreDown ||
          F.What == Fault::LoseAndCrashHost)
        return true;
    return false;
  }

  BookingFleet Fleet_;
  Plan Plan_;
  bool Counting_ = false;
  int Boundary_ = 0;
  std::optional<Fault> Now_;
  RunSummary Summary_;
};

std::string describe(std::uint64_t Seed, const Plan &P) {
  std::ostringstream Out;
  Out << "seed " << Seed;
  for (const PlannedFault &F : P)
    Out << ", fault " << int(F.What) << " at boundary " << F.Boundary;
  return Out.str();
}

struct Totals {
  int Runs = 0;
  int Keys = 0;
  int Unknown = 0;
};

void check(std::uint64_t Seed, const Plan &P, Totals &T,
           RunnerCheck Checks = RunnerCheck::None) {
  RunSummary S = SweepRun(Seed, P, Checks).run();
  ++T.Runs;
  T.Keys += S.Keys;
  T.Unknown += S.UnknownKeys;
  BOOST_TEST(S.Failure == "", describe(Seed, P) << ": " << S.Failure);
}

void report(const char *Name, const Totals &T) {
  BOOST_TEST_MESSAGE(Name << ": " << T.Runs << " runs, " << T.Keys << " keys, "
                          << T.Unknown << " left unknown");
}

} // namespace

BOOST_AUTO_TEST_SUITE(BookingSweepTests)

BOOST_AUTO_TEST_CASE(eachFaultAtEveryBoundary) {
  constexpr std::uint64_t Seed = 7;
  RunSummary Plain = SweepRun(Seed, {}).run();
  BOOST_TEST(Plain.Failure == "");
  BOOST_TEST(Plain.UnknownKeys == 0);
  BOOST_TEST_MESSAGE("boundaries: " << Plain.Boundaries);
  Totals All;
  for (int Kind = 0; Kind < int(Fault::Count); ++Kind) {
    Totals T;
    for (int At = 1; At <= Plain.Boundaries; ++At)
      check(Seed, {{At, Fault(Kind)}}, T);
    report(("fault " + std::to_string(Kind)).c_str(), T);
    All.Runs += T.Runs;
    All.Keys += T.Keys;
    All.Unknown += T.Unknown;
  }
  report("all", All);
}

BOOST_AUTO_TEST_CASE(pairsOfFaultsAtRandomBoundaries) {
  constexpr int Pairs = 300;
  RunSummary Plain = SweepRun(7, {}).run();
  std::mt19937_64 Random(11);
  Totals Plainly;
  Totals Checked;
  for (int I = 0; I < Pairs; ++I) {
    Plan P;
    for (int Times = 0; Times < 2; ++Times)
      P.push_back({1 + int(Random() % std::uint64_t(Plain.Boundaries)),
                   Fault(Random() % std::uint64_t(Fault::Count))});
    check(100 + std::uint64_t(I), P, Plainly);
    check(100 + std::uint64_t(I), P, Checked, RunnerCheck::Key);
  }
  report("pairs, runners check nothing", Plainly);
  report("pairs, runners check the key", Checked);
}

/// Pairs that an earlier state of the code failed on.
BOOST_AUTO_TEST_CASE(pairsThatFailedBefore) {
  Totals T;
  // A stale owner came back beside a peer whose agreement had expired, while
  // the new owner was cut off from both.
  check(51039, {{5, Fault::PauseHostLong}, {42, Fault::IsolateHostWithStore}},
        T);
  // After its pause a host said "not run" of a key that another had run.
  check(51110, {{44, Fault::PauseHostLong}, {9, Fault::StoreDown}}, T);
}

BOOST_AUTO_TEST_SUITE_END()
