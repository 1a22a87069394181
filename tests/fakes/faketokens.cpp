#include "faketokens.h"

#include <nlohmann/json.hpp>

#include "framework/stablehash.h"

namespace celerybeam::fakes {

namespace {

constexpr std::uint64_t DefaultTokens = 16;
constexpr std::uint64_t Words = 10000;

nlohmann::json frame(const FakeCompletion &C, const char *Object,
                     nlohmann::json Choice) {
  Choice["index"] = 0;
  return {{"object", Object},
          {"model", C.Model},
          {"choices", nlohmann::json::array({std::move(Choice)})}};
}

} // namespace

FakeCompletion readCompletion(const std::string &Path,
                              const std::string &Body) {
  const nlohmann::json Json = nlohmann::json::parse(Body);
  FakeCompletion C;
  C.Chat = Path == "/v1/chat/completions";
  C.Stream = Json.value("stream", false);
  C.Model = Json.at("model").get<std::string>();
  C.Tokens = Json.value("max_tokens", DefaultTokens);
  if (!C.Chat) {
    C.Prompt = Json.at("prompt").get<std::string>();
    return C;
  }
  for (const nlohmann::json &Message : Json.at("messages"))
    C.Prompt += Message.at("content").get<std::string>() + "\n";
  return C;
}

std::string tokenText(const FakeCompletion &C, std::uint64_t Index) {
  return "t" + std::to_string(stableHash(C.Prompt, Index) % Words) + " ";
}

std::string tokenEvent(const FakeCompletion &C, std::uint64_t Index) {
  const std::string Text = tokenText(C, Index);
  nlohmann::json Choice;
  if (C.Chat)
    Choice["delta"] = {{"content", Text}};
  else
    Choice["text"] = Text;
  const char *Object = C.Chat ? "chat.completion.chunk" : "text_completion";
  return "id: " + std::to_string(Index) +
         "\ndata: " + frame(C, Object, std::move(Choice)).dump() + "\n\n";
}

std::string wholeAnswer(const FakeCompletion &C) {
  std::string Text;
  for (std::uint64_t Index = 0; Index < C.Tokens; ++Index)
    Text += tokenText(C, Index);
  nlohmann::json Choice = {{"finish_reason", "stop"}};
  if (C.Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  const char *Object = C.Chat ? "chat.completion" : "text_completion";
  nlohmann::json Answer = frame(C, Object, std::move(Choice));
  Answer["usage"] = {{"completion_tokens", C.Tokens}};
  return Answer.dump();
}

} // namespace celerybeam::fakes
