#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <string>

#include "fleethost/internal/peerconfirmation.h"
#include "fleethost/internal/snapshotcodec.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using detail::MirrorSummary;
using detail::PeerConfirmation;

namespace {

const RegionId Home("kigali");
const RegionId Abroad("oslo");

/// Endpoint entries and their size, as on a fleet of 295 hosts.
constexpr unsigned Entries = 330;
constexpr std::size_t EntryBytes = 400;

/// A host's mirrors, each loaded from one list of the store.
struct Copy {
  Copy(testing::VirtualTime &Time, RegionId Region, std::uint64_t At)
      : Region(std::move(Region)), Operator(Time.runtime(), hooks()),
        Endpoints(Time.runtime(), hooks()) {
    StoreSnapshot List;
    List.AsOf = {1, At};
    List.Items = {{"config", "tables", {1, 5}, false}};
    Operator.applyFromPeer(List);
    for (unsigned I = 0; I < Entries; ++I)
      List.Items.push_back({"endpoint" + std::to_string(I),
                            std::string(EntryBytes, 'e'),
                            {1, 6 + I},
                            false});
    Endpoints.applyFromPeer(List);
  }

  static StoreMirrorHooks hooks() {
    StoreMirrorHooks H;
    H.Changed = [](const StoreChange &, bool) {};
    return H;
  }

  MirrorSummary summary() const {
    return {Region, Operator.includedFrom(), Endpoints.includedFrom(), Current,
            Operator.isSettling()};
  }

  RegionId Region;
  StoreMirror Operator;
  StoreMirror Endpoints;
  bool Current = false;
  bool Answers = true;
  unsigned Asked = 0;
  unsigned Fetches = 0;
  /// Bytes of its answers.
  std::size_t Bytes = 0;
};

/// A host that has just started, and the others that it asks.
struct Fixture {
  testing::VirtualTime Time{1};
  HostRegistry Hosts{Time.runtime(), host("10.0.0.1", Home)};
  Copy Own{Time, Home, 1000};
  std::map<std::string, std::unique_ptr<Copy>> Others;
  std::optional<Duration> ConfirmedAfter;
  TimePoint Start = Time.runtime().Now();
  detail::SourceRanking Sources{Time.runtime(), Hosts};
  std::shared_ptr<PeerConfirmation> Peers = std::make_shared<PeerConfirmation>(
      Time.runtime(), Hosts, Sources, Own.Operator, Own.Endpoints, hooks());
  RecencyCheck Check{
      Time.runtime(),
      {[this](RecencyCheck::Episode Asked, unsigned) { Peers->ask(Asked); },
       [this](const RecencyChange &Change) {
         if (Change.What == RecencyChange::Kind::Confirmed)
           ConfirmedAfter = Change.Age;
       }}};

  static HostState host(const std::string &Ip, const RegionId &Region) {
    HostState H;
    H.Id = HostId(Ip);
    H.Ip = Ip;
    H.Region = Region;
    H.Ready = true;
    return H;
  }

  Copy &add(const std::string &Ip, const RegionId &Region, std::uint64_t At) {
    Hosts.received(host(Ip, Region));
    Others[Ip] = std::make_unique<Copy>(Time, Region, At);
    return *Others[Ip];
  }

  void answer(Copy &From, std::size_t Bytes,
              const std::function<void()> &Then) {
    From.Bytes += Bytes;
    if (From.Answers)
      Time.after(From.Region == Home ? 2ms : 80ms, Then);
  }

  PeerConfirmation::Hooks hooks() {
    return {[this](const std::string &Ip, const auto &Then) {
              Copy &From = *Others.at(Ip);
              ++From.Asked;
              std::string Bytes = detail::writeSummary(From.summary());
              answer(From, Bytes.size(),
                     [Bytes, Then] { Then(detail::readSummary(Bytes)); });
            },
            [this](const std::string &Ip, MirrorPart Part, StoreRevision Since,
                   const auto &Then) {
              Copy &From = *Others.at(Ip);
              ++From.Fetches;
              auto Changes =
                  (Part == MirrorPart::OperatorTables ? From.Operator
                                                      : From.Endpoints)
                      .changesSince(Since);
              Changes.Current = From.Current;
              std::string Bytes = detail::writeSnapshot(Changes);
              answer(From, Bytes.size(),
                     [Bytes, Then] { Then(detail::readSnapshot(Bytes)); });
            },
            [this](RecencyCheck::Episode Asked) { Check.confirm(Asked); },
            [this] { return !Check.isConfirmed(); }};
  }

  void runFor(Duration Span) {
    for (Duration Passed{}; Passed < Span; Passed += 50ms) {
      Check.tick();
      for (const auto &[Ip, Other] : Others)
        Hosts.received(host(Ip, Other->Region));
      Time.runFor(50ms);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerConfirmationTests, Fixture)

// Guards against whole copies that cross regions: a host that loaded its copy
// later than the asker returns all entries for a question about changes.
BOOST_AUTO_TEST_CASE(bytesFromAnotherRegionDoNotGrowWithTheEntries) {
  add("10.0.0.2", Home, 1010);
  Copy &Far = add("10.1.0.1", Abroad, 1010);
  BOOST_TEST(detail::writeSnapshot(
                 Far.Endpoints.changesSince(Own.Endpoints.revision()))
                 .size() > Entries * EntryBytes);
  runFor(RecencyCheck::MaxDoubt);
  BOOST_TEST(!ConfirmedAfter.has_value());
  BOOST_TEST(Far.Asked > 3U);
  BOOST_TEST(Far.Bytes < 1000U);
}

BOOST_AUTO_TEST_CASE(hostOfAnotherRegionConfirmsACopyThatLacksNothing) {
  add("10.0.0.2", Home, 1000);
  Copy &Far = add("10.1.0.1", Abroad, 1000);
  Far.Current = true;
  runFor(RecencyCheck::MaxWait);
  BOOST_TEST(ConfirmedAfter.has_value());
  BOOST_TEST(Far.Fetches == 0U);
}

// Only the host abroad is current, but a host of the region has the changes.
BOOST_AUTO_TEST_CASE(missingChangesComeFromTheOwnRegion) {
  Copy &Near = add("10.0.0.2", Home, 1010);
  Copy &Far = add("10.1.0.1", Abroad, 1010);
  Far.Current = true;
  runFor(RecencyCheck::MaxWait);
  BOOST_TEST(ConfirmedAfter.has_value());
  BOOST_TEST(Near.Fetches == 2U);
  BOOST_TEST(Far.Fetches == 0U);
}

BOOST_AUTO_TEST_CASE(changesThatTheRegionLacksComeFromAfarOnce) {
  add("10.0.0.2", Home, 1000);
  Copy &Far = add("10.1.0.1", Abroad, 1010);
  Far.Current = true;
  runFor(RecencyCheck::MaxDoubt);
  BOOST_REQUIRE(ConfirmedAfter.has_value());
  BOOST_TEST((*ConfirmedAfter <= RecencyCheck::MaxWait));
  BOOST_TEST(Far.Fetches == 1U);
  BOOST_TEST(Far.Bytes < 1000U);
}

// A removal before a host's first list is not among its changes, so its newest
// change alone must not confirm a copy that still holds the removed key.
BOOST_AUTO_TEST_CASE(copyFromBeforeTheOthersFirstListIsNotConfirmedUnseen) {
  StoreSnapshot Newer;
  Newer.AsOf = {1, 1005};
  Newer.ChangesOnly = true;
  Newer.Items = {{"removed", "key", {1, 1002}, false}};
  Own.Operator.applyFromPeer(Newer);
  Copy &Far = add("10.1.0.1", Abroad, 1010);
  Far.Current = true;
  runFor(RecencyCheck::MaxWait);
  BOOST_TEST(ConfirmedAfter.has_value());
  BOOST_TEST(Own.Operator.changesSince({}).Items.size() ==
             Far.Operator.changesSince({}).Items.size());
}

BOOST_AUTO_TEST_CASE(outstandingQuestionsAreNotRepeated) {
  for (Copy *Other :
       {&add("10.0.0.2", Home, 1000), &add("10.0.0.3", Home, 1000),
        &add("10.1.0.1", Abroad, 1000)})
    Other->Answers = false;
  runFor(2s);
  for (const auto &[Ip, Other] : Others)
    BOOST_TEST(Other->Asked == 1U);
  // An answer to a question from before a standstill tells nothing, so it does
  // not hold up the question after it either.
  Time.runFor(RecencyCheck::MaxGap + 50ms);
  runFor(RecencyCheck::MaxWait);
  BOOST_TEST(Others.at("10.0.0.2")->Asked == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
