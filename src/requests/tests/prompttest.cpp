#include "requests/prompt.h"

#include <string>

#include <boost/test/unit_test.hpp>

using namespace celerybeam;

namespace {

std::string chat(const std::string &Content, const std::string &Extra = "") {
  return R"({"model":"m@1",)" + Extra +
         R"("messages":[{"role":"user","content":")" + Content + "\"}]}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromptTests)

BOOST_AUTO_TEST_CASE(commonPrefixesShareBlocks) {
  std::string Common(1200, 'x');
  auto First = readPrompt(RequestKind::Chat, chat(Common + "one"));
  auto Second = readPrompt(RequestKind::Chat, chat(Common + "two"));
  BOOST_REQUIRE((First.has_value() && Second.has_value()));
  BOOST_REQUIRE_GE(First->Prefix.size(), 2U);
  BOOST_TEST(First->Prefix[0] == Second->Prefix[0]);
  BOOST_TEST(First->Prefix[1] == Second->Prefix[1]);
}

BOOST_AUTO_TEST_CASE(classFollowsFromLengths) {
  auto Short = readPrompt(RequestKind::Chat, chat("hello"));
  auto Long =
      readPrompt(RequestKind::Chat, chat("hello", R"("max_tokens":4000,)"));
  BOOST_TEST((estimateClass(*Short) == RequestClass::Short));
  BOOST_TEST((estimateClass(*Long) == RequestClass::Long));
}

BOOST_AUTO_TEST_CASE(errorsNameTheField) {
  const std::pair<std::string, std::string> Cases[] = {
      {"{", "JSON"},
      {"[]", "JSON"},
      {"{}", "model"},
      {R"({"model":"m@1"})", "messages"},
      {R"({"model":"m@1","messages":[]})", "messages"},
      {chat("x", R"("stream":"yes",)"), "stream"},
      {chat("x", R"("max_tokens":-1,)"), "max_tokens"},
      {chat("x", R"("max_tokens":1e99,)"), "max_tokens"}};
  for (const auto &[Body, Field] : Cases) {
    auto Read = readPrompt(RequestKind::Chat, Body);
    BOOST_REQUIRE(!Read.has_value());
    BOOST_TEST(Read.error().Message.find(Field) != std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()
