#ifndef CELERYBEAM_DISPATCH_DESCRIPTOR_H
#define CELERYBEAM_DISPATCH_DESCRIPTOR_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "dispatch/crashsuspects.h"
#include "fleet/customers.h"
#include "framework/runtime.h"

namespace celerybeam {

/// A part of a prompt that several requests may share.
struct PromptPart {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
};

/// Hash of a prompt's leading shared parts up to the end of one part: two
/// prompts with the same hash have the same prefix.
struct PrefixLevel {
  std::uint64_t Hash = 0;
  /// Tokens from the prompt's start to the end of this part.
  std::uint32_t TokensUpTo = 0;
};

/// The properties of a request that dispatch decisions use, independent of the
/// interface that it came through.
struct RequestDescriptor {
  RequestId Id;
  std::string Host;
  /// Path and query as the caller wrote them.
  std::string Target;
  /// When the caller stops waiting.
  TimePoint Deadline{};
  ModelName Model;
  /// In the order of the prompt; the last part belongs to this request alone.
  std::vector<PromptPart> Parts;
  /// The prefix levels of Parts; see prefixLevelsOf.
  std::vector<PrefixLevel> Levels;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// Hash of method, target and body: the same when a caller repeats the
  /// request.
  std::uint64_t Fingerprint = 0;
  /// Empty where crashes are not judged, as at a placer.
  CrashSuspects Suspects;
  /// Digest of the caller's key; unset without one, or if it cannot be one.
  std::optional<KeyDigest> Key;
  /// The customer that holds the key; empty when there is none.
  CustomerId Customer;
  /// Whether another entry host forwarded it; it is not forwarded again.
  bool Forwarded = false;
  /// Time that it spent at the host that forwarded it.
  Duration WaitedBefore{};
  /// Whether only an endpoint with a free slot is of use: the request is being
  /// served by another one already.
  bool OnlyFree = false;
  /// Number of endpoints that it may run on, if fewer than the route allows:
  /// the host that forwarded it may have used some.
  std::optional<unsigned> RunsLeft;
};

/// The ids of a prompt's shared parts as hexadecimal numbers, for log lines; at
/// most the first MaxLoggedParts.
std::string partsText(const std::vector<PromptPart> &Parts);
inline constexpr std::size_t MaxLoggedParts = 8;

/// What may make endpoints crash that run the request.
CrashSuspects suspectsOf(const RequestDescriptor &Request);

/// The prefix levels of a prompt without its last part, shortest first.
std::vector<PrefixLevel> prefixLevelsOf(const ModelName &Model,
                                        const std::vector<PromptPart> &Parts);

} // namespace celerybeam

#endif
