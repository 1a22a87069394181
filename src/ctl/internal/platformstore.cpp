#include "ctl/platformstore.h"

#include <charconv>
#include <utility>

namespace celerybeam::ctl {

namespace {

constexpr long StatusOk = 200;
constexpr long StatusUnauthorized = 401;
constexpr long StatusNotFound = 404;
constexpr long StatusConflict = 409;
constexpr long MinServerErrorStatus = 500;

Result<StoreVersion> versionOf(const HttpResponse &Response) {
  StoreVersion Version = 0;
  const char *End = Response.Version.data() + Response.Version.size();
  auto [Parsed, Code] = std::from_chars(Response.Version.data(), End, Version);
  if (Code != std::errc() || Parsed != End)
    return makeError(ErrorKind::StoreUnreachable,
                     "The answer has no X-Version header; check that the "
                     "address is that of the platform's key-value service.");
  return Version;
}

tl::unexpected<Error> refused(const HttpResponse &Response) {
  if (Response.Status == StatusUnauthorized)
    return makeError(ErrorKind::Unauthorized,
                     "The platform refuses the token; give the right file "
                     "with --platform-token-file.");
  return makeError(ErrorKind::StoreUnreachable,
                   "The platform answers with status " +
                       std::to_string(Response.Status) + "; try again later.");
}

Result<StoreValue> get(HttpClient &Client, const StoreKey &Key) {
  Result<HttpResponse> Response =
      Client.send({"GET", "/v1/kv/" + Key.str(), ""});
  if (!Response)
    return makeError(ErrorKind::StoreUnreachable,
                     "The platform: " + Response.error().Message);
  if (Response->Status == StatusNotFound)
    return makeError(ErrorKind::NotFound, "There is no key " + Key.str() + ".");
  if (Response->Status != StatusOk)
    return refused(*Response);
  Result<StoreVersion> Version = versionOf(*Response);
  if (!Version)
    return tl::make_unexpected(Version.error());
  return StoreValue{std::move(Response->Body), *Version};
}

Result<StoreVersion> put(HttpClient &Client, const StorePut &Put) {
  std::string Target =
      "/v1/kv/" + Put.Key.str() + "?expected=" + std::to_string(Put.Expected);
  Result<HttpResponse> Response = Client.send({"PUT", Target, Put.Data});
  // The client cannot distinguish a refused connection from a lost response:
  // the write may have taken effect.
  if (!Response)
    return makeError(ErrorKind::StoreOutcomeUnknown,
                     "The platform: " + Response.error().Message);
  if (Response->Status == StatusConflict)
    return makeError(ErrorKind::StoreConflict, "Another version stands.");
  // The server may have failed after the write.
  if (Response->Status >= MinServerErrorStatus)
    return makeError(ErrorKind::StoreOutcomeUnknown,
                     refused(*Response).value().Message);
  if (Response->Status != StatusOk)
    return refused(*Response);
  return versionOf(*Response);
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
