#include "platform/internal/platformresponses.h"

#include <charconv>
#include <optional>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

namespace celerybeam {

namespace {

using Json = nlohmann::json;

constexpr int StatusNotFound = 404;

std::optional<StoreVersion> versionOf(const HttpResponse &Response) {
  const std::string_view Text = findHeader(Response.Head.Headers, "x-version");
  StoreVersion Version = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Version);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Version;
}

tl::unexpected<Error> leaseLost() {
  return makeError(ErrorKind::LeaseLost,
                   "the lease has ended; ask for a new one");
}

std::optional<PoolKind> kindOf(const std::string &Name) {
  if (Name == "engine")
    return PoolKind::Engine;
  if (Name == "runner")
    return PoolKind::Runner;
  if (Name == "service")
    return PoolKind::Service;
  return std::nullopt;
}

/// Reads a field that must be a non-empty string; throws otherwise.
template <typename Id> Id requiredId(const Json &Row, const char *Name) {
  Id Read(Row.at(Name).get<std::string>());
  if (Read.empty())
    throw std::invalid_argument(std::string("an empty field ") + Name);
  return Read;
}

ListedEntryHost readEntryHost(const Json &Row) {
  ListedEntryHost Host;
  Host.Id = requiredId<HostId>(Row, "id");
  Host.CallerAddress = requiredId<Address>(Row, "caller_address");
  Host.PeerAddress = requiredId<Address>(Row, "peer_address");
  Host.Region = requiredId<RegionId>(Row, "region");
  Host.Zone = requiredId<ZoneId>(Row, "zone");
  Host.Leaving = Row.value("leaving", false);
  return Host;
}

ListedEndpoint readEndpoint(const Json &Row) {
  ListedEndpoint Endpoint;
  EndpointDescriptor &D = Endpoint.Descriptor;
  D.Id = requiredId<EndpointId>(Row, "id");
  D.Where = requiredId<Address>(Row, "address");
  D.Region = requiredId<RegionId>(Row, "region");
  D.Zone = requiredId<ZoneId>(Row, "zone");
  D.Label = Row.at("label").get<std::string>();
  D.Slots = Row.value("slots", D.Slots);
  Endpoint.Leaving = Row.value("leaving", false);
  std::optional<PoolKind> Kind = kindOf(Row.at("kind").get<std::string>());
  if (!Kind)
    throw std::invalid_argument("an unknown kind of endpoint");
  D.Kind = *Kind;
  return Endpoint;
}

/// Reads all valid rows; returns the number of rows that could not be read.
template <typename Row>
std::uint64_t readRows(const Json &Rows, Row (*Read)(const Json &),
                       std::vector<Row> &Into) {
  std::uint64_t Unreadable = 0;
  for (const Json &Entry : Rows) {
    try {
      Into.push_back(Read(Entry));
    } catch (const std::exception &) {
      ++Unreadable;
    }
  }
  return Unreadable;
}

} // namespace

Error missingResponseError(StoreAccess Access, const std::string &Cause) {
  if (Access == StoreAccess::Read)
    return Error{ErrorKind::StoreUnreachable,
                 Cause + "; check the platform's service and the addresses in "
                         "the settings"};
  return Error{ErrorKind::StoreOutcomeUnknown,
               Cause + "; read the key back before writing again"};
}

Error storeError(StoreAccess Access, const Error &Cause) {
  const bool NothingSent = Cause.Kind == ErrorKind::ConnectFailed ||
                           Cause.Kind == ErrorKind::BadRequest;
  return missingResponseError(NothingSent ? StoreAccess::Read : Access,
                              Cause.Message);
}

Result<HttpResponse> checkStatus(StoreAccess Access, HttpResponse Response) {
  const int Status = Response.Head.Status;
  const std::string Text = "the platform answered " + std::to_string(Status);
  const bool Success = Status >= 200 && Status < 300;
  if (Success || Status == 304 || Status == StatusNotFound)
    return Response;
  switch (Status) {
  case 401:
  case 403:
    return makeError(ErrorKind::StoreUnreachable,
                     Text + "; check the token in the settings");
  case 409:
    return makeError(ErrorKind::StoreConflict,
                     "another version stands; read it and apply the change to "
                     "it");
  case 413:
    return makeError(ErrorKind::BodyTooLarge,
                     "the value is above the platform's limit; split it");
  case 429:
    return makeError(ErrorKind::StoreUnreachable,
                     Text + "; make fewer calls a second");
  default:
    break;
  }
  // A call refused with 4xx had no effect; any other status leaves the outcome
  // unknown.
  const bool Refused = Status >= 400 && Status < 500;
  return tl::unexpected(
      missingResponseError(Refused ? StoreAccess::Read : Access, Text));
}

Result<StoreValue> readValue(const HttpResponse &Response) {
  if (Response.Head.Status == StatusNotFound)
    return makeError(ErrorKind::NotFound,
                     "the platform holds no such key; write it first");
  std::optional<StoreVersion> Version = versionOf(Response);
  if (!Version)
    return tl::unexpected(missingResponseError(
        StoreAccess::Read, "the answer has no valid X-Version"));
  return StoreValue{Response.Body, *Version};
}

Result<StoreVersion> readWrittenVersion(const HttpResponse &Response) {
  if (Response.Head.Status == StatusNotFound)
    return leaseLost();
  std::optional<StoreVersion> Version = versionOf(Response);
  if (!Version)
    return tl::unexpected(missingResponseError(
        StoreAccess::Write, "the answer has no valid X-Version"));
  return *Version;
}

Result<StoreLease> readLease(const HttpResponse &Response) {
  if (Response.Head.Status == StatusNotFound)
    return leaseLost();
  try {
    const Json Body = Json::parse(Response.Body);
    std::chrono::milliseconds TimeToLive(Body.at("ttl_ms").get<std::int64_t>());
    return StoreLease{requiredId<LeaseId>(Body, "id"), TimeToLive};
  } catch (const std::exception &Failure) {
    return tl::unexpected(
        missingResponseError(StoreAccess::Write, Failure.what()));
  }
}

Result<ParsedList> readList(const HttpResponse &Response) {
  try {
    const Json Body = Json::parse(Response.Body);
    ParsedList Read;
    Read.UnreadableRows =
        readRows(Body.at("entry_hosts"), readEntryHost, Read.List.EntryHosts);
    Read.UnreadableRows +=
        readRows(Body.at("endpoints"), readEndpoint, Read.List.Endpoints);
    return Read;
  } catch (const std::exception &Failure) {
    return tl::unexpected(
        missingResponseError(StoreAccess::Read, Failure.what()));
  }
}

} // namespace celerybeam
