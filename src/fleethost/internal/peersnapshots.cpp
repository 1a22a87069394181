#include "fleethost/internal/peersnapshots.h"

#include <array>
#include <charconv>
#include <memory>
#include <optional>

#include "fleethost/internal/snapshotcodec.h"

namespace celerybeam::detail {

namespace {

/// A revision follows; see revisionText.
const std::array<std::pair<MirrorPart, std::string>, 2> Paths = {
    {{MirrorPart::OperatorTables, "/mirror/operator/"},
     {MirrorPart::Endpoints, "/mirror/endpoints/"}}};
constexpr unsigned Ok = 200;
const std::string SummaryPath = "/mirror/summary";
constexpr Duration Timeout = std::chrono::seconds(1);
/// Several times the size of the entries of the largest fleet that the design
/// is for.
constexpr std::size_t MaxBytes = 16U << 20U;

/// Why a call has brought no usable body; empty if it has.
std::string failureOf(HttpCallEnd End, unsigned Status, std::size_t Bytes) {
  if (Bytes > MaxBytes)
    return "body over " + std::to_string(MaxBytes) + " bytes";
  switch (End) {
  case HttpCallEnd::Complete:
    return Status == Ok ? "" : "status " + std::to_string(Status);
  case HttpCallEnd::NotConnected:
    return "not connected";
  case HttpCallEnd::TimedOut:
    return "timed out";
  case HttpCallEnd::Unmarked:
  case HttpCallEnd::Broken:
    break;
  }
  return "broken off";
}

StoreRevision parseRevision(std::string_view Text) {
  StoreRevision Read;
  const char *End = Text.data() + Text.size();
  auto Era = std::from_chars(Text.data(), End, Read.Era);
  if (Era.ec != std::errc() || Era.ptr == End || *Era.ptr != '.')
    return {};
  auto Number = std::from_chars(Era.ptr + 1, End, Read.Number);
  return Number.ec == std::errc() ? Read : StoreRevision();
}

} // namespace

std::string revisionText(StoreRevision Revision) {
  return std::to_string(Revision.Era) + "." + std::to_string(Revision.Number);
}

PeerSnapshots::PeerSnapshots(HttpCaller &Caller, std::string Port)
    : Caller_(Caller), Port_(std::move(Port)) {}

void PeerSnapshots::call(const std::string &Ip, const std::string &Path,
                         std::function<void(Result<std::string>)> Then) {
  HttpCallRequest Call;
  Call.To = Address(Ip + ":" + Port_);
  Call.Head = {"GET", Path, {{"Host", Ip}}};
  Call.Timeout = Timeout;
  auto Body = std::make_shared<std::string>();
  auto Status = std::make_shared<unsigned>(0);
  HttpCallHooks Hooks;
  // A host of an earlier version, or one that drains, refuses the request. Its
  // message must not be read as a confirmation.
  Hooks.Head = [Status](const HttpResponseHead &Head) {
    *Status = Head.Status;
    return HeadVerdict::Accept;
  };
  Hooks.Body = [Body](std::string_view Data) {
    *Body += Data;
    return Body->size() <= MaxBytes;
  };
  Hooks.End = [Status, Body, Then = std::move(Then)](HttpCallEnd End) {
    std::string Why = failureOf(End, *Status, Body->size());
    if (Why.empty())
      return Then(std::move(*Body));
    Then(makeError(ErrorKind::ConnectionLost, Why));
  };
  Caller_.call(std::move(Call), std::move(Hooks));
}

void PeerSnapshots::fetch(const std::string &Ip, MirrorPart Part,
                          StoreRevision Since, const Answer &Then) {
  call(Ip,
       Paths.at(static_cast<std::size_t>(Part)).second + revisionText(Since),
       [Then](const Result<std::string> &Body) {
         if (Body)
           return Then(readSnapshot(*Body));
         Then(makeError(ErrorKind::ConnectionLost,
                        "Another host did not hand over its snapshot (" +
                            Body.error().Message + "); another one is asked."));
       });
}

void PeerSnapshots::askSummary(const std::string &Ip,
                               const SummaryAnswer &Then) {
  call(Ip, SummaryPath, [Then](const Result<std::string> &Body) {
    if (Body)
      return Then(readSummary(*Body));
    Then(makeError(ErrorKind::ConnectionLost,
                   "Another host did not tell what its copy includes (" +
                       Body.error().Message + "); another one is asked."));
  });
}

bool PeerSnapshots::isSummaryRequest(const HttpRequestHead &Head) {
  return Head.Method == "GET" && Head.Target == SummaryPath;
}

std::optional<std::pair<MirrorPart, StoreRevision>>
PeerSnapshots::requested(const HttpRequestHead &Head) {
  for (const auto &[Part, Path] : Paths)
    if (Head.Method == "GET" && Head.Target.starts_with(Path))
      return std::pair(
          Part,
          parseRevision(std::string_view(Head.Target).substr(Path.size())));
  return std::nullopt;
}

} // namespace celerybeam::detail
