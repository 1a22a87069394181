#include <boost/test/unit_test.hpp>

#include "framework/tomlreader.h"

using namespace celerybeam;

BOOST_AUTO_TEST_SUITE(TomlReaderTests)

// toml++ asserts that a key begins there.
BOOST_AUTO_TEST_CASE(tableHeaderWithoutANameIsAProblemOfTheFile) {
  for (const char *Text : {"[%]", "[,", "[=", "[.", "[!", "[(", "[{", "[#",
                           "[\n", "[\x01", "[[%]]", "a = 1\n[ %b]"}) {
    std::vector<FileProblem> Problems;
    BOOST_TEST_CONTEXT(Text) {
      BOOST_TEST(!parseToml("t.toml", Text, Problems).has_value());
      BOOST_TEST(Problems.size() == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(tableHeaderWithANameIsRead) {
  std::vector<FileProblem> Problems;
  auto Table = parseToml("t.toml", "[a]\nb = [\n[1],\n[2]]\n", Problems);
  BOOST_REQUIRE(Table.has_value());
  BOOST_TEST(Table->contains("a"));
  BOOST_TEST(Problems.empty());
}

BOOST_AUTO_TEST_SUITE_END()
