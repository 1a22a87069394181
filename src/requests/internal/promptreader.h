#ifndef CELERYBEAM_REQUESTS_INTERNAL_PROMPTREADER_H
#define CELERYBEAM_REQUESTS_INTERNAL_PROMPTREADER_H

#include <cstdint>
#include <string_view>

#include "blackboard/idtypes.h"
#include "blackboard/tabletypes.h"
#include "framework/error.h"
#include "requests/requesttypes.h"

namespace celerybeam::detail {

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

/// The class of a request that does not state it.
RequestClass estimateClass(const Prompt &P);

} // namespace celerybeam::detail

#endif
