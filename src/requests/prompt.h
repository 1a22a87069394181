#ifndef CELERYBEAM_REQUESTS_PROMPT_H
#define CELERYBEAM_REQUESTS_PROMPT_H

#include <cstdint>
#include <string_view>

#include "blackboard/idtypes.h"
#include "blackboard/tabletypes.h"
#include "framework/error.h"
#include "requests/requesttypes.h"

namespace celerybeam {

/// What routing and admission need to know of a prompt.
struct Prompt {
  ModelName Model;
  bool Stream = false;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  PrefixBlocks Prefix;
};

/// Reads the JSON body of a chat or completion request. Fails with
/// BadRequest; the message names the field.
Result<Prompt> readPrompt(RequestKind Kind, std::string_view Body);

/// A prompt of plain text, as in the question of an operator where it would
/// go.
Prompt promptOfText(const ModelName &Model, std::string_view Text,
                    std::uint32_t MaxTokens);

/// The class of a request that does not state it.
RequestClass estimateClass(const Prompt &P);

} // namespace celerybeam

#endif
