#include "platform/platformclient.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include "httpclient/httpfetch.h"
#include "httpclient/urlencoding.h"
#include "platform/internal/platformresponses.h"

namespace celerybeam {

namespace {

using std::chrono::milliseconds;

/// Above the service's limit of 1 MiB for a value, and enough for the list of
/// hosts of the largest fleet.
constexpr std::size_t MaxResponseBytes = 8UL * 1024 * 1024;

milliseconds toMilliseconds(Duration Time) {
  return std::chrono::ceil<milliseconds>(Time);
}

std::string countText(milliseconds Time) {
  return std::to_string(Time.count());
}

std::string keyPath(const StoreKey &Key) {
  return "/v1/kv/" + encodeUrlPath(Key.str());
}

std::string leasePath(const LeaseId &Id) {
  return "/v1/leases/" + encodeUrlComponent(Id.str());
}

/// Adds an empty address if there is none, so that calls fail as if the address
/// could not be reached.
PlatformClientOptions withAddress(PlatformClientOptions Settings) {
  if (Settings.Addresses.empty())
    Settings.Addresses.emplace_back();
  return Settings;
}

/// The counters behind PlatformCallCounts; written by many threads.
struct AtomicCounts {
  std::atomic<std::uint64_t> Gets{0};
  std::atomic<std::uint64_t> Puts{0};
  std::atomic<std::uint64_t> Watches{0};
  std::atomic<std::uint64_t> Leases{0};
  std::atomic<std::uint64_t> Lists{0};
  std::atomic<std::uint64_t> Failures{0};
  std::atomic<std::uint64_t> UnreadableRows{0};
};

using Counter = std::atomic<std::uint64_t> AtomicCounts::*;

/// One call, without the address to which it is sent.
struct PlatformCall {
  StoreAccess Access = StoreAccess::Read;
  Counter Counted = &AtomicCounts::Gets;
  std::string Method = "GET";
  /// Path and query.
  std::string Target;
  std::shared_ptr<const std::string> Body = nullptr;
  /// How long the service may delay the response (long poll).
  milliseconds Wait{0};
};

} // namespace

class PlatformClient::Impl
    : public std::enable_shared_from_this<PlatformClient::Impl> {
public:
  Impl(HttpClient &Http, PlatformClientOptions Settings)
      : Http_(Http), Settings_(withAddress(std::move(Settings))) {}

  void get(const StoreKey &Key, Completion<StoreValue> Done) {
    PlatformCall Call;
    Call.Target = keyPath(Key);
    run(std::move(Call), readValue, std::move(Done));
  }

  void put(StorePut Put, Completion<StoreVersion> Done) {
    PlatformCall Call;
    Call.Access = StoreAccess::Write;
    Call.Counted = &AtomicCounts::Puts;
    Call.Method = "PUT";
    Call.Target =
        keyPath(Put.Key) + "?expected=" + std::to_string(Put.Expected);
    if (Put.Lease)
      Call.Target += "&lease=" + encodeUrlComponent(Put.Lease->str());
    Call.Body = std::make_shared<const std::string>(std::move(Put.Data));
    run(std::move(Call), readWrittenVersion, std::move(Done));
  }

  void watch(const StoreWatch &Watch, Completion<StoreValue> Done) {
    PlatformCall Call;
    Call.Counted = &AtomicCounts::Watches;
    Call.Wait = toMilliseconds(Watch.Wait);
    Call.Target = keyPath(Watch.Key) + "?after=" + std::to_string(Watch.After) +
                  "&wait_ms=" + countText(Call.Wait);
    send(std::move(Call),
         [Self = shared_from_this(), Watch,
          Done = std::move(Done)](Result<HttpResponse> Response) {
           if (!Response || Response->Head.Status != 304)
             return Done(Response.and_then(readValue));
           if (Watch.After == 0)
             return Done(StoreValue());
           Self->get(Watch.Key, Done);
         });
  }

  void grantLease(Duration TimeToLive, Completion<StoreLease> Done) {
    PlatformCall Call = leaseCall("POST", "/v1/leases");
    Call.Target += "?ttl_ms=" + countText(toMilliseconds(TimeToLive));
    run(std::move(Call), readLease, std::move(Done));
  }

  void renewLease(const LeaseId &Id, Completion<StoreLease> Done) {
    run(leaseCall("PUT", leasePath(Id)), readLease, std::move(Done));
  }

  void releaseLease(const LeaseId &Id, Completion<void> Done) {
    // A lease that has already ended counts as released.
    send(leaseCall("DELETE", leasePath(Id)),
         [Done = std::move(Done)](const Result<HttpResponse> &Response) {
           Done(Response.map([](const HttpResponse &) {}));
         });
  }

  void list(Completion<PlatformList> Done) {
    PlatformCall Call;
    Call.Counted = &AtomicCounts::Lists;
    Call.Target = "/v1/hosts";
    auto Read = [Self = shared_from_this()](const HttpResponse &Response) {
      return readList(Response).map([&](ParsedList L) {
        Self->Counts_.UnreadableRows += L.UnreadableRows;
        return std::move(L.List);
      });
    };
    run(std::move(Call), std::move(Read), std::move(Done));
  }

  PlatformCallCounts counts() const {
    PlatformCallCounts C;
    C.Gets = Counts_.Gets;
    C.Puts = Counts_.Puts;
    C.Watches = Counts_.Watches;
    C.Leases = Counts_.Leases;
    C.Lists = Counts_.Lists;
    C.Failures = Counts_.Failures;
    C.UnreadableRows = Counts_.UnreadableRows;
    return C;
  }

private:
  static PlatformCall leaseCall(std::string Method, std::string Target) {
    PlatformCall Call;
    Call.Access = StoreAccess::Write;
    Call.Counted = &AtomicCounts::Leases;
    Call.Method = std::move(Method);
    Call.Target = std::move(Target);
    return Call;
  }

  template <typename Reader, typename T>
  void run(PlatformCall &&Call, Reader Read, Completion<T> Done) {
    send(std::move(Call), [Read = std::move(Read), Done = std::move(Done)](
                              const Result<HttpResponse> &Response) {
      Done(Response.and_then(Read));
    });
  }

  void send(PlatformCall Call, Completion<HttpResponse> Done) {
    auto Shared = std::make_shared<const PlatformCall>(std::move(Call));
    attempt(Shared, Current_, Settings_.Addresses.size(), std::move(Done));
  }

  /// Sends the call to the address with the index and, on a failure, to those
  /// after it as long as mayTryNext allows it.
  void attempt(const std::shared_ptr<const PlatformCall> &Call,
               std::size_t Index, std::size_t Left,
               Completion<HttpResponse> Done) {
    ++(Counts_.*(Call->Counted));
    fetchHttp(Http_, httpCall(*Call, Index), MaxResponseBytes,
              [Self = shared_from_this(), Call, Index, Left,
               Done = std::move(Done)](Result<HttpResponse> Response) {
                Self->handleResponse(Call, Index, Left, std::move(Response),
                                     Done);
              });
  }

  void handleResponse(const std::shared_ptr<const PlatformCall> &Call,
                      std::size_t Index, std::size_t Left,
                      Result<HttpResponse> Response,
                      const Completion<HttpResponse> &Done) {
    const bool Failed = !Response || Response->Head.Status >= 500;
    if (!Failed)
      return Done(checkStatus(Call->Access, std::move(*Response)));
    ++Counts_.Failures;
    const std::size_t Next = (Index + 1) % Settings_.Addresses.size();
    Current_.compare_exchange_strong(Index, Next);
    if (Left > 1 && mayTryNext(*Call, Response))
      return attempt(Call, Next, Left - 1, Done);
    if (Response)
      return Done(checkStatus(Call->Access, std::move(*Response)));
    Done(tl::unexpected(storeError(Call->Access, Response.error())));
  }

  /// A write goes to the next address only when the connection failed; else it
  /// may already have taken effect.
  static bool mayTryNext(const PlatformCall &Call,
                         const Result<HttpResponse> &Response) {
    if (!Response && Response.error().Kind == ErrorKind::Cancelled)
      return false;
    if (!Response && Response.error().Kind == ErrorKind::ConnectFailed)
      return true;
    return Call.Access == StoreAccess::Read;
  }

  HttpCall httpCall(const PlatformCall &Call, std::size_t Index) const {
    HttpCall Http;
    Http.Method = Call.Method;
    Http.Url = Settings_.Addresses[Index] + Call.Target;
    Http.Body = Call.Body;
    Http.ConnectTimeout = Settings_.ConnectTimeout;
    Http.Timeout = Settings_.CallTimeout + Call.Wait;
    Http.Repeatable = Call.Access == StoreAccess::Read;
    Http.CaFile = Settings_.CaFile;
    if (!Settings_.Token.empty())
      Http.Headers.push_back({"authorization", "Bearer " + Settings_.Token});
    return Http;
  }

  HttpClient &Http_;
  const PlatformClientOptions Settings_;
  /// Index of the address that is tried first; advances when a call to it
  /// fails.
  std::atomic<std::size_t> Current_{0};
  AtomicCounts Counts_;
};

PlatformClient::PlatformClient(HttpClient &Http, PlatformClientOptions Settings)
    : Impl_(std::make_shared<Impl>(Http, std::move(Settings))) {}

PlatformClient::~PlatformClient() = default;

StoreHooks PlatformClient::hooks() const {
  StoreHooks Hooks;
  auto Self = Impl_;
  Hooks.Get = [Self](const StoreKey &Key, Completion<StoreValue> Done) {
    Self->get(Key, std::move(Done));
  };
  Hooks.Put = [Self](StorePut Put, Completion<StoreVersion> Done) {
    Self->put(std::move(Put), std::move(Done));
  };
  Hooks.Watch = [Self](const StoreWatch &Watch, Completion<StoreValue> Done) {
    Self->watch(Watch, std::move(Done));
  };
  Hooks.GrantLease = [Self](Duration Time, Completion<StoreLease> Done) {
    Self->grantLease(Time, std::move(Done));
  };
  Hooks.RenewLease = [Self](const LeaseId &Id, Completion<StoreLease> Done) {
    Self->renewLease(Id, std::move(Done));
  };
  Hooks.ReleaseLease = [Self](const LeaseId &Id, Completion<void> Done) {
    Self->releaseLease(Id, std::move(Done));
  };
  return Hooks;
}

void PlatformClient::list(Completion<PlatformList> Done) const {
  Impl_->list(std::move(Done));
}

PlatformCallCounts PlatformClient::counts() const { return Impl_->counts(); }

} // namespace celerybeam
