#ifndef CELERYBEAM_TESTS_FAKES_FAKETOKENS_H
#define CELERYBEAM_TESTS_FAKES_FAKETOKENS_H

#include <cstdint>
#include <string>

namespace celerybeam::fakes {

/// A completion request as a fake engine sees it.
struct FakeCompletion {
  bool Chat = false;
  bool Stream = false;
  std::string Model;
  std::string Prompt;
  std::uint64_t Tokens = 0;
};

/// Reads the body of an OpenAI-compatible request. Throws
/// nlohmann::json::exception when it is malformed.
FakeCompletion readCompletion(const std::string &Path, const std::string &Body);

/// The token with the index, one word and a space.
std::string tokenText(const FakeCompletion &C, std::uint64_t Index);

/// The event that carries a token in a stream.
std::string tokenEvent(const FakeCompletion &C, std::uint64_t Index);

/// The body of a whole answer.
std::string wholeAnswer(const FakeCompletion &C);

} // namespace celerybeam::fakes

#endif
