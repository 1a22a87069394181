#include "requests/prompt.h"

#include <algorithm>
#include <string>

#include <nlohmann/json.hpp>

#include "framework/stablehash.h"

namespace celerybeam {

namespace {

using Json = nlohmann::json;

constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t PrefixBlockBytes = 512;
constexpr std::size_t MaxPrefixBlocks = 32;
constexpr std::uint32_t DefaultMaxTokens = 256;
constexpr std::uint32_t MaxTokensLimit = 1'000'000;
constexpr std::uint32_t LongResponseTokens = 512;
constexpr std::uint32_t LongPromptTokens = 2048;

tl::unexpected<Error> badField(const std::string &Field,
                               const std::string &Remedy) {
  return makeError(ErrorKind::BadRequest,
                   "the body's \"" + Field + "\" " + Remedy);
}

void appendContent(const Json &Content, std::string &Text) {
  if (Content.is_string()) {
    Text += Content.get_ref<const std::string &>();
    return;
  }
  if (!Content.is_array())
    return;
  for (const Json &Part : Content)
    if (Part.is_object() && Part.contains("text") && Part["text"].is_string())
      Text += Part["text"].get_ref<const std::string &>();
}

Result<std::string> readChatText(const Json &Body) {
  auto Messages = Body.find("messages");
  if (Messages == Body.end() || !Messages->is_array() || Messages->empty())
    return badField("messages", "must be a list of at least one message");
  std::string Text;
  for (const Json &Message : *Messages) {
    if (!Message.is_object() || !Message.contains("role") ||
        !Message["role"].is_string())
      return badField("messages", "needs a string \"role\" in each message");
    Text += Message["role"].get_ref<const std::string &>();
    Text += '\n';
    if (auto Content = Message.find("content"); Content != Message.end())
      appendContent(*Content, Text);
    Text += '\n';
  }
  return Text;
}

Result<std::string> readCompletionText(const Json &Body) {
  auto Value = Body.find("prompt");
  if (Value == Body.end() || !Value->is_string())
    return badField("prompt", "must be a string");
  return Value->get<std::string>();
}

Result<std::uint32_t> readMaxTokens(const Json &Body) {
  for (const char *Field : {"max_completion_tokens", "max_tokens"}) {
    auto Value = Body.find(Field);
    if (Value == Body.end() || Value->is_null())
      continue;
    if (!Value->is_number_unsigned() || Value->get<std::uint64_t>() == 0 ||
        Value->get<std::uint64_t>() > MaxTokensLimit)
      return badField(Field, "must be a whole number from 1 to 1000000");
    return Value->get<std::uint32_t>();
  }
  return DefaultMaxTokens;
}

PrefixBlocks hashPrefix(const ModelName &Model, std::string_view Text) {
  PrefixBlocks Blocks;
  std::uint64_t Hash = stableHash(Model.str());
  while (Text.size() >= PrefixBlockBytes && Blocks.size() < MaxPrefixBlocks) {
    Hash = stableHash(Text.substr(0, PrefixBlockBytes), Hash);
    Blocks.push_back(Hash);
    Text.remove_prefix(PrefixBlockBytes);
  }
  return Blocks;
}

} // namespace

Result<Prompt> readPrompt(RequestKind Kind, std::string_view Body) {
  Json Parsed = Json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (Parsed.is_discarded() || !Parsed.is_object())
    return makeError(ErrorKind::BadRequest,
                     "the body is not a JSON object; check its syntax and "
                     "that it was sent whole");
  auto Model = Parsed.find("model");
  if (Model == Parsed.end() || !Model->is_string())
    return badField("model", "must be a string; see GET /v1/models");
  auto Stream = Parsed.find("stream");
  bool HasStream = Stream != Parsed.end() && !Stream->is_null();
  if (HasStream && !Stream->is_boolean())
    return badField("stream", "must be true or false");
  Result<std::uint32_t> MaxTokens = readMaxTokens(Parsed);
  if (!MaxTokens)
    return tl::unexpected(MaxTokens.error());
  Result<std::string> Text = Kind == RequestKind::Chat
                                 ? readChatText(Parsed)
                                 : readCompletionText(Parsed);
  if (!Text)
    return tl::unexpected(Text.error());

  Prompt P =
      promptOfText(ModelName(Model->get<std::string>()), *Text, *MaxTokens);
  P.Stream = HasStream && Stream->get<bool>();
  return P;
}

Prompt promptOfText(const ModelName &Model, std::string_view Text,
                    std::uint32_t MaxTokens) {
  Prompt P;
  P.Model = Model;
  P.MaxTokens = MaxTokens;
  P.PromptTokens = static_cast<std::uint32_t>(Text.size() / BytesPerToken + 1);
  P.Prefix = hashPrefix(Model, Text);
  return P;
}

RequestClass estimateClass(const Prompt &P) {
  bool Long =
      P.MaxTokens > LongResponseTokens || P.PromptTokens > LongPromptTokens;
  return Long ? RequestClass::Long : RequestClass::Short;
}

} // namespace celerybeam
