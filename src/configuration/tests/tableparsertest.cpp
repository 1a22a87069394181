#include "configuration/tableparser.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "support/temporaryfolder.h"

using namespace celerybeam;
using celerybeam::testing::readFile;

namespace {

const std::string GoodPools = R"([[pool]]
name = "engines"
label = "cedar"
model = "cedar-7b@3"

[[pool]]
name = "orders"
kind = "runner"
label = "orders"
)";

const std::string GoodRoutes = R"([[route]]
name = "quotes"
pool = "engines"
models = ["cedar-7b@3"]
)";

std::vector<TableProblem> problemsOf(const TableTexts &Texts) {
  CheckedTables Checked = parseTables(Texts);
  return Checked ? std::vector<TableProblem>() : Checked.error();
}

bool mentions(const std::vector<TableProblem> &Problems, unsigned Line,
              const std::string &Part) {
  return std::any_of(Problems.begin(), Problems.end(), [&](const auto &P) {
    return P.Line == Line && P.Message.find(Part) != std::string::npos;
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(TableParserTests)

BOOST_AUTO_TEST_CASE(rowsComeOutWithTheirDefaults) {
  CheckedTables Checked = parseTables({GoodRoutes, GoodPools});
  BOOST_REQUIRE(Checked.has_value());
  BOOST_TEST(Checked->Number == 0U);
  const RouteRow *Route = Checked->findRoute(RouteName("quotes"));
  BOOST_REQUIRE(Route);
  BOOST_TEST(Route->Repeatable);
  BOOST_TEST(Route->DefaultDeadline.count() == 60'000'000);
  BOOST_TEST(Checked->findPool(PoolName("engines"))->LongShare == 0.75);
}

BOOST_AUTO_TEST_CASE(theExamplesPassAndFormatBackToTheSameTables) {
  const std::string Folder = CELERYBEAM_EXAMPLES;
  CheckedTables Checked = parseTables(
      {readFile(Folder + "/routes.toml"), readFile(Folder + "/pools.toml")});
  BOOST_REQUIRE(Checked.has_value());
  BOOST_TEST(Checked->Routes.size() == 7U);
  TableTexts Texts = formatTables(*Checked);
  CheckedTables Again = parseTables(Texts);
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST((formatTables(*Again) == Texts));
  const RouteRow *Plans = Again->findRoute(RouteName("rota-plans"));
  BOOST_TEST((Plans->Residence == ResidenceRule::Caller));
  BOOST_TEST(Plans->DefaultDeadline.count() == 300'000'000);
}

BOOST_AUTO_TEST_CASE(everyProblemIsReportedWithItsLine) {
  auto Problems = problemsOf({R"([[route]]
name = "quotes"
pool = "engine"
models = "cedar-7b@3"
default_deadline = 60
repeatible = false
send_away_margin = 0.5
residence = "home"

[[route]]
name = "quotes"
pool = "engines"
models = ["cedar-8b@3"]
)",
                              GoodPools});
  BOOST_TEST(mentions(Problems, 2, "did you mean \"engines\"?"));
  BOOST_TEST(mentions(Problems, 4, "list of strings"));
  BOOST_TEST(mentions(Problems, 5, "\"60s\""));
  BOOST_TEST(mentions(Problems, 6, "did you mean `repeatable`?"));
  BOOST_TEST(mentions(Problems, 7, "from 1.0 to 100.0"));
  BOOST_TEST(mentions(Problems, 8, "\"caller\""));
  BOOST_TEST(mentions(Problems, 11, "stands already in line 2"));
  BOOST_TEST(mentions(Problems, 11, "does not load model \"cedar-8b@3\""));
  BOOST_TEST(Problems.size() == 8U);
}

BOOST_AUTO_TEST_CASE(keysThatContradictEachOtherAreRefused) {
  auto Problems = problemsOf({R"([[route]]
name = "a"
pool = "orders"
residence = "region"
repeatable = false
hedge = true
may_leave_region = true

[[route]]
name = "b"
pool = "engines"
repeatable = false

[[route]]
name = "c"
pool = "engines"
models = ["cedar-7b@3"]
residence_region = "kigali"
)",
                              GoodPools});
  BOOST_TEST(mentions(Problems, 4, "add `residence_region`"));
  BOOST_TEST(mentions(Problems, 6, "never hedged"));
  BOOST_TEST(mentions(Problems, 7, "home region"));
  BOOST_TEST(mentions(Problems, 10, "needs a pool of kind \"runner\""));
  BOOST_TEST(mentions(Problems, 10, "add `models`"));
  BOOST_TEST(mentions(Problems, 12, "one home region"));
  BOOST_TEST(mentions(Problems, 18, "residence_region"));
}

BOOST_AUTO_TEST_CASE(poolsAreCheckedByTheirKind) {
  auto Problems = problemsOf({"", R"([[pool]]
name = "a"
label = "a"

[[pool]]
name = "b b"
kind = "service"
label = "b"
model = "m@1"
checks = "key"
)"});
  BOOST_TEST(mentions(Problems, 1, "needs `model`"));
  BOOST_TEST(mentions(Problems, 6, "letters, digits"));
  BOOST_TEST(mentions(Problems, 9, "only a pool"));
  BOOST_TEST(mentions(Problems, 10, "only a pool"));
}

BOOST_AUTO_TEST_CASE(aSyntaxErrorHidesNoProblemOfTheOtherFile) {
  auto Problems = problemsOf({"[[route]\n", "[pool]\nname = 1\n"});
  BOOST_TEST(Problems.size() == 2U);
  BOOST_TEST(Problems.front().File == "routes.toml");
  BOOST_TEST(mentions(Problems, 1, "[[pool]]"));
}

BOOST_AUTO_TEST_CASE(textsWithSpecialCharactersSurviveFormatting) {
  CheckedTables Checked = parseTables({GoodRoutes, GoodPools});
  BOOST_REQUIRE(Checked.has_value());
  Checked->Pools[1].Label = "a \"b\"\n\\ 'c' \x01 é";
  CheckedTables Again = parseTables(formatTables(*Checked));
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(Again->Pools[1].Label == Checked->Pools[1].Label);
}

BOOST_AUTO_TEST_SUITE_END()
