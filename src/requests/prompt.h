#ifndef CELERYBEAM_REQUESTS_PROMPT_H
#define CELERYBEAM_REQUESTS_PROMPT_H

#include <cstdint>
#include <string_view>

#include "blackboard/idtypes.h"
#include "blackboard/tabletypes.h"
#include "framework/error.h"
#include "requests/requesttypes.h"

namespace celerybeam {

/// The properties of a request body that routing and admission use.
struct Prompt {
  ModelName Model;
  bool Stream = false;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  PrefixBlocks Prefix;
};

/// Parses the JSON body of a chat or completion request. Fails with
/// BadRequest; the message names the invalid field.
Result<Prompt> readPrompt(RequestKind Kind, std::string_view Body);

/// Builds a prompt from plain text, for an operator's query about how a
/// request would be routed.
Prompt promptOfText(const ModelName &Model, std::string_view Text,
                    std::uint32_t MaxTokens);

/// Derives the class of a request that has no Celerybeam-Class header from
/// the prompt length and the token limit.
RequestClass estimateClass(const Prompt &P);

} // namespace celerybeam

#endif
