#include "configuration/tableswriter.h"

#include <optional>

#include <boost/test/unit_test.hpp>

#include "configuration/tests/fakestore.h"
#include "configuration/tests/tablerows.h"

using namespace celerybeam;
using namespace celerybeam::tests;
using namespace std::chrono_literals;

namespace {

struct Editors {
  VirtualTime Time{7};
  FakeStore Store{Time};
  TablesWriter Writer{Store.hooks(), Time.runtime()};

  Result<ApplyOutcome> apply(const TableRows &Base, const TableRows &Next,
                             const std::string &Author = "ann") {
    std::optional<Result<ApplyOutcome>> Outcome;
    Writer.apply({Base, Next, Author},
                 [&](Result<ApplyOutcome> R) { Outcome = std::move(R); });
    Time.runFor(120s);
    BOOST_REQUIRE(Outcome.has_value());
    return std::move(*Outcome);
  }

  StoredTables read() {
    std::optional<StoredTables> Stored;
    Writer.read([&](Result<StoredTables> R) {
      BOOST_REQUIRE(R.has_value());
      Stored = std::move(*R);
    });
    Time.runFor(10s);
    BOOST_REQUIRE(Stored.has_value());
    return std::move(*Stored);
  }

  /// Makes another editor put rows in force once, just before the next write
  /// of the head takes effect.
  void race(const TableRows &Base, const TableRows &Next) {
    Store.BeforeHeadWrite = [this, Request = ApplyRequest{Base, Next, "bob"},
                             Done = false]() mutable {
      if (std::exchange(Done, true))
        return;
      Other.apply(Request, [](const Result<ApplyOutcome> &) {});
      Time.runFor(5s);
    };
  }

  TablesWriter Other{Store.hooks(), Time.runtime()};
};

} // namespace

BOOST_AUTO_TEST_SUITE(TablesWriterTests)

BOOST_AUTO_TEST_CASE(theFirstRevisionReadsBackAsApplied) {
  Editors E;
  TableRows Rows = someRows(300);
  Result<ApplyOutcome> Outcome = E.apply({}, Rows);
  BOOST_REQUIRE(Outcome.has_value());
  BOOST_TEST(Outcome->Mark.Number == 1U);
  StoredTables Stored = E.read();
  BOOST_TEST((Stored.Content.Rows == Rows));
  BOOST_TEST(tablesOf(Stored.Content).has_value());
}

BOOST_AUTO_TEST_CASE(anEditOfOneRowWritesOneChunkOneRecordAndTheHead) {
  Editors E;
  TableRows Rows = someRows(300);
  BOOST_REQUIRE(E.apply({}, Rows).has_value());
  int Before = E.Store.Writes;
  BOOST_REQUIRE(E.apply(Rows, withDeadline(Rows, "r9", 9)).has_value());
  BOOST_TEST(E.Store.Writes - Before == 3);
}

BOOST_AUTO_TEST_CASE(rowsInForceAlreadyAreNotWrittenAgain) {
  Editors E;
  TableRows Rows = someRows(3);
  BOOST_REQUIRE(E.apply({}, Rows).has_value());
  Result<ApplyOutcome> Again = E.apply({}, Rows);
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(!Again->Changed);
  BOOST_TEST(Again->Mark.Number == 1U);
}

BOOST_AUTO_TEST_CASE(racingEditsOfDifferentRowsAreBothApplied) {
  Editors E;
  TableRows Base = someRows(3);
  BOOST_REQUIRE(E.apply({}, Base).has_value());
  E.race(Base, withDeadline(Base, "r0", 7));
  Result<ApplyOutcome> Outcome = E.apply(Base, withDeadline(Base, "r1", 8));
  BOOST_REQUIRE(Outcome.has_value());
  BOOST_TEST(Outcome->Mark.Number == 3U);
  BOOST_REQUIRE(Outcome->ChangedByOthers.size() == 1U);
  BOOST_TEST(describeChange(Outcome->ChangedByOthers[0]) == "route r0 changed");
  TableRows Both = withDeadline(withDeadline(Base, "r0", 7), "r1", 8);
  BOOST_TEST((E.read().Content.Rows == Both));
}

BOOST_AUTO_TEST_CASE(aConflictingEditOfOneRowReportsWhatChanged) {
  Editors E;
  TableRows Base = someRows(3);
  BOOST_REQUIRE(E.apply({}, Base).has_value());
  E.race(Base, withDeadline(Base, "r0", 7));
  Result<ApplyOutcome> Outcome = E.apply(Base, withDeadline(Base, "r0", 8));
  BOOST_REQUIRE(!Outcome.has_value());
  BOOST_TEST((Outcome.error().Kind == ErrorKind::StoreConflict));
  for (const char *Part : {"Revision 2 by bob", "route r0", "\"7s\"", "\"8s\""})
    BOOST_TEST(Outcome.error().Message.find(Part) != std::string::npos, Part);
  BOOST_TEST((E.read().Content.Rows == withDeadline(Base, "r0", 7)));
}

BOOST_AUTO_TEST_CASE(mergedTablesAreCheckedTogether) {
  Editors E;
  TableRows Base = someRows(0);
  BOOST_REQUIRE(E.apply({}, Base).has_value());
  TableRows WithoutPool;
  E.race(Base, withDeadline(Base, "r0", 7));
  Result<ApplyOutcome> Outcome = E.apply(Base, WithoutPool);
  BOOST_REQUIRE(!Outcome.has_value());
  BOOST_TEST((Outcome.error().Kind == ErrorKind::InvalidTable));
}

BOOST_AUTO_TEST_CASE(aLostReplyOfTheHeadWriteIsResolvedByTheNonce) {
  Editors E;
  TableRows Base = someRows(3);
  BOOST_REQUIRE(E.apply({}, Base).has_value());
  E.Store.LosesHeadReply = [Lost = false]() mutable {
    return !std::exchange(Lost, true);
  };
  Result<ApplyOutcome> Outcome = E.apply(Base, withDeadline(Base, "r0", 7));
  BOOST_REQUIRE(Outcome.has_value());
  BOOST_TEST(Outcome->Changed);
  BOOST_TEST(Outcome->Mark.Number == 2U);
  BOOST_TEST(E.read().Mark.Number == 2U);
}

BOOST_AUTO_TEST_CASE(aLostReplyIsResolvedByTheHistoryAfterAnotherEdit) {
  Editors E;
  TableRows Base = someRows(3);
  TableRows Mine = withDeadline(Base, "r0", 7);
  BOOST_REQUIRE(E.apply({}, Base).has_value());
  E.Store.LosesHeadReply = [&, Lost = false]() mutable {
    if (std::exchange(Lost, true))
      return false;
    E.Other.apply({Mine, withDeadline(Mine, "r0", 9), "bob"},
                  [](const Result<ApplyOutcome> &) {});
    return true;
  };
  Result<ApplyOutcome> Outcome = E.apply(Base, Mine);
  BOOST_REQUIRE(Outcome.has_value());
  BOOST_TEST(Outcome->Mark.Number == 2U);
  BOOST_TEST((E.read().Content.Rows == withDeadline(Mine, "r0", 9)));
}

BOOST_AUTO_TEST_CASE(aWriteThatFailsWithoutTakingEffectIsRepeated) {
  Editors E;
  TableRows Base = someRows(3);
  BOOST_REQUIRE(E.apply({}, Base).has_value());
  E.Store.BeforeHeadWrite = [&, Count = 0]() mutable {
    E.Store.Down = Count++ == 0;
    E.Time.after(300ms, [&] { E.Store.Down = false; });
  };
  Result<ApplyOutcome> Outcome = E.apply(Base, withDeadline(Base, "r0", 7));
  BOOST_REQUIRE(Outcome.has_value());
  BOOST_TEST(E.read().Mark.Number == 2U);
}

BOOST_AUTO_TEST_CASE(aStoreThatIsDownChangesNothing) {
  Editors E;
  E.Store.Down = true;
  Result<ApplyOutcome> Outcome = E.apply({}, someRows(1));
  BOOST_REQUIRE(!Outcome.has_value());
  BOOST_TEST((Outcome.error().Kind == ErrorKind::StoreUnreachable));
}

BOOST_AUTO_TEST_CASE(aStoreThatGoesDownAfterALostReplyLeavesTheOutcomeUnknown) {
  Editors E;
  TableRows Base = someRows(3);
  BOOST_REQUIRE(E.apply({}, Base).has_value());
  E.Store.LosesHeadReply = [&] { return E.Store.Down = true; };
  Result<ApplyOutcome> Outcome = E.apply(Base, withDeadline(Base, "r0", 7));
  BOOST_REQUIRE(!Outcome.has_value());
  BOOST_TEST((Outcome.error().Kind == ErrorKind::StoreOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(staleReadsAfterALostReplyNeverReportThatNothingChanged) {
  Editors E;
  TableRows Base = someRows(3);
  BOOST_REQUIRE(E.apply({}, Base).has_value());
  E.Store.freeze();
  E.Store.LosesHeadReply = [] { return true; };
  Result<ApplyOutcome> Outcome = E.apply(Base, withDeadline(Base, "r0", 7));
  BOOST_REQUIRE(!Outcome.has_value());
  BOOST_TEST((Outcome.error().Kind == ErrorKind::StoreOutcomeUnknown));
  E.Store.thaw();
  BOOST_TEST(E.read().Mark.Number == 2U);
}

BOOST_AUTO_TEST_CASE(aRevisionCanBeNumberedAboveThoseThatTheStoreLost) {
  Editors E;
  TableRows Rows = someRows(3);
  BOOST_REQUIRE(E.apply({}, Rows).has_value());
  ApplyRequest Request{Rows, Rows, "ann", 40};
  E.Writer.apply(Request, [](const Result<ApplyOutcome> &) {});
  E.Time.runFor(10s);
  BOOST_TEST(E.read().Mark.Number == 41U);
}

BOOST_AUTO_TEST_CASE(aMalformedHeadIsReportedAndLeftAlone) {
  Editors E;
  E.Store.hooks().Put({headKey(), "{\"current\":7}"}, [](const auto &) {});
  E.Time.runFor(1s);
  Result<ApplyOutcome> Outcome = E.apply({}, someRows(1));
  BOOST_REQUIRE(!Outcome.has_value());
  BOOST_TEST((Outcome.error().Kind == ErrorKind::InvalidTable));
  BOOST_TEST(E.Store.data(headKey()) == "{\"current\":7}");
}

BOOST_AUTO_TEST_CASE(rollbackIsANewRevisionWithTheOlderRows) {
  Editors E;
  TableRows Rows = someRows(3);
  BOOST_REQUIRE(E.apply({}, Rows).has_value());
  constexpr int Edits = 40;
  for (int I = 1; I <= Edits; ++I) {
    TableRows Next = withDeadline(Rows, "r0", I);
    BOOST_REQUIRE(E.apply(Rows, Next).has_value());
    Rows = Next;
  }
  // The head's history no longer contains revision 2.
  std::optional<Result<ApplyOutcome>> Outcome;
  E.Writer.rollback(2, "ann", [&](auto R) { Outcome = std::move(R); });
  E.Time.runFor(60s);
  BOOST_REQUIRE((Outcome && Outcome->has_value()));
  BOOST_TEST((*Outcome)->Mark.Number == Edits + 2U);
  BOOST_TEST((E.read().Content.Rows == withDeadline(Rows, "r0", 1)));

  E.Writer.rollback(99, "ann", [&](auto R) { Outcome = std::move(R); });
  E.Time.runFor(60s);
  BOOST_TEST((Outcome->error().Kind == ErrorKind::NotFound));
}

BOOST_AUTO_TEST_CASE(historyReachesBackToTheFirstRevision) {
  Editors E;
  TableRows Rows;
  constexpr unsigned Edits = 50;
  for (unsigned I = 1; I <= Edits; ++I) {
    TableRows Next = withDeadline(someRows(1), "r0", static_cast<int>(I));
    BOOST_REQUIRE(E.apply(Rows, Next).has_value());
    Rows = Next;
  }
  std::vector<RevisionMark> Marks;
  E.Writer.history(1000, [&](const auto &R) { Marks = R.value(); });
  E.Time.runFor(60s);
  BOOST_REQUIRE(Marks.size() == Edits);
  for (unsigned I = 0; I < Edits; ++I)
    BOOST_TEST(Marks[I].Number == Edits - I);
}

BOOST_AUTO_TEST_SUITE_END()
