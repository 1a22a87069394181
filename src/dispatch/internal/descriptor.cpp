#include "dispatch/descriptor.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

#include "framework/stablehash.h"

namespace celerybeam {

std::string partsText(const std::vector<PromptPart> &Parts) {
  std::string Text;
  std::size_t Shared = Parts.empty() ? 0 : Parts.size() - 1;
  for (std::size_t I = 0; I < std::min(Shared, MaxLoggedParts); ++I) {
    std::array<char, 20> Id{};
    std::snprintf(Id.data(), Id.size(), "%s%" PRIx64, I == 0 ? "" : ",",
                  Parts[I].Id);
    Text += Id.data();
  }
  return Text;
}

CrashSuspects suspectsOf(const RequestDescriptor &Request) {
  CrashSuspects Suspects;
  std::uint64_t Scope =
      stableHash(Request.Model.str(), stableHash(Request.Host));
  Suspects.Scope = {Scope};
  std::size_t Shared = Request.Parts.empty() ? 0 : Request.Parts.size() - 1;
  for (std::size_t I = 0; I < std::min(Shared, CrashSuspects::MaxParts); ++I)
    Suspects.Parts.push_back({stableHash(Request.Parts[I].Id, Scope)});
  // Not the same as a part with that number.
  Suspects.Whole = {stableHash(Request.Fingerprint, stableHash(Scope, 1))};
  return Suspects;
}

std::vector<PrefixLevel> prefixLevelsOf(const ModelName &Model,
                                        const std::vector<PromptPart> &Parts) {
  std::vector<PrefixLevel> Levels;
  std::uint64_t Hash = stableHash(Model.str());
  std::uint32_t Tokens = 0;
  for (std::size_t I = 0; I + 1 < Parts.size(); ++I) {
    Hash = stableHash(Parts[I].Id, Hash);
    Tokens += Parts[I].Tokens;
    Levels.push_back({Hash, Tokens});
  }
  return Levels;
}

} // namespace celerybeam
