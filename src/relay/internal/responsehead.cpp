#include "relay/internal/responsehead.h"

#include <algorithm>

namespace celerybeam::detail {

namespace {

constexpr unsigned FirstSuccess = 200;
constexpr unsigned LastSuccess = 299;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned Misdirected = 421;
constexpr unsigned TooMany = 429;
constexpr unsigned Unavailable = 503;

/// Whether the sender states that it has not run the request. Entry hosts use a
/// header field of their own for this, so that a status sent by a host is not
/// mistaken for an endpoint's.
bool reportsNotRun(const HttpResponseHead &Head, const WireNames &Names,
                   const ResponseSource &Source) {
  // A signed response comes from an endpoint; the host only forwards it.
  if (Source.Host)
    return findField(Head.Fields, NotRunField) &&
           !findField(Head.Fields, Names.Signature);
  return Head.Status == Misdirected ||
         findField(Head.Fields, Names.NotExecuted).has_value();
}

} // namespace

ResponseKind classifyResponse(const HttpResponseHead &Head,
                              const WireNames &Names, const RequestId &Id,
                              ResponseSource Source) {
  bool OwnId = false;
  bool OtherId = false;
  for (const HttpField &F : Head.Fields)
    if (sameFieldName(F.Name, Names.RequestId))
      (F.Value == Id.str() ? OwnId : OtherId) = true;
  if (OtherId)
    return OwnId ? ResponseKind::Invalid : ResponseKind::OtherRequest;
  // It may belong to another request on the connection.
  if (!OwnId && Source.Reused)
    return ResponseKind::Invalid;
  if (reportsNotRun(Head, Names, Source))
    return ResponseKind::NotRun;
  bool Success = Head.Status >= FirstSuccess && Head.Status <= LastSuccess;
  if (Success && (!OwnId || !findField(Head.Fields, Names.Signature)))
    return ResponseKind::Invalid;
  // A host that forwards a response, or gives up after a run, always sends the
  // request's id.
  if (Source.Host && !OwnId)
    return ResponseKind::Invalid;
  if (findField(Head.Fields, "Content-Encoding"))
    return ResponseKind::Invalid;
  return ResponseKind::Response;
}

void removeHostFields(HttpFields &Fields) {
  for (const char *Name :
       {NotRunField, ArrivedField, RunsField, WaitedField, TablesField,
        HomesField, HostField, CustomerField, KeyField})
    removeField(Fields, Name);
}

bool promisesNotRun(unsigned Status) {
  return Status == RequestTimeout || Status == Misdirected ||
         Status == TooMany || Status == Unavailable;
}

HttpRequestHead outgoingHead(const HttpRequestHead &Arrived,
                             const WireNames &Names) {
  HttpRequestHead Head = Arrived;
  removeConnectionFields(Head.Fields);
  removeField(Head.Fields, "Expect");
  for (const std::string &Name : Names.Reserved)
    removeField(Head.Fields, Name);
  removeHostFields(Head.Fields);
  return Head;
}

void setTimeLeft(HttpRequestHead &Head, const WireNames &Names,
                 Duration TimeLeft) {
  auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(TimeLeft).count();
  setField(Head.Fields, Names.TimeLeft,
           std::to_string(std::max<std::int64_t>(1, Millis)));
}

} // namespace celerybeam::detail
