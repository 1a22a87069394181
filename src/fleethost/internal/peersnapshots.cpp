#include "fleethost/internal/peersnapshots.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <set>
#include <vector>

#include "fleethost/internal/snapshotcodec.h"
#include "fleethost/internal/transferprogress.h"

namespace celerybeam::detail {

namespace {

/// A revision follows; see revisionText.
const std::array<std::pair<MirrorPart, std::string>, 2> Paths = {
    {{MirrorPart::OperatorTables, "/mirror/operator/"},
     {MirrorPart::Endpoints, "/mirror/endpoints/"}}};
constexpr unsigned Ok = 200;
constexpr unsigned Busy = 503;
const std::string SummaryPath = "/mirror/summary";
/// A revision of the operator's tables follows; see revisionText.
const std::string ConfirmedPath = "/mirror/confirmed/";
/// For a summary in all, and for the silence of a host that hands over a copy.
constexpr Duration Timeout = std::chrono::seconds(1);
/// Several times the size of the entries of the largest fleet that the design
/// is for.
constexpr std::size_t MaxBytes = 16U << 20U;

/// The length of its body that a response states.
std::optional<std::size_t> lengthOf(const HttpResponseHead &Head) {
  auto Text = findField(Head.Fields, "Content-Length");
  if (!Text)
    return std::nullopt;
  std::size_t Length = 0;
  auto Read =
      std::from_chars(Text->data(), Text->data() + Text->size(), Length);
  return Read.ec == std::errc() ? std::optional(Length) : std::nullopt;
}

/// Why a call has brought no usable body; empty if it has.
std::string failureOf(HttpCallEnd End, unsigned Status, std::size_t Bytes) {
  std::string After = " after " + std::to_string(Bytes) + " bytes";
  if (Bytes > MaxBytes)
    return "body over " + std::to_string(MaxBytes) + " bytes";
  switch (End) {
  case HttpCallEnd::Complete:
    return Status == Ok ? "" : "status " + std::to_string(Status);
  case HttpCallEnd::NotConnected:
    return "not connected";
  case HttpCallEnd::TimedOut:
    return "timed out" + After;
  case HttpCallEnd::Unmarked:
  case HttpCallEnd::Broken:
    break;
  }
  return "broken off" + After;
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

/// One fetch from a host.
struct PeerSnapshots::Transfer {
  MirrorPart Part = MirrorPart::OperatorTables;
  TransferProgress Progress;
  std::weak_ptr<HttpCall> Call;
  std::function<void(Result<std::string>)> Then;
};

struct PeerSnapshots::OpenTransfers {
  /// Ends the transfers of the same part that have not begun.
  void begun(const Transfer &First) {
    endIf([&First](const Transfer &Other) {
      return &Other != &First && Other.Part == First.Part &&
             !Other.Progress.hasBegun();
    });
  }

  void endIf(const std::function<bool(const Transfer &)> &IsUnwanted) {
    std::vector<std::shared_ptr<Transfer>> Ended;
    for (const auto &Open : All)
      if (IsUnwanted(*Open))
        Ended.push_back(Open);
    for (const auto &Open : Ended) {
      All.erase(Open);
      if (auto Call = Open->Call.lock())
        Call->cancel();
      Open->Then(makeError(ErrorKind::Cancelled,
                           "another host hands the changes over"));
    }
  }

  std::set<std::shared_ptr<Transfer>> All;
};

PeerSnapshots::PeerSnapshots(Runtime R, HttpCaller &Caller, std::string Port)
    : Runtime_(std::move(R)), Caller_(Caller), Port_(std::move(Port)),
      Open_(std::make_shared<OpenTransfers>()) {}
PeerSnapshots::~PeerSnapshots() = default;

void PeerSnapshots::call(const std::string &Ip, const std::string &Path,
                         const std::shared_ptr<Transfer> &Of,
                         std::function<void(Result<std::string>)> Then) {
  HttpCallRequest Call;
  Call.To = Address(Ip + ":" + Port_);
  Call.Head = {"GET", Path, {{"Host", Ip}}};
  (Of ? Call.SilenceTimeout : Call.Timeout) = Timeout;
  auto Body = std::make_shared<std::string>();
  auto Status = std::make_shared<unsigned>(0);
  HttpCallHooks Hooks;
  // A host of an earlier version, or one that drains, refuses the request. Its
  // message must not be read as a confirmation.
  Hooks.Head = [Status, Of, Open = Open_,
                Now = Runtime_.Now](const HttpResponseHead &Head) {
    *Status = Head.Status;
    if (Of && Head.Status == Ok) {
      Of->Progress.begin(Now(), lengthOf(Head));
      Open->begun(*Of);
    }
    return HeadVerdict::Accept;
  };
  Hooks.Body = [Body, Of, Now = Runtime_.Now](std::string_view Data) {
    *Body += Data;
    if (Of)
      Of->Progress.received(Now(), Data.size());
    return Body->size() <= MaxBytes;
  };
  Hooks.End = [Status, Body, Of, Open = Open_,
               Then = std::move(Then)](HttpCallEnd End) {
    if (Of)
      Open->All.erase(Of);
    std::string Why = failureOf(End, *Status, Body->size());
    if (Why.empty())
      return Then(std::move(*Body));
    auto Kind = ErrorKind::ConnectionLost;
    if (*Status == Busy)
      Kind = ErrorKind::Overloaded;
    else if (!Body->empty())
      Kind = ErrorKind::StreamStalled;
    Then(makeError(Kind, Why));
  };
  auto Started = Caller_.call(std::move(Call), std::move(Hooks));
  if (Of)
    Of->Call = Started;
}

void PeerSnapshots::fetch(const std::string &Ip, MirrorPart Part,
                          StoreRevision Since, const Answer &Then) {
  auto Started = std::make_shared<Transfer>();
  Started->Part = Part;
  Started->Then = [Then](const Result<std::string> &Body) {
    if (Body)
      return Then(readSnapshot(*Body));
    if (Body.error().Kind == ErrorKind::Cancelled)
      return Then(tl::unexpected(Body.error()));
    Then(makeError(Body.error().Kind,
                   "Another host did not hand over its snapshot (" +
                       Body.error().Message + "); another one is asked."));
  };
  Open_->All.insert(Started);
  call(Ip,
       Paths.at(static_cast<std::size_t>(Part)).second + revisionText(Since),
       Started, Started->Then);
}

void PeerSnapshots::fetchConfirmed(const std::string &Ip, StoreRevision Since,
                                   const Answer &Then) {
  call(Ip, ConfirmedPath + revisionText(Since), nullptr,
       [Then](const Result<std::string> &Body) {
         if (Body)
           return Then(readSnapshot(*Body));
         Then(makeError(Body.error().Kind,
                        "Another host has not read the store (" +
                            Body.error().Message + "); another one is asked."));
       });
}

bool PeerSnapshots::isReceiving(MirrorPart Part) const {
  return std::any_of(Open_->All.begin(), Open_->All.end(),
                     [this, Part](const std::shared_ptr<Transfer> &T) {
                       return T->Part == Part &&
                              T->Progress.isOnItsWay(Runtime_.Now());
                     });
}

void PeerSnapshots::endSlowest(MirrorPart Part) {
  const Transfer *Slowest = nullptr;
  for (const auto &T : Open_->All)
    if (T->Part == Part && T->Progress.hasRate(Runtime_.Now()) &&
        (Slowest == nullptr || T->Progress.bytes() < Slowest->Progress.bytes()))
      Slowest = T.get();
  Open_->endIf([Slowest](const Transfer &T) { return &T == Slowest; });
}

void PeerSnapshots::endAll(MirrorPart Part) {
  Open_->endIf([Part](const Transfer &T) { return T.Part == Part; });
}

void PeerSnapshots::askSummary(const std::string &Ip,
                               const SummaryAnswer &Then) {
  call(Ip, SummaryPath, nullptr, [Then](const Result<std::string> &Body) {
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

std::optional<StoreRevision>
PeerSnapshots::requestedConfirmed(const HttpRequestHead &Head) {
  if (Head.Method != "GET" || !Head.Target.starts_with(ConfirmedPath))
    return std::nullopt;
  return parseRevision(
      std::string_view(Head.Target).substr(ConfirmedPath.size()));
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
