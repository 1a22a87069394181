#include <boost/test/unit_test.hpp>

#include <memory>
#include <utility>
#include <vector>

#include "dispatch/descriptor.h"
#include "dispatch/tests/crashreplay.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using testing::CrashReplay;

namespace {

/// How long hosts may take to act on what they have seen.
constexpr Duration StableWindow = 5s;
constexpr std::size_t CrashesUntilKnown = 5;
constexpr std::size_t MostLaterSends = 3;

/// Checks what callers and endpoints are promised while requests with the bad
/// part go on coming.
void checkPartIsContained(CrashReplay &Fleet, Duration Span,
                          Duration CalmBefore = 20s) {
  double BadShare = std::exchange(Fleet.Now.BadShare, 0);
  Fleet.run(CalmBefore);
  Fleet.Now.BadShare = BadShare;
  Fleet.run(Span);
  auto Crashes = Fleet.badCrashes();
  BOOST_REQUIRE(Crashes.size() >= CrashesUntilKnown);
  TimePoint Known = Crashes[CrashesUntilKnown - 1];
  BOOST_TEST(Fleet.badSendsSince(Known + StableWindow) <= MostLaterSends);
  BOOST_TEST(Fleet.soundShareSince(Known + 2 * StableWindow) > 0.5);
  BOOST_TEST(Fleet.hostsRefusing(CrashReplay::FirstTopic) == 0U);
}

/// One tracker, without other hosts.
struct OneHost {
  void crash(const CrashSuspects &Request, Duration After = 1s) {
    Time.runFor(After);
    Tracker.recordBreak({++Endpoints}, Request, Time.now() - 200ms);
    Time.runFor(CrashTracker::ConfirmTime);
  }

  /// Requests without the bad part.
  void othersArrive() {
    for (int Other = 0; Other < 50; ++Other)
      request({{1}, {3}});
  }

  /// A request with these parts, different from all others.
  CrashSuspects request(std::vector<CrashSuspect> Parts) {
    CrashSuspects Request{{7777}, std::move(Parts), {1000 + ++Requests}};
    Tracker.recordArrival(Request);
    return Request;
  }

  testing::VirtualTime Time{1};
  CrashTracker Tracker{Time.runtime()};
  std::uint64_t Endpoints = 0;
  std::uint64_t Requests = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashTrackerTests)

// BUDGET: requests that are all different share the part that crashes
// endpoints.
BOOST_AUTO_TEST_CASE(badPartIsRefusedByTheWholeFleet) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) {
      CrashReplay::Settings S;
      S.Seed = Seed;
      CrashReplay Fleet(S);
      checkPartIsContained(Fleet, 60s);
    }
}

BOOST_AUTO_TEST_CASE(badPartIsRefusedDespiteLostDatagrams) {
  CrashReplay::Settings S;
  S.NewsLost = 0.3;
  CrashReplay Fleet(S);
  checkPartIsContained(Fleet, 60s);
}

// A few bad requests among many sound ones.
BOOST_AUTO_TEST_CASE(rareBadPartIsRefused) {
  for (double Share : {0.005, 0.02, 0.05})
    BOOST_TEST_CONTEXT("share " << Share) {
      CrashReplay::Settings S;
      S.BadShare = Share;
      CrashReplay Fleet(S);
      checkPartIsContained(Fleet, 90s);
    }
}

BOOST_AUTO_TEST_CASE(badPartOfMostRequestsIsRefused) {
  CrashReplay::Settings S;
  S.BadShare = 0.7;
  CrashReplay Fleet(S);
  checkPartIsContained(Fleet, 60s);
}

BOOST_AUTO_TEST_CASE(badPartIsRefusedWhileEndpointsCrashByThemselves) {
  CrashReplay::Settings S;
  S.CrashEvery = 1500ms;
  CrashReplay Fleet(S);
  checkPartIsContained(Fleet, 60s);
}

BOOST_AUTO_TEST_CASE(badPartIsRefusedInALargeFleet) {
  CrashReplay::Settings S;
  S.Hosts = 120;
  S.Engines = 160;
  S.RequestsPerSecond = 250;
  CrashReplay Fleet(S);
  checkPartIsContained(Fleet, 20s);
}

// Seen for minutes before it begins to crash endpoints.
BOOST_AUTO_TEST_CASE(partThatWasSoundIsRefusedOnceItCrashes) {
  CrashReplay::Settings S;
  CrashReplay Fleet(S);
  Fleet.IsBadMended = true;
  Fleet.run(60s);
  BOOST_TEST(Fleet.badCrashes().empty());
  Fleet.IsBadMended = false;
  checkPartIsContained(Fleet, 60s, 0s);
}

// A belief that refuses requests is tested.
BOOST_AUTO_TEST_CASE(mendedPartComesBack) {
  CrashReplay::Settings S;
  S.BadShare = 0;
  CrashReplay Fleet(S);
  Fleet.run(20s);
  Fleet.Now.BadShare = 0.2;
  Fleet.run(8s);
  BOOST_TEST(Fleet.hostsRefusing(CrashReplay::BadPart) == S.Hosts);
  Fleet.IsBadMended = true;
  Fleet.run(2 * CrashTracker::FirstTrialAfter + 15s);
  BOOST_TEST(Fleet.hostsRefusing(CrashReplay::BadPart) == 0U);
  BOOST_TEST(Fleet.SoundRefused == 0U);
}

BOOST_AUTO_TEST_CASE(trialsAreFewAndNotBegunAnewByStarts) {
  CrashReplay::Settings S;
  S.BadShare = 0;
  CrashReplay Fleet(S);
  Fleet.run(20s);
  Fleet.Now.BadShare = 0.2;
  Fleet.run(10s);
  TimePoint Refused = Fleet.Time.now();
  for (std::size_t Host = 0; Host < S.Hosts; ++Host) {
    Fleet.restartHost(Host);
    Fleet.run(8s);
  }
  BOOST_TEST(Fleet.badSendsSince(Refused) <= MostLaterSends);
  BOOST_TEST(Fleet.hostsRefusing(CrashReplay::BadPart) == S.Hosts);
}

// LOST: sound requests must not be refused for crashes that no request causes.
BOOST_AUTO_TEST_CASE(ordinaryCrashesBlameNothing) {
  struct Load {
    double RequestsPerSecond;
    Duration CrashEvery;
  };
  for (const Load &L : {Load{45, 700ms}, Load{45, 300ms}, Load{3, 700ms},
                        Load{1, 1s}, Load{10, 400ms}})
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed)
      BOOST_TEST_CONTEXT(L.RequestsPerSecond << " a second, a crash each "
                                             << L.CrashEvery.count() / 1000
                                             << " ms, seed " << Seed) {
        CrashReplay::Settings S;
        S.BadShare = 0;
        S.RequestsPerSecond = L.RequestsPerSecond;
        S.CrashEvery = L.CrashEvery;
        S.Seed = Seed;
        CrashReplay Fleet(S);
        Fleet.run(60s);
        BOOST_TEST(Fleet.SoundRefused == 0U);
      }
}

BOOST_AUTO_TEST_CASE(rackThatEndsBlamesNothing) {
  CrashReplay::Settings S;
  S.BadShare = 0;
  CrashReplay Fleet(S);
  for (int Time = 0; Time < 6; ++Time) {
    Fleet.run(3s);
    Fleet.endEngines(9);
  }
  Fleet.run(10s);
  Fleet.endEngines(S.Engines);
  Fleet.run(10s);
  BOOST_TEST(Fleet.SoundRefused == 0U);
}

// Each group sees its own crashes; neither has more trials than it may.
BOOST_AUTO_TEST_CASE(badPartIsRefusedOnBothSidesOfACut) {
  CrashReplay::Settings S;
  S.BadShare = 0;
  CrashReplay Fleet(S);
  Fleet.run(20s);
  Fleet.Now.BadShare = 0.2;
  for (std::size_t Host = 0; Host < S.Hosts / 2; ++Host)
    Fleet.GroupOfHost[Host] = 1;
  Fleet.run(10s);
  BOOST_TEST(Fleet.hostsRefusing(CrashReplay::BadPart) == S.Hosts);
  std::fill(Fleet.GroupOfHost.begin(), Fleet.GroupOfHost.end(), 0);
  TimePoint Healed = Fleet.Time.now();
  Fleet.run(60s);
  BOOST_TEST(Fleet.badSendsSince(Healed) <= MostLaterSends);
}

BOOST_FIXTURE_TEST_CASE(wholeRequestIsRefusedAfterThreeCrashes, OneHost) {
  othersArrive();
  CrashSuspects Request = request({{1}, {2}});
  crash(Request);
  crash(Request);
  BOOST_TEST(!Tracker.check(Request).has_value());
  crash(Request);
  auto Verdict = Tracker.check(Request);
  BOOST_REQUIRE(Verdict.has_value());
  BOOST_TEST(!Verdict->Part.has_value());
  BOOST_TEST(Verdict->Crashes == 3U);
  BOOST_TEST((Verdict->RetryAfter <= CrashTracker::FirstTrialAfter));
  BOOST_TEST((Verdict->RetryAfter > 8s));
  // Its parts have crashed endpoints in this request only.
  BOOST_TEST(!Tracker.check(request({{1}, {2}})).has_value());
}

// All requests of a quiet service may be the same; then only more crashes tell.
BOOST_FIXTURE_TEST_CASE(onlyRequestOfAScopeIsRefusedAfterSixCrashes, OneHost) {
  CrashSuspects Request = request({});
  for (std::size_t I = 1; I < CrashTracker::CommonWholeLimit; ++I)
    crash(Request);
  BOOST_TEST(!Tracker.check(Request).has_value());
  crash(Request);
  BOOST_TEST(Tracker.check(Request).has_value());
}

// Reported by several hosts, again and again.
BOOST_FIXTURE_TEST_CASE(crashReportedSeveralTimesCountsOnce, OneHost) {
  CrashSuspects Request{{7777}, {}, {1}};
  CrashTracker There(Time.runtime());
  Tracker.recordBreak({42}, Request, Time.now());
  Time.runFor(CrashTracker::ConfirmTime);
  CrashNews News = Tracker.takeNews(false);
  BOOST_REQUIRE(News.Crashes.size() == 1U);
  for (int I = 0; I < 5; ++I)
    There.received(News);
  There.recordBreak({42}, Request, Time.now() - 400ms);
  Time.runFor(CrashTracker::ConfirmTime);
  BOOST_TEST(!There.check(Request).has_value());
  BOOST_TEST(There.takeNews(true).Crashes.size() == 1U);
  // The report is repeated once.
  Time.runFor(CrashTracker::RepeatAfter);
  BOOST_TEST(Tracker.takeNews(false).Crashes.size() == 1U);
  Time.runFor(CrashTracker::RepeatAfter);
  BOOST_TEST(Tracker.takeNews(false).isEmpty());
  for (std::uint64_t Endpoint : {43, 44}) {
    Time.runFor(1s);
    There.recordBreak({Endpoint}, Request, Time.now());
    Time.runFor(CrashTracker::ConfirmTime);
  }
  BOOST_TEST(There.check(Request).has_value());
}

// Aggregators that read datagrams late took each other's copies of one crash
// for new crashes and forwarded them without end, and blamed the request.
BOOST_FIXTURE_TEST_CASE(crashReportedLateCountsOnceAndIsForwardedOnce,
                        OneHost) {
  constexpr std::size_t Hosts = 4;
  std::vector<std::unique_ptr<CrashTracker>> All;
  std::vector<std::size_t> Counted(Hosts);
  for (std::size_t I = 0; I < Hosts; ++I) {
    All.push_back(std::make_unique<CrashTracker>(Time.runtime()));
    CrashTracker::Hooks Hooks;
    Hooks.Changed = [&Counted, I](const CrashChange &Change) {
      Counted[I] += Change.What == CrashChange::Kind::Crashed ? 1 : 0;
    };
    All.back()->setHooks(Hooks);
  }
  All[0]->recordBreak({42}, {{7777}, {}, {1}}, Time.now());
  std::size_t Sent = 0;
  for (Duration Past{}; Past < 30s; Past += 100ms) {
    Time.runFor(100ms);
    for (std::size_t From = 0; From < Hosts; ++From) {
      CrashNews News = All[From]->takeNews(true);
      if (News.isEmpty())
        continue;
      Sent += News.Crashes.size();
      for (std::size_t To = 0; To < Hosts; ++To)
        if (To != From)
          Time.after(900ms, [&All, To, News] { All[To]->received(News); });
    }
  }
  for (std::size_t I = 0; I < Hosts; ++I)
    BOOST_TEST(Counted[I] == 1U, "host " << I << ": " << Counted[I]);
  // The report, its repetition, and one copy by each other host.
  BOOST_TEST(Sent == 2 + (Hosts - 1));
  BOOST_TEST(!All[1]->check({{7777}, {}, {1}}).has_value());
}

// More crashes at once than are kept, as after a power loss: a copy of one that
// was dropped for room is not forwarded again.
BOOST_FIXTURE_TEST_CASE(crashesDroppedForRoomAreNotForwardedAgain, OneHost) {
  CrashNews Lost;
  constexpr std::size_t Many = 2 * CrashTracker::MaxCrashes;
  for (std::size_t I = 0; I < Many; ++I)
    Lost.Crashes.push_back(
        {{100 + I}, 100ms, {{{{7777}, {}, {1000 + I}}, 50ms}}});
  std::size_t Sent = 0;
  for (int Copy = 0; Copy < 5; ++Copy) {
    Tracker.received(Lost);
    Time.runFor(200ms);
    Sent += Tracker.takeNews(true).Crashes.size();
  }
  BOOST_TEST(Sent == Many);
}

// Bounds what one power loss costs an aggregator, which sends each forwarded
// run to every host of the region.
BOOST_FIXTURE_TEST_CASE(forwardedRunsAreLimited, OneHost) {
  std::size_t Runs = 0;
  for (std::size_t I = 0; I < CrashTracker::MaxForwardedRuns; ++I) {
    Tracker.received(CrashNews{
        {{{100 + I},
          100ms,
          {{{{7777}, {}, {2 * I}}, 50ms}, {{{7777}, {}, {2 * I + 1}}, 50ms}}}},
        {},
        {}});
  }
  auto Count = [&Runs](const CrashNews &News) {
    for (const CrashReport &Report : News.Crashes)
      Runs += Report.Runs.size();
  };
  Count(Tracker.takeNews(true));
  BOOST_TEST(Runs == CrashTracker::MaxForwardedRuns);
  // What this host sees itself is always sent.
  Runs = 0;
  crash(request({}));
  Count(Tracker.takeNews(true));
  BOOST_TEST(Runs == 1U);
  Time.runFor(CrashTracker::LateReportTime + 1s);
  Tracker.takeNews(true);
  Runs = 0;
  Tracker.received(
      CrashNews{{{{7}, 100ms, {{{{7777}, {}, {99999}}, 50ms}}}}, {}, {}});
  Count(Tracker.takeNews(true));
  BOOST_TEST(Runs == 1U);
}

BOOST_FIXTURE_TEST_CASE(endpointThatGoesOnHasNotCrashed, OneHost) {
  CrashSuspects Request = request({});
  for (std::uint64_t I = 1; I <= 10; ++I) {
    Tracker.recordBreak({I}, Request, Time.now());
    BOOST_TEST(Tracker.takeProbes().size() == 1U);
    Time.runFor(100ms);
    Tracker.recordAlive({I});
    Time.runFor(1s);
  }
  BOOST_TEST(!Tracker.check(Request).has_value());
  BOOST_TEST(Tracker.takeNews(true).isEmpty());
}

// An answer that was begun before the crash and ended after it says nothing of
// what the part does since.
BOOST_FIXTURE_TEST_CASE(answerBegunBeforeTheCrashesClearsNothing, OneHost) {
  TimePoint Before = Time.now();
  Time.runFor(100ms);
  for (std::size_t I = 0; I < CrashTracker::PartLimit; ++I) {
    othersArrive();
    crash(request({{1}, {2}}));
  }
  BOOST_TEST(Tracker.check(request({{1}, {2}})).has_value());
  Tracker.recordSound(request({{1}, {2}}), Before);
  BOOST_TEST(Tracker.check(request({{1}, {2}})).has_value());
  Tracker.recordSound(request({{1}, {2}}), Time.now());
  BOOST_TEST(!Tracker.check(request({{1}, {2}})).has_value());
}

BOOST_FIXTURE_TEST_CASE(suspectsOfOtherScopesAreNotRefused, OneHost) {
  for (std::size_t I = 0; I <= CrashTracker::PartLimit; ++I) {
    othersArrive();
    crash(request({{1}, {2}}));
  }
  BOOST_TEST(Tracker.check(request({{1}, {2}})).has_value());
  RequestDescriptor Mine;
  Mine.Host = "a.example";
  Mine.Parts = {{2, 100}, {9, 100}};
  RequestDescriptor Theirs = Mine;
  Theirs.Host = "b.example";
  BOOST_TEST((suspectsOf(Mine).Parts[0] != suspectsOf(Theirs).Parts[0]));
  BOOST_TEST((suspectsOf(Mine).Whole != suspectsOf(Theirs).Whole));
}

// Callers choose the ids of parts.
BOOST_FIXTURE_TEST_CASE(manyPartsTakeBoundedMemory, OneHost) {
  for (std::uint64_t I = 0; I < 300; ++I) {
    std::vector<CrashSuspect> Parts;
    for (std::uint64_t Part = 0; Part < CrashSuspects::MaxParts; ++Part)
      Parts.push_back({1'000'000 + I * 100 + Part});
    Tracker.recordBreak({++Endpoints}, request(std::move(Parts)), Time.now());
    Time.runFor(CrashTracker::ConfirmTime + 10ms);
    Tracker.check(request({}));
  }
  CrashNews News = Tracker.currentNews();
  BOOST_TEST(News.Crashes.size() <= 32U);
  BOOST_TEST(News.Refused.empty());
  // A bad part is still found.
  for (std::size_t I = 0; I <= CrashTracker::PartLimit; ++I) {
    othersArrive();
    crash(request({{1}, {2}}));
  }
  BOOST_TEST(Tracker.check(request({{1}, {2}})).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
