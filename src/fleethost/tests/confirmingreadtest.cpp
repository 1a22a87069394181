#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleethost/internal/confirmingread.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using detail::ConfirmingRead;

namespace {

const RegionId Home("kigali");
const RegionId Abroad("oslo");
const std::string Store;

/// How a source behaves.
enum class Source { Answers, Refuses, Silent };

/// A host with a copy of the tables, and the sources of a confirmation.
struct Fixture {
  Fixture() {
    StoreSnapshot List;
    List.AsOf = {1, 10};
    List.Items = {{"config", "old", {1, 5}, false}};
    Operator.applyFromPeer(List);
    Operator.setFollowing(true);
  }

  static HostState host(const std::string &Ip, const RegionId &Region) {
    HostState H;
    H.Id = HostId(Ip);
    H.Ip = Ip;
    H.Region = Region;
    H.Ready = true;
    return H;
  }

  void add(const std::string &Ip, const RegionId &Region, bool Watches) {
    HostState H = host(Ip, Region);
    H.Watches = Watches;
    Hosts.received(H);
  }

  StoreMirrorHooks mirrorHooks() {
    StoreMirrorHooks H;
    H.Changed = [this](const StoreChange &Change, bool) {
      Value = Change.Value;
    };
    return H;
  }

  /// What a host that has read the store hands over.
  StoreSnapshot changes() const {
    StoreSnapshot Changes;
    Changes.AsOf = {1, 20};
    Changes.ChangesOnly = true;
    Changes.Items = {{"config", "new", {1, 15}, false}};
    return Changes;
  }

  ConfirmingRead::Hooks hooks() {
    return {[this](const ReadBarrier::Done &Done) {
              Asked.push_back(Store);
              if (Sources[Store] == Source::Silent)
                return;
              bool Refuses = Sources[Store] == Source::Refuses;
              Time.after(4ms, [Refuses, Done] {
                Done(Refuses ? makeError(ErrorKind::StoreUnreachable, "503")
                             : Result<void>());
              });
            },
            [this](const std::string &Ip, StoreRevision, auto Then) {
              Asked.push_back(Ip);
              if (Sources[Ip] == Source::Silent)
                return;
              bool Refuses = Sources[Ip] == Source::Refuses;
              Time.after(5ms, [this, Refuses, Then] {
                if (Refuses)
                  return Then(makeError(ErrorKind::Overloaded, "503"));
                Then(Handed.value_or(changes()));
              });
            },
            [this](TimePoint At) { ConfirmedAt = At; }};
  }

  /// Reads once. \return whether it succeeded; empty without an answer.
  std::optional<bool> read(Duration AtMost = 2s) {
    Asked.clear();
    std::optional<bool> Got;
    Begun = Time.now();
    Tested.read([&Got](const Result<void> &Ended) { Got = Ended.has_value(); });
    Time.runUntil([&] { return Got.has_value(); }, AtMost);
    return Got;
  }

  testing::VirtualTime Time{1};
  HostRegistry Hosts{Time.runtime(), host("10.0.0.1", Home)};
  std::string Value;
  std::map<std::string, Source> Sources;
  std::vector<std::string> Asked;
  std::optional<StoreSnapshot> Handed;
  std::optional<TimePoint> ConfirmedAt;
  TimePoint Begun{};
  StoreMirror Operator{Time.runtime(), mirrorHooks()};
  detail::SourceRanking Ranking{Time.runtime(), Hosts};
  ConfirmingRead Tested{Time.runtime(), Ranking, Operator, hooks()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfirmingReadTests, Fixture)

// The store's calls must not grow with the hosts.
BOOST_AUTO_TEST_CASE(followerHasAWatcherRead) {
  add("10.0.0.2", Home, false);
  add("10.0.0.3", Home, true);
  add("10.1.0.1", Abroad, true);
  BOOST_TEST(read().value_or(false));
  BOOST_TEST(Asked == std::vector<std::string>{"10.0.0.3"});
  BOOST_TEST(Value == "new");
  BOOST_TEST(Operator.revision().Number == 20U);
  BOOST_TEST((ConfirmedAt == Begun));
}

BOOST_AUTO_TEST_CASE(watcherReadsItself) {
  Operator.setFollowing(false);
  add("10.0.0.3", Home, true);
  BOOST_TEST(read().value_or(false));
  BOOST_TEST(Asked == std::vector<std::string>{Store});
}

// A single host is partitioned from the store, and later from its region.
BOOST_AUTO_TEST_CASE(hostThatLosesTheStoreHasAnotherOneRead) {
  Operator.setFollowing(false);
  add("10.0.0.3", Home, true);
  Sources[Store] = Source::Silent;
  BOOST_TEST(read().value_or(false));
  BOOST_TEST(Asked == (std::vector<std::string>{Store, "10.0.0.3"}));
  // It failed at last, so it comes after the other host.
  Sources[Store] = Source::Refuses;
  Time.runFor(10s);
  BOOST_TEST(read().value_or(false));
  BOOST_TEST(read().value_or(false));
  BOOST_TEST(Asked == std::vector<std::string>{"10.0.0.3"});
}

BOOST_AUTO_TEST_CASE(nextSourceIsAskedAtOnceAfterARefusal) {
  for (const char *Ip : {"10.0.0.2", "10.0.0.3", "10.0.0.4"}) {
    add(Ip, Home, true);
    Sources[Ip] = Source::Refuses;
  }
  add("10.1.0.1", Abroad, true);
  BOOST_TEST(read(20ms).value_or(false));
  BOOST_TEST(Asked.size() == 3U);
  BOOST_TEST(Asked.back() == "10.1.0.1");
}

BOOST_AUTO_TEST_CASE(hostThatKnowsNobodyInItsRegionReadsItself) {
  BOOST_TEST(read().value_or(false));
  BOOST_TEST(Asked == std::vector<std::string>{Store});
}

// CONFIG: hosts that are cut off from the store still get newer tables from
// each other.
BOOST_AUTO_TEST_CASE(hostThatCannotReadTheStoreIsStillAskedForItsCopy) {
  add("10.0.0.2", Home, true);
  Sources["10.0.0.2"] = Source::Refuses;
  BOOST_TEST(!read().value_or(true));
  auto Ranked =
      Ranking.newerThan(MirrorPart::OperatorTables, Operator.revision(), {});
  BOOST_TEST(Ranked.Near == std::vector<std::string>{"10.0.0.2"});
}

BOOST_AUTO_TEST_CASE(hostThatFailedComesAfterTheOthers) {
  add("10.0.0.2", Home, true);
  Sources["10.0.0.2"] = Source::Refuses;
  read();
  add("10.0.0.3", Home, true);
  for (int Read = 0; Read < 10; ++Read) {
    BOOST_TEST(read().value_or(false));
    BOOST_TEST(Asked == std::vector<std::string>{"10.0.0.3"});
  }
}

// TWICE: hosts of a zone that is cut off must not confirm each other.
BOOST_AUTO_TEST_CASE(readFailsWhenNobodyReachesTheStore) {
  add("10.0.0.2", Home, true);
  add("10.0.0.3", Home, false);
  for (const char *Ip : {"10.0.0.2", "10.0.0.3", ""})
    Sources[Ip] = Source::Refuses;
  BOOST_TEST(!read().value_or(true));
  BOOST_TEST(!ConfirmedAt.has_value());
}

BOOST_AUTO_TEST_CASE(silentSourcesConfirmNothing) {
  add("10.0.0.2", Home, true);
  Sources["10.0.0.2"] = Sources[Store] = Source::Silent;
  BOOST_TEST(!read().has_value());
  BOOST_TEST(!ConfirmedAt.has_value());
  BOOST_TEST(Asked.size() == 1U);
}

// Changes since a revision of an era that has ended here.
BOOST_AUTO_TEST_CASE(changesThatDoNotApplyConfirmNothing) {
  add("10.0.0.2", Home, true);
  Sources[Store] = Source::Refuses;
  Handed = changes();
  Handed->AsOf.Era = 2;
  BOOST_TEST(!read().value_or(true));
  BOOST_TEST(!ConfirmedAt.has_value());
  BOOST_TEST(Value == "old");
}

BOOST_AUTO_TEST_SUITE_END()
