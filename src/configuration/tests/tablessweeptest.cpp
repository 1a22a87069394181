#include "configuration/tableswriter.h"

#include <algorithm>
#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "configuration/tests/tablerows.h"
#include "support/fakestore.h"

using namespace celerybeam;
using namespace celerybeam::tests;
using namespace celerybeam::testing;
using namespace std::chrono_literals;

namespace {

using Outcome = std::optional<Result<ApplyOutcome>>;

constexpr StoreFault AllFaults[] = {
    StoreFault::LoseRequest, StoreFault::LoseReply, StoreFault::DelayRequest,
    StoreFault::DuplicateRequest};

/// Maximum number of store calls of two racing edits.
constexpr int SweptCalls = 30;

/// Two concurrent edits of the same tables with a fault in one store call.
struct Race {
  explicit Race(std::uint64_t Seed) : Time(Seed) {
    First.apply({{}, Base, "start"}, [](const Result<ApplyOutcome> &R) {
      BOOST_REQUIRE(R.has_value());
    });
    Time.runFor(10s);
  }

  /// Runs both edits; the store call with the given number has the fault.
  void run(const TableRows &Ann, const TableRows &Bob, int Call, StoreFault F) {
    Store.PickFault = [Call, F, Count = 0]() mutable {
      return Count++ == Call ? F : StoreFault::None;
    };
    First.apply({Base, Ann, "ann"}, [&](const auto &R) { OfAnn.emplace(R); });
    Time.runFor(3ms);
    Second.apply({Base, Bob, "bob"}, [&](const auto &R) { OfBob.emplace(R); });
    Time.runFor(120s);
    First.read([&](const auto &R) { Final = R.value(); });
    First.history(100, [&](const auto &R) { Marks = R.value(); });
    Time.runFor(10s);
  }

  int marksBy(const std::string &Author) const {
    return static_cast<int>(
        std::count_if(Marks.begin(), Marks.end(),
                      [&](const auto &M) { return M.Author == Author; }));
  }

  VirtualTime Time;
  FakeStore Store{Time};
  VirtualHost AnnsHost{Time, HostId("ann")};
  VirtualHost BobsHost{Time, HostId("bob")};
  TablesWriter First{Store.hooks(AnnsHost), AnnsHost.runtime()};
  TablesWriter Second{Store.hooks(BobsHost), BobsHost.runtime()};
  TableRows Base = someRows(4);
  Outcome OfAnn;
  Outcome OfBob;
  StoredTables Final;
  std::vector<RevisionMark> Marks;
};

/// Checks that an accepted edit is exactly one revision of the history, and a
/// failed one is none. With an unknown outcome it may be one or none.
void checkOutcome(const Race &R, const Outcome &Of, const std::string &Author) {
  BOOST_REQUIRE(Of.has_value());
  int Marks = R.marksBy(Author);
  if (Of->has_value())
    BOOST_TEST(Marks == 1);
  else if ((*Of).error().Kind == ErrorKind::StoreOutcomeUnknown)
    BOOST_TEST(Marks <= 1);
  else
    BOOST_TEST(Marks == 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TablesSweepTests)

BOOST_AUTO_TEST_CASE(racingEditsOfDifferentRowsAreAppliedOnceUnderAnyOneFault) {
  for (StoreFault F : AllFaults)
    for (int Call = 0; Call < SweptCalls; ++Call) {
      BOOST_TEST_CONTEXT("fault " << static_cast<int>(F) << " of call "
                                  << Call) {
        Race R(static_cast<std::uint64_t>(Call) + 1);
        TableRows Ann = withDeadline(R.Base, "r0", 7);
        TableRows Bob = withDeadline(R.Base, "r1", 8);
        R.run(Ann, Bob, Call, F);
        checkOutcome(R, R.OfAnn, "ann");
        checkOutcome(R, R.OfBob, "bob");
        if (R.OfAnn->has_value() && R.OfBob->has_value())
          BOOST_TEST((R.Final.Content.Rows == withDeadline(Ann, "r1", 8)));
      }
    }
}

BOOST_AUTO_TEST_CASE(ofRacingEditsOfOneRowOneIsAppliedUnderAnyOneFault) {
  for (StoreFault F : AllFaults)
    for (int Call = 0; Call < SweptCalls; ++Call) {
      BOOST_TEST_CONTEXT("fault " << static_cast<int>(F) << " of call "
                                  << Call) {
        Race R(static_cast<std::uint64_t>(Call) + 1);
        R.run(withDeadline(R.Base, "r0", 7), withDeadline(R.Base, "r0", 8),
              Call, F);
        checkOutcome(R, R.OfAnn, "ann");
        checkOutcome(R, R.OfBob, "bob");
        BOOST_TEST(R.marksBy("ann") + R.marksBy("bob") == 1);
        int Seconds = R.marksBy("ann") == 1 ? 7 : 8;
        BOOST_TEST(
            (R.Final.Content.Rows == withDeadline(R.Base, "r0", Seconds)));
      }
    }
}

BOOST_AUTO_TEST_SUITE_END()
