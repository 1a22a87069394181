#include "gateway/internal/callerconnection.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include "gateway/bookingresponse.h"

namespace celerybeam {

namespace {

/// Bytes read from an exchange at a time.
constexpr std::size_t ReadBlock = std::size_t{16} * 1024;
constexpr int OkStatus = 200;

/// Whether this header field frames the message or concerns one connection.
/// The server and its library write such fields themselves, so a producer's
/// are dropped. So is Date, which the library writes.
bool isFramingOrConnectionField(std::string_view Name) {
  return Name == "connection" || Name == "keep-alive" ||
         Name == "transfer-encoding" || Name == "content-length" ||
         Name == "date" || Name == "upgrade" || Name == "trailer" ||
         Name == "proxy-connection" || Name == "te";
}

void addHeaders(MHD_Response *MhdResponse, const HeaderFields &Fields) {
  for (const HeaderField &Field : Fields) {
    if (!isFramingOrConnectionField(Field.Name))
      MHD_add_response_header(MhdResponse, Field.Name.c_str(),
                              Field.Value.c_str());
  }
}

std::uint64_t bodySize(const ResponseHead &Head) {
  RequestHead Copy;
  Copy.Headers = Head.Headers;
  auto Framing = readFraming(Copy);
  if (!Framing || Framing->Chunked || !Framing->Length)
    return MHD_SIZE_UNKNOWN;
  return *Framing->Length;
}

char lowerCase(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

MHD_Result addField(void *Fields, MHD_ValueKind /*Kind*/, const char *Name,
                    size_t NameSize, const char *Value, size_t ValueSize) {
  HeaderField Field;
  Field.Name.assign(Name, NameSize);
  std::transform(Field.Name.begin(), Field.Name.end(), Field.Name.begin(),
                 lowerCase);
  if (Value != nullptr)
    Field.Value.assign(Value, ValueSize);
  static_cast<HeaderFields *>(Fields)->push_back(std::move(Field));
  return MHD_YES;
}

using ExchangeHandle = std::shared_ptr<Exchange>;

ssize_t readExchange(void *Handle, std::uint64_t /*Position*/, char *Target,
                     size_t Max) {
  auto Read = (*static_cast<ExchangeHandle *>(Handle))->read(Target, Max);
  switch (Read.State) {
  case Exchange::ReadState::Data:
    return static_cast<ssize_t>(Read.Size);
  case Exchange::ReadState::Suspended:
    return 0;
  case Exchange::ReadState::End:
    return MHD_CONTENT_READER_END_OF_STREAM;
  case Exchange::ReadState::Broken:
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

void freeExchange(void *Handle) {
  std::unique_ptr<ExchangeHandle> Owner(static_cast<ExchangeHandle *>(Handle));
}

} // namespace

CallerConnection::CallerConnection(ServerContext &Context, MHD_Connection *Raw,
                                   int Socket, std::string Ip,
                                   std::optional<Error> Refusal)
    : Context_(Context), Raw_(Raw), Socket_(Socket), Ip_(std::move(Ip)),
      Refusal_(std::move(Refusal)) {}

CallerConnection::~CallerConnection() = default;

void CallerConnection::beginRequest(const char *Target) {
  Head_ = {};
  Framing_ = {};
  Accepted_.reset();
  BookingKey_.reset();
  Deferred_.reset();
  Body_.clear();
  HeadSeen_ = false;
  Discarded_ = 0;
  InFlight_ = false;
  Started_ = false;
  Queued_ = false;
  TargetCheck_ = readTarget(Target, Head_);
  Context_.Requests.fetch_add(1, std::memory_order_relaxed);
}

MHD_Result CallerConnection::handle(const char *Method, const char *Data,
                                    std::size_t *Size) {
  if (!HeadSeen_) {
    HeadSeen_ = true;
    return onHead(Method);
  }
  if (Deferred_)
    return queueNow(*std::exchange(Deferred_, std::nullopt));
  if (*Size > 0)
    return onBody(Data, Size);
  return Started_ ? continueResponse() : onBodyComplete();
}

MHD_Result CallerConnection::onHead(const char *Method) {
  if (Refusal_)
    return refuse(*Refusal_);
  if (auto Checked = checkHead(Method); !Checked)
    return refuse(Checked.error());
  auto Target = findCallerTarget(Head_);
  if (!Target) {
    Context_.RefusedFromHead.fetch_add(1, std::memory_order_relaxed);
    return queue(Target.error());
  }
  return accept(*Target);
}

Result<void> CallerConnection::checkHead(const char *Method) {
  Head_.Method = Method;
  readHeaders();
  auto Framing = readFraming(Head_);
  if (!Framing) {
    // The end of the body is unknown, so nothing after the head may be read
    // as a request.
    Framing_.Chunked = true;
    return tl::unexpected<Error>(Framing.error());
  }
  Framing_ = *Framing;
  if (!TargetCheck_)
    return TargetCheck_;
  return checkSizes(Head_, Framing_, Context_.Options.HeaderLimit,
                    Context_.Options.BodyLimit);
}

void CallerConnection::readHeaders() {
  MHD_get_connection_values_n(Raw_, MHD_HEADER_KIND, &addField, &Head_.Headers);
}

MHD_Result CallerConnection::accept(CallerTarget Target) {
  Target_ = Target;
  // Counted before Stopping is checked, so that a stop either waits for the
  // request or the request is refused.
  markInFlight(Phase::ReadingBody, std::nullopt);
  bool Runs =
      Target == CallerTarget::Request || Target == CallerTarget::BookingStatus;
  if (Runs && Context_.Stopping)
    return refuse({ErrorKind::ShuttingDown,
                   "This entry host is shutting down; use another one from "
                   "/v1/entries.",
                   std::chrono::milliseconds(0)});
  if (Target == CallerTarget::Request)
    return acceptRequest();
  if (Framing_.hasBody())
    return refuse({ErrorKind::BadRequest,
                   "This path takes no body; send the request without one."});
  if (Target == CallerTarget::BookingStatus)
    return acceptBookingStatus();
  return respondFromHead(Target);
}

MHD_Result CallerConnection::acceptRequest() {
  auto Accepted = Context_.Handler->AcceptHead(Head_);
  if (!Accepted)
    return refuse(Accepted.error());
  Accepted_ = std::move(*Accepted);
  Body_.reserve(std::min<std::uint64_t>(Framing_.Length.value_or(0),
                                        Context_.Options.BodyLimit));
  return MHD_YES;
}

MHD_Result CallerConnection::acceptBookingStatus() {
  auto Customer = Context_.Handler->Authenticate(
      findHeader(Head_.Headers, "authorization"));
  if (!Customer)
    return refuse(Customer.error());
  auto Key =
      Uuid7::parse(std::string_view(Head_.Path).substr(BookingsPrefix.size()));
  if (!Key)
    return refuse(Key.error());
  Customer_ = *Customer;
  BookingKey_ = *Key;
  return MHD_YES;
}

MHD_Result CallerConnection::respondFromHead(CallerTarget Target) {
  const CallerHandler &Handler = *Context_.Handler;
  if (Target == CallerTarget::Health)
    return queue(jsonResponse(OkStatus, R"({"healthy":true})"));
  if (Target == CallerTarget::Readiness) {
    auto Ready = Handler.Ready();
    if (!Ready)
      return refuse(Ready.error());
    return queue(jsonResponse(OkStatus, R"({"ready":true})"));
  }
  if (Target == CallerTarget::Entries) {
    auto Entries = Handler.Entries(Head_);
    if (!Entries)
      return refuse(Entries.error());
    return queue(jsonResponse(OkStatus, std::move(*Entries)));
  }
  auto Customer =
      Handler.Authenticate(findHeader(Head_.Headers, "authorization"));
  if (!Customer)
    return refuse(Customer.error());
  return queue(jsonResponse(OkStatus, Handler.Models(*Customer)));
}

MHD_Result CallerConnection::refuse(const Error &Failure) {
  Context_.RefusedFromHead.fetch_add(1, std::memory_order_relaxed);
  if (Failure.Kind == ErrorKind::WrongRegion)
    return queue(wrongRegion(Failure));
  return queue(errorResponse(Failure));
}

CallerResponse CallerConnection::wrongRegion(const Error &Failure) const {
  CallerResponse Response = errorResponse(Failure);
  if (!Context_.Handler->RemoteEntries)
    return Response;
  auto Entries = nlohmann::json::parse(Context_.Handler->RemoteEntries(Head_),
                                       nullptr, false);
  auto Body = nlohmann::json::parse(Response.Body);
  if (!Entries.is_discarded())
    Body["entries"] = std::move(Entries);
  Response.Body = Body.dump();
  return Response;
}

MHD_Result CallerConnection::queue(CallerResponse Response) {
  if (Framing_.hasBody())
    return queueNow(Response);
  // The library closes the connection if a response is queued before its
  // callback for the end of the request.
  Deferred_ = std::move(Response);
  return MHD_YES;
}

MHD_Result CallerConnection::queueNow(const CallerResponse &Response) {
  auto *Data = const_cast<char *>(Response.Body.data());
  MHD_Response *MhdResponse = MHD_create_response_from_buffer(
      Response.Body.size(), Data, MHD_RESPMEM_MUST_COPY);
  if (MhdResponse == nullptr)
    return MHD_NO;
  addHeaders(MhdResponse, Response.Head.Headers);
  bool Unread = Framing_.hasBody();
  if (Unread || Refusal_ || Context_.Stopping)
    MHD_add_response_header(MhdResponse, "Connection", "close");
  MHD_Result Queued = MHD_queue_response(
      Raw_, static_cast<unsigned>(Response.Head.Status), MhdResponse);
  MHD_destroy_response(MhdResponse);
  std::lock_guard Lock(Mutex_);
  Phase_ = Phase::Responding;
  Linger_ = Linger_ || Unread;
  return Queued;
}

MHD_Result CallerConnection::onBody(const char *Data, std::size_t *Size) {
  std::size_t Count = std::exchange(*Size, 0);
  std::size_t Limit = Context_.Options.BodyLimit;
  std::size_t BytesLeft = Discarded_ > 0 ? 0 : Limit - Body_.size();
  if (Count <= BytesLeft) {
    Body_.append(Data, Count);
    return MHD_YES;
  }
  // The library accepts no response inside a body. The rest of a chunked body
  // that is too large is therefore discarded, up to the same size again.
  Body_ = {};
  Discarded_ += Count - BytesLeft;
  return Discarded_ <= Limit ? MHD_YES : MHD_NO;
}

MHD_Result CallerConnection::onBodyComplete() {
  Started_ = true;
  if (Discarded_ > 0)
    return refuse(bodyTooLarge(Context_.Options.BodyLimit));
  markInFlight(Phase::Responding, exchangeHooks());
  auto Running = exchange();
  if (Target_ == CallerTarget::BookingStatus) {
    startBookingStatus();
  } else {
    RequestId Id = Context_.Handler->Start(
        std::move(*Accepted_), std::move(Body_), Running->producer());
    Running->started(std::move(Id));
  }
  bool CallerLeft = false;
  {
    std::lock_guard Lock(Mutex_);
    CallerLeft = PeerClosed_;
  }
  if (CallerLeft)
    Running->abort();
  return continueResponse();
}

void CallerConnection::startBookingStatus() {
  ResponseHooks Response = exchange()->producer();
  Uuid7 Key = *BookingKey_;
  Context_.Handler->BookingStatus(
      Customer_, Head_, Key, [Response, Key](const Result<BookingOutcome> &O) {
        CallerResponse Whole = bookingResponse(Key, O);
        Response.Head(std::move(Whole.Head));
        Response.Chunk(std::move(Whole.Body));
        Response.End({});
      });
}

ExchangeHooks CallerConnection::exchangeHooks() const {
  ExchangeHooks Hooks;
  MHD_Connection *Raw = Raw_;
  Hooks.Suspend = [Raw] { MHD_suspend_connection(Raw); };
  Hooks.Resume = [Raw] { MHD_resume_connection(Raw); };
  bool Runs = Target_ == CallerTarget::Request;
  auto Handler = Context_.Handler;
  Hooks.CallerReady = [Handler, Runs](const RequestId &Id) {
    if (Runs)
      Handler->CallerReady(Id);
  };
  Hooks.CallerGone = [Handler, Runs](const RequestId &Id) {
    if (Runs)
      Handler->CallerGone(Id);
  };
  return Hooks;
}

void CallerConnection::markInFlight(Phase Next,
                                    std::optional<ExchangeHooks> Hooks) {
  if (!std::exchange(InFlight_, true))
    Context_.enter();
  std::lock_guard Lock(Mutex_);
  Phase_ = Next;
  PhaseSince_ = Clock::now();
  if (Hooks)
    Exchange_ = std::make_shared<Exchange>(std::move(*Hooks),
                                           Context_.Options.ResponseBufferBytes,
                                           Head_.Method == "HEAD");
}

MHD_Result CallerConnection::continueResponse() {
  if (Queued_)
    return MHD_YES;
  auto Running = exchange();
  if (!Running->awaitHead())
    return MHD_YES;
  auto Head = Running->takeHead();
  if (!Head)
    return MHD_NO;
  Queued_ = true;
  return queueExchange(*Head);
}

MHD_Result CallerConnection::queueExchange(const ResponseHead &Head) {
  auto Handle = std::make_unique<ExchangeHandle>(exchange());
  MHD_Response *MhdResponse = MHD_create_response_from_callback(
      bodySize(Head), ReadBlock, &readExchange, Handle.get(), &freeExchange);
  if (MhdResponse == nullptr)
    return MHD_NO;
  // The response frees the handle.
  Handle.release(); // NOLINT(bugprone-unused-return-value)
  addHeaders(MhdResponse, Head.Headers);
  if (Context_.Stopping)
    MHD_add_response_header(MhdResponse, "Connection", "close");
  MHD_Result Queued =
      MHD_queue_response(Raw_, static_cast<unsigned>(Head.Status), MhdResponse);
  MHD_destroy_response(MhdResponse);
  return Queued;
}

void CallerConnection::endRequest(MHD_RequestTerminationCode Code) {
  bool Whole = Code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
  std::shared_ptr<Exchange> Ended;
  {
    std::lock_guard Lock(Mutex_);
    Ended = std::move(Exchange_);
    Exchange_.reset();
    Phase_ = Phase::AwaitingHead;
    PhaseSince_ = Clock::now();
  }
  if (Ended)
    Ended->finish(Whole);
  Body_ = {};
  if (!std::exchange(InFlight_, false))
    return;
  if (!Whole)
    Context_.CallersGone.fetch_add(1, std::memory_order_relaxed);
  Context_.leave();
}

void CallerConnection::tick(Clock::time_point Now) {
  std::shared_ptr<Exchange> Running;
  {
    std::lock_guard Lock(Mutex_);
    auto Passed = Now - PhaseSince_;
    bool Expired = (Phase_ == Phase::AwaitingHead &&
                    Passed >= Context_.Options.HeadTimeout) ||
                   (Phase_ == Phase::ReadingBody &&
                    Passed >= Context_.Options.BodyTimeout);
    if (Expired && SocketOpen_) {
      Context_.TimedOut.fetch_add(1, std::memory_order_relaxed);
      PhaseSince_ = Now;
      ::shutdown(Socket_, SHUT_RDWR);
    }
    Running = Exchange_;
  }
  if (Running)
    Running->keepAlive(Now, Context_.Options.KeepAliveInterval);
}

void CallerConnection::peerClosed() {
  {
    std::lock_guard Lock(Mutex_);
    PeerClosed_ = true;
  }
  if (auto Running = exchange())
    Running->abort();
}

void CallerConnection::abort() {
  if (auto Running = exchange())
    Running->abort();
  // Also ends a request whose body is still being received and a response
  // that the caller does not read.
  std::lock_guard Lock(Mutex_);
  if (SocketOpen_)
    ::shutdown(Socket_, SHUT_RDWR);
}

bool CallerConnection::releaseSocket() {
  std::lock_guard Lock(Mutex_);
  SocketOpen_ = false;
  return Linger_;
}

std::shared_ptr<Exchange> CallerConnection::exchange() const {
  std::lock_guard Lock(Mutex_);
  return Exchange_;
}

} // namespace celerybeam
