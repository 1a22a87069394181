#include "ctl/command.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "fakes/fakeplatform.h"
#include "fakes/fakeserver.h"
#include "framework/customerkey.h"
#include "settings/secretfile.h"
#include "support/temporaryfolder.h"

using namespace celerybeam;
using namespace celerybeam::ctl;

namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

/// Holds a fake platform and a temporary folder with the example tables, and
/// runs commands on them.
class CommandFixture : public testing::TemporaryFolder {
public:
  CommandFixture() {
    for (const char *Name : {"routes.toml", "pools.toml"})
      fs::copy_file(fs::path(CELERYBEAM_EXAMPLES) / Name, path(Name));
  }

  ExitCode run(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.begin(), "celerybeamctl");
    std::ostringstream OutStream;
    std::ostringstream ErrStream;
    ExitCode Code = runCommandLine(Arguments, OutStream, ErrStream);
    Out = OutStream.str();
    Err = ErrStream.str();
    return Code;
  }

  /// Runs a command on the tables in the platform's store.
  ExitCode runOnTables(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.end(), {"--platform", Platform.address()});
    return run(std::move(Arguments));
  }

  ExitCode apply(std::vector<std::string> More = {}) {
    std::vector<std::string> Arguments = {"apply", "--routes",
                                          path("routes.toml"), "--pools",
                                          path("pools.toml")};
    Arguments.insert(Arguments.end(), More.begin(), More.end());
    return runOnTables(std::move(Arguments));
  }

  std::string read(const std::string &Name) const {
    return testing::readFile(path(Name));
  }

  void edit(const std::string &Name, const std::string &Old,
            const std::string &New) const {
    std::string Text = read(Name);
    std::size_t Where = Text.find(Old);
    BOOST_REQUIRE(Where != std::string::npos);
    std::ofstream(path(Name)) << Text.replace(Where, Old.size(), New);
  }

  fakes::FakePlatform Platform{0, "{}"};
  std::string Out;
  std::string Err;
};

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// Replies as an entry host that knows two regions; in one of them, no host is
/// alive.
fakes::FakeReply statusReply(const fakes::FakeRequest &Request) {
  if (Request.header("authorization") != "Bearer secret")
    return fakes::jsonReply(
        401, R"({"error":{"kind":"unauthorized","message":"Give a token."}})");
  if (Request.Path != "/admin/status")
    return fakes::jsonReply(404, "{}");
  return fakes::jsonReply(200, R"({"host":"k1","region":"kigali","ready":true,
    "revision":1,"store":{"reachable":true},"regions":[
    {"region":"huye","hosts":2,"hosts_alive":0,"revision_lowest":0},
    {"region":"kigali","hosts":3,"hosts_alive":3,"revision_lowest":1}]})");
}

} // namespace

BOOST_AUTO_TEST_SUITE(CommandTests)

BOOST_AUTO_TEST_CASE(wrongUsageHasItsOwnExitCode) {
  CommandFixture D;
  BOOST_TEST((D.run({}) == ExitCode::Usage));
  BOOST_TEST((D.run({"nothing"}) == ExitCode::Usage));
  BOOST_TEST((D.run({"get", "--nothing"}) == ExitCode::Usage));
  BOOST_TEST((D.run({"get"}) == ExitCode::Usage));
  BOOST_TEST((D.run({"get", "--output", "xml"}) == ExitCode::Usage));
  BOOST_TEST(
      (D.run({"status", "--operator", "localhost:1"}) == ExitCode::Usage));
  BOOST_TEST(contains(D.Err, "IP number"));
}

BOOST_AUTO_TEST_CASE(everyCommandHasHelp) {
  CommandFixture D;
  for (const Command &C : allCommands()) {
    BOOST_TEST((D.run({C.Name, "--help"}) == ExitCode::Ok));
    BOOST_TEST(contains(D.Out, C.Summary));
  }
}

BOOST_AUTO_TEST_CASE(checkNamesTheFileAndLine) {
  CommandFixture D;
  std::vector<std::string> Check = {"check", D.path("routes.toml"),
                                    D.path("pools.toml")};
  BOOST_TEST((D.run(Check) == ExitCode::Ok));
  D.edit("routes.toml", "repeatable", "repeatible");
  BOOST_TEST((D.run(Check) == ExitCode::Failed));
  BOOST_TEST(contains(D.Err, D.path("routes.toml") + ":"));
  BOOST_TEST(contains(D.Err, "did you mean `repeatable`?"));
}

BOOST_AUTO_TEST_CASE(appliedTablesCanBeReadAndEditedAgain) {
  CommandFixture D;
  BOOST_TEST((D.runOnTables({"get"}) == ExitCode::Failed));
  BOOST_REQUIRE((D.apply() == ExitCode::Ok));
  BOOST_TEST(contains(D.read("routes.toml"), "# celerybeam: revision 1 "));
  D.edit("routes.toml", "\"120s\"", "\"100s\"");
  BOOST_TEST((D.apply({"--dry-run"}) == ExitCode::Ok));
  BOOST_TEST(contains(D.Out, "route quotes changed"));
  BOOST_TEST((D.apply({"--author", "ann"}) == ExitCode::Ok));
  BOOST_TEST((D.runOnTables({"get", "--output", "json"}) == ExitCode::Ok));
  Json Got = Json::parse(D.Out);
  BOOST_TEST(Got["revision"] == 2);
  BOOST_TEST(contains(Got["routes"], "\"100s\""));
  BOOST_TEST((D.runOnTables({"history", "--output", "json"}) == ExitCode::Ok));
  BOOST_TEST(Json::parse(D.Out)["revisions"][0]["author"] == "ann");
}

BOOST_AUTO_TEST_CASE(editOfAnOutdatedCopyRevertsNothing) {
  CommandFixture D;
  BOOST_REQUIRE((D.apply() == ExitCode::Ok));
  std::string OldRoutes = D.read("routes.toml");
  std::string OldPools = D.read("pools.toml");
  D.edit("routes.toml", "\"120s\"", "\"100s\"");
  BOOST_REQUIRE((D.apply() == ExitCode::Ok));
  // The two files name different revisions: refused.
  std::ofstream(D.path("routes.toml")) << OldRoutes;
  BOOST_TEST((D.apply() == ExitCode::Failed));
  BOOST_TEST(contains(D.Err, "name different revisions"));
  // The edit changes another row: merged.
  std::ofstream(D.path("pools.toml")) << OldPools;
  D.edit("routes.toml", "\"30s\"", "\"25s\"");
  BOOST_REQUIRE((D.apply() == ExitCode::Ok));
  BOOST_TEST(contains(D.Out, "merged with others' edit: route quotes"));
  // The edit changes the same row: refused.
  D.edit("routes.toml", "\"120s\"", "\"90s\"");
  BOOST_TEST((D.apply() == ExitCode::Conflict));
  BOOST_TEST(contains(D.Err, "\"100s\""));
}

BOOST_AUTO_TEST_CASE(filesOfUnknownOriginMayOnlyAddRows) {
  CommandFixture D;
  BOOST_REQUIRE((D.apply({"--no-stamp"}) == ExitCode::Ok));
  D.edit("routes.toml", "\"120s\"", "\"100s\"");
  BOOST_TEST((D.apply() == ExitCode::Failed));
  BOOST_TEST(contains(D.Err, "--base"));
  BOOST_TEST((D.apply({"--base", "1"}) == ExitCode::Ok));
}

BOOST_AUTO_TEST_CASE(rollbackMakesANewRevision) {
  CommandFixture D;
  BOOST_REQUIRE((D.apply() == ExitCode::Ok));
  D.edit("routes.toml", "\"120s\"", "\"100s\"");
  BOOST_REQUIRE((D.apply() == ExitCode::Ok));
  BOOST_TEST((D.runOnTables({"rollback", "1"}) == ExitCode::Ok));
  BOOST_TEST(contains(D.Out, "accepted as revision 3"));
  BOOST_TEST((D.runOnTables({"diff", "--from", "1"}) == ExitCode::Ok));
  BOOST_TEST(D.Out == "no difference\n");
  BOOST_TEST((D.runOnTables({"rollback", "9"}) == ExitCode::Failed));
}

BOOST_AUTO_TEST_CASE(waitingShowsTheRegionThatCannotBeReached) {
  CommandFixture D;
  fakes::FakeServer Host(0, statusReply);
  BOOST_REQUIRE(writeSecretFile(D.path("token"), "secret\n").has_value());
  std::vector<std::string> Wait = {"--wait=1ms", "--operator", Host.address(),
                                   "--token-file", D.path("token")};
  BOOST_TEST((D.apply(Wait) == ExitCode::Unreachable));
  BOOST_TEST(contains(D.Out, "cannot be reached"));
  BOOST_TEST(contains(D.Out, "in force"));
}

BOOST_AUTO_TEST_CASE(statusQueriesTheEntryHost) {
  CommandFixture D;
  fakes::FakeServer Host(0, statusReply);
  std::vector<std::string> Status = {"status", "--operator", Host.address()};
  BOOST_TEST((D.run(Status) == ExitCode::Failed));
  BOOST_TEST(contains(D.Err, "Give a token."));
  BOOST_REQUIRE(writeSecretFile(D.path("token"), "secret\n").has_value());
  Status.insert(Status.end(), {"--token-file", D.path("token")});
  BOOST_TEST((D.run(Status) == ExitCode::Ok));
  BOOST_TEST(contains(D.Out, "kigali"));
  Host.stop();
  BOOST_TEST((D.run(Status) == ExitCode::Unreachable));
}

BOOST_AUTO_TEST_CASE(generatedKeysAreValidAndNeverOverwritten) {
  CommandFixture D;
  BOOST_TEST((D.run({"keygen", "--curve", D.path("k")}) == ExitCode::Ok));
  BOOST_TEST(D.Out.size() == 41U);
  BOOST_TEST((D.run({"keygen", "--curve", D.path("k")}) == ExitCode::Failed));
  BOOST_TEST((D.run({"keygen", "--customer", D.path("t")}) == ExitCode::Ok));
  BOOST_TEST((D.run({"customer-key", "crew", "--secret-file", D.path("t")}) ==
              ExitCode::Ok));
  std::string Key = D.Out.substr(0, D.Out.size() - 1);
  CustomerKeys Keys({*readSecretFile(D.path("t"))});
  BOOST_TEST(Keys.verify("Bearer " + Key, UnixMillis(0)).has_value());
}

BOOST_AUTO_TEST_CASE(traceFollowsARequestThroughTwoLogs) {
  CommandFixture D;
  std::ofstream(D.path("a")) << R"({"time":"2","part":"x","message":"Second.",)"
                             << R"("request":"r1","pool":"p"})"
                             << "\nno\n";
  std::ofstream(D.path("b")) << R"({"time":"1","part":"x","message":"First.",)"
                             << R"("request":"r1"})"
                             << "\n"
                             << R"({"time":"1","message":"r1"})"
                             << "\n"
                             << R"({"time":"1","request":"r12"})"
                             << "\n";
  std::vector<std::string> Trace = {"trace",     "r1",    "--log",
                                    D.path("a"), "--log", D.path("b")};
  BOOST_TEST((D.run(Trace) == ExitCode::Ok));
  BOOST_TEST(D.Out.find("First.") < D.Out.find("Second."));
  BOOST_TEST(contains(D.Out, "pool=p"));
  BOOST_TEST(!contains(D.Out, "r12"));
  Trace[1] = "r9";
  BOOST_TEST((D.run(Trace) == ExitCode::Failed));
}

BOOST_AUTO_TEST_SUITE_END()
