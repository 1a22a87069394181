#include "ctl/platformstore.h"

#include <charconv>
#include <utility>

namespace celerybeam::ctl {

namespace {

constexpr long StatusOk = 200;
constexpr long StatusUnauthorized = 401;
constexpr long StatusNotFound = 404;
constexpr long StatusConflict = 409;
constexpr long LeastServerError = 500;

Result<StoreVersion> versionOf(const HttpAnswer &Answer) {
  StoreVersion Version = 0;
  const char *End = Answer.Version.data() + Answer.Version.size();
  auto [Parsed, Code] = std::from_chars(Answer.Version.data(), End, Version);
  if (Code != std::errc() || Parsed != End)
    return makeError(ErrorKind::StoreUnreachable,
                     "The answer has no X-Version header; check that the "
                     "address is that of the platform's key-value service.");
  return Version;
}

tl::unexpected<Error> refused(const HttpAnswer &Answer) {
  if (Answer.Status == StatusUnauthorized)
    return makeError(ErrorKind::Unauthorized,
                     "The platform refuses the token; give the right file "
                     "with --platform-token-file.");
  return makeError(ErrorKind::StoreUnreachable,
                   "The platform answers with status " +
                       std::to_string(Answer.Status) + "; try again later.");
}

Result<StoreValue> get(HttpClient &Client, const StoreKey &Key) {
  Result<HttpAnswer> Answer = Client.send({"GET", "/v1/kv/" + Key.str(), ""});
  if (!Answer)
    return makeError(ErrorKind::StoreUnreachable,
                     "The platform: " + Answer.error().Message);
  if (Answer->Status == StatusNotFound)
    return makeError(ErrorKind::NotFound, "There is no key " + Key.str() + ".");
  if (Answer->Status != StatusOk)
    return refused(*Answer);
  Result<StoreVersion> Version = versionOf(*Answer);
  if (!Version)
    return tl::make_unexpected(Version.error());
  return StoreValue{std::move(Answer->Body), *Version};
}

Result<StoreVersion> put(HttpClient &Client, const StorePut &Put) {
  std::string Target =
      "/v1/kv/" + Put.Key.str() + "?expected=" + std::to_string(Put.Expected);
  Result<HttpAnswer> Answer = Client.send({"PUT", Target, Put.Data});
  // The client cannot tell a refused connection from a lost reply.
  if (!Answer)
    return makeError(ErrorKind::StoreOutcomeUnknown,
                     "The platform: " + Answer.error().Message);
  if (Answer->Status == StatusConflict)
    return makeError(ErrorKind::StoreConflict, "Another version stands.");
  // A server that failed may have done so after the write.
  if (Answer->Status >= LeastServerError)
    return makeError(ErrorKind::StoreOutcomeUnknown,
                     refused(*Answer).value().Message);
  if (Answer->Status != StatusOk)
    return refused(*Answer);
  return versionOf(*Answer);
}

} // namespace

StoreHooks platformStore(const std::shared_ptr<HttpClient> &Client,
                         TaskLoop &Loop) {
  StoreHooks Hooks;
  Hooks.Get = [Client, &Loop](const StoreKey &Key,
                              const Completion<StoreValue> &Done) {
    Loop.after(Duration(), [=] { Done(get(*Client, Key)); });
  };
  Hooks.Put = [Client, &Loop](const StorePut &Put,
                              const Completion<StoreVersion> &Done) {
    Loop.after(Duration(), [=] { Done(put(*Client, Put)); });
  };
  return Hooks;
}

} // namespace celerybeam::ctl
