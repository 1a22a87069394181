#include "endpoints/endpointclient.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <utility>

#include "endpoints/internal/loadpage.h"
#include "framework/shardedmap.h"
#include "httpclient/httpfetch.h"
#include "httpclient/urlencoding.h"

namespace celerybeam {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t LoadPageLimitBytes = 65536;

constexpr std::string_view RequestIdHeader = "x-request-id";
constexpr std::string_view AttemptHeader = "x-attempt";
constexpr std::string_view TimeoutHeader = "request-timeout";

/// Header fields that this client sets itself.
constexpr std::array<std::string_view, 3> ClientHeaders = {
    RequestIdHeader, AttemptHeader, TimeoutHeader};

/// Whether the call is model engine work, which the engine can cancel.
bool isEngineWork(const RequestHead &Head) {
  return Head.Method == "POST" && (Head.Path == "/v1/chat/completions" ||
                                   Head.Path == "/v1/completions");
}

bool isRepeatable(const RequestHead &Head) {
  return isEngineWork(Head) || Head.Method == "GET" || Head.Method == "HEAD";
}

/// Rounds up to milliseconds. 0 means "no limit"; only 0 converts to 0.
milliseconds toMilliseconds(Duration Time) {
  if (Time == Duration::zero())
    return milliseconds::zero();
  return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(Time));
}

std::string secondsText(Duration Time) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                std::chrono::duration<double>(Time).count());
  return Text.data();
}

HeaderFields requestHeaders(const EndpointCall &Call) {
  HeaderFields Fields = Call.Head.Headers;
  std::erase_if(Fields, [](const HeaderField &Field) {
    return std::find(ClientHeaders.begin(), ClientHeaders.end(), Field.Name) !=
           ClientHeaders.end();
  });
  Fields.push_back({std::string(RequestIdHeader), Call.Id.Request.str()});
  Fields.push_back(
      {std::string(AttemptHeader), std::to_string(Call.Id.Number)});
  if (Call.Timeout > Duration::zero())
    Fields.push_back({std::string(TimeoutHeader), secondsText(Call.Timeout)});
  return Fields;
}

/// Whether the head carries the id of another exchange. Plain services may
/// omit the id.
bool namesAnotherExchange(const ResponseHead &Head, const AttemptId &Id) {
  const std::string_view Request = findHeader(Head.Headers, RequestIdHeader);
  const std::string_view Attempt = findHeader(Head.Headers, AttemptHeader);
  return (!Request.empty() && Request != Id.Request.str()) ||
         (!Attempt.empty() && Attempt != std::to_string(Id.Number));
}

/// State of one call in progress. Its hooks run one at a time.
struct Exchange {
  AttemptId Id;
  Address Where;
  bool EngineWork = false;
  CallObserver Observer;
  bool Mismatched = false;
};

} // namespace

class EndpointClient::Impl
    : public std::enable_shared_from_this<EndpointClient::Impl> {
public:
  Impl(HttpClient &Http, std::function<TimePoint()> Now,
       EndpointClientSettings Settings)
      : Http_(Http), Now_(std::move(Now)), Settings_(std::move(Settings)) {}

  void start(const EndpointCall &Call, CallObserver Observer) {
    auto E = std::make_shared<Exchange>();
    E->Id = Call.Id;
    E->Where = Call.Where;
    E->EngineWork = isEngineWork(Call.Head);
    E->Observer = std::move(Observer);
    // The call starts under the map's lock, so that a cancellation either
    // finds the call or precedes it. HttpClient::start runs no hook.
    Calls_.upsert(Call.Id, [&](HttpCallId &Id) {
      Id = Http_.start(httpCall(Call), responseHooks(E));
    });
  }

  void cancel(const AttemptId &Id) {
    if (auto Call = Calls_.find(Id))
      Http_.cancel(*Call);
  }

  void resume(const AttemptId &Id) {
    if (auto Call = Calls_.find(Id))
      Http_.resume(*Call);
  }

  void requestLoad(const Address &Where,
                   std::function<void(Result<LoadPage>)> Done) {
    HttpCall Call = controlCall("GET", Where, "/load");
    Call.Repeatable = true;
    fetchHttp(
        Http_, std::move(Call), LoadPageLimitBytes,
        [Now = Now_, Done = std::move(Done)](Result<HttpResponse> Response) {
          if (Response)
            return Done(parseLoadPage(*Response, Now()));
          Error Failure = std::move(Response.error());
          if (Failure.Kind != ErrorKind::ConnectFailed)
            Failure.Kind = ErrorKind::ConnectionLost;
          Done(tl::unexpected(std::move(Failure)));
        });
  }

  EndpointClientCounts counts() const {
    EndpointClientCounts C;
    C.InFlight = Calls_.size();
    C.MismatchedResponses = MismatchedResponses_;
    C.Cancellations = Cancellations_;
    return C;
  }

private:
  std::string baseUrl(const Address &Where) const {
    return (Settings_.Tls ? "https://" : "http://") + Where.str();
  }

  HttpCall httpCall(const EndpointCall &Call) const {
    HttpCall Http;
    Http.Method = Call.Head.Method;
    Http.Url = baseUrl(Call.Where) + Call.Head.Path;
    if (!Call.Head.Query.empty())
      Http.Url += "?" + Call.Head.Query;
    Http.Headers = requestHeaders(Call);
    Http.Body = Call.Body;
    Http.ConnectTimeout = toMilliseconds(Call.ConnectTimeout);
    Http.Timeout = toMilliseconds(Call.Timeout);
    Http.Repeatable = isRepeatable(Call.Head);
    Http.FreshConnection = countHeaders(Http.Headers, "idempotency-key") > 0;
    Http.CaFile = Settings_.CaFile;
    return Http;
  }

  HttpCall controlCall(std::string Method, const Address &Where,
                       const std::string &Target) const {
    HttpCall Http;
    Http.Method = std::move(Method);
    Http.Url = baseUrl(Where) + Target;
    Http.ConnectTimeout = Settings_.ControlConnectTimeout;
    Http.Timeout = Settings_.ControlTimeout;
    Http.CaFile = Settings_.CaFile;
    return Http;
  }

  ResponseHooks responseHooks(const std::shared_ptr<Exchange> &E) {
    ResponseHooks Hooks;
    auto Self = shared_from_this();
    Hooks.Head = [Self, E](ResponseHead Head) {
      Self->headArrived(*E, std::move(Head));
    };
    Hooks.Chunk = [E](std::string Data) {
      if (E->Mismatched || !E->Observer.OnData)
        return Flow::Continue;
      return E->Observer.OnData(std::move(Data));
    };
    Hooks.End = [Self, E](Result<void> End) {
      Self->ended(*E, std::move(End));
    };
    return Hooks;
  }

  void headArrived(Exchange &E, ResponseHead Head) {
    if (namesAnotherExchange(Head, E.Id)) {
      E.Mismatched = true;
      ++MismatchedResponses_;
      return cancel(E.Id);
    }
    if (E.Observer.OnHead)
      E.Observer.OnHead(std::move(Head));
  }

  void ended(Exchange &E, Result<void> End) {
    Calls_.erase(E.Id);
    const bool Abandoned =
        !End && (End.error().Kind == ErrorKind::Cancelled ||
                 End.error().Kind == ErrorKind::RequestTimeout);
    if (Abandoned && E.EngineWork)
      sendCancellation(E);
    if (E.Mismatched)
      End = makeError(ErrorKind::ConnectionLost,
                      "the endpoint answered another request; restart it when "
                      "this repeats");
    if (E.Observer.OnEnd)
      E.Observer.OnEnd(std::move(End));
  }

  /// Asks an engine to stop the work. Without this the engine notices the
  /// closed connection only at its next write.
  void sendCancellation(const Exchange &E) {
    ++Cancellations_;
    const std::string Target = "/v1/requests/" +
                               encodeUrlComponent(E.Id.Request.str()) +
                               "?attempt=" + std::to_string(E.Id.Number);
    Http_.start(controlCall("DELETE", E.Where, Target), ResponseHooks());
  }

  HttpClient &Http_;
  const std::function<TimePoint()> Now_;
  const EndpointClientSettings Settings_;
  ShardedMap<AttemptId, HttpCallId> Calls_;
  std::atomic<std::uint64_t> MismatchedResponses_{0};
  std::atomic<std::uint64_t> Cancellations_{0};
};

EndpointClient::EndpointClient(HttpClient &Http, std::function<TimePoint()> Now,
                               EndpointClientSettings Settings)
    : Impl_(std::make_shared<Impl>(Http, std::move(Now), std::move(Settings))) {
}

EndpointClient::~EndpointClient() = default;

EndpointHooks EndpointClient::hooks() const {
  EndpointHooks Hooks;
  auto Self = Impl_;
  Hooks.Start = [Self](const EndpointCall &Call, CallObserver Observer) {
    Self->start(Call, std::move(Observer));
  };
  Hooks.Cancel = [Self](const AttemptId &Id) { Self->cancel(Id); };
  Hooks.Resume = [Self](const AttemptId &Id) { Self->resume(Id); };
  Hooks.FetchLoad = [Self](const EndpointId & /*Endpoint*/,
                           const Address &Where,
                           std::function<void(Result<LoadPage>)> Done) {
    Self->requestLoad(Where, std::move(Done));
  };
  return Hooks;
}

EndpointClientCounts EndpointClient::counts() const { return Impl_->counts(); }

} // namespace celerybeam
