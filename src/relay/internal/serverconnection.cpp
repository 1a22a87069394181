#include "relay/internal/serverconnection.h"

#include <limits>
#include <utility>

#include "relay/internal/serverexchange.h"
#include "relay/internal/sockets.h"

namespace celerybeam::detail {

namespace {

/// HTTP/1.1, in the form that the parser uses.
constexpr unsigned FirstVersionWithChunks = 11;
constexpr unsigned BadRequest = 400;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned BodyTooLong = 413;
constexpr unsigned HeadTooLong = 431;
constexpr unsigned Unavailable = 503;
/// Retry-After in seconds when the memory for requests is used up: within that
/// time the host completes or gives up many of them.
constexpr const char *MemoryRetryAfter = "0.5";

/// Maximum number of bytes that are buffered after a request while it is
/// processed.
constexpr std::size_t MaxPipelined = 65536;
/// How often a connection that reads no further is checked for a close.
constexpr Duration CloseCheckInterval = std::chrono::milliseconds(100);
/// Maximum number of response bytes that may wait for a caller that does not
/// read: the longest response that is buffered whole, with its head.
constexpr std::size_t MaxUnsent = ByteBudget::MaxResponseBytes + 65536;
/// Unsent bytes that each connection may have even when the server's budget is
/// used up, so that callers that do not read cannot harm those that do.
constexpr std::size_t MinUnsentAllowance = 65536;
/// A caller that has always left bytes unread for as long reads more slowly
/// than its link delivers: the longest response takes less at 4 MB a second.
constexpr Duration MinUnreadTime = std::chrono::seconds(1);
/// How long a finished connection drains what the caller still sends.
constexpr Duration LingerTime = std::chrono::milliseconds(500);
/// Maximum number of drained bytes. More than this is not the rest of a refused
/// request.
constexpr std::size_t MaxDrainedBytes = 8U << 20U;
/// If sent response bytes stay unacknowledged for this long, the caller is
/// considered gone.
constexpr Duration CallerAckTimeout = std::chrono::seconds(8);

} // namespace

ServerConnection::ServerConnection(EventLoop &Loop, Tcp::socket Socket,
                                   std::shared_ptr<ServerShared> Shared)
    : Socket_(std::move(Socket)), Shared_(std::move(Shared)), StateTimer_(Loop),
      WholeTimer_(Loop), WriteTimer_(Loop),
      Body_(Shared_->Bodies, std::numeric_limits<std::size_t>::max()),
      Unsent_(Shared_->Unsent, MaxUnsent) {
  ++Shared_->Open;
}

ServerConnection::~ServerConnection() {
  --Shared_->Open;
  Shared_->UnsentSince.erase(this);
  removeFromCount();
}

void ServerConnection::removeFromCount() {
  auto Found = Shared_->OpenByIp.find(std::exchange(PeerIp_, {}));
  if (Found != Shared_->OpenByIp.end() && --Found->second == 0)
    Shared_->OpenByIp.erase(Found);
}

void ServerConnection::start() {
  setConnectionOptions(Socket_, CallerAckTimeout);
  ErrorCode Error;
  auto Peer = Socket_.remote_endpoint(Error);
  if (Error)
    return close();
  PeerIp_ = Peer.address().to_string();
  ++Shared_->OpenByIp[PeerIp_];
  nextRequest();
}

void ServerConnection::nextRequest() {
  State_ = State::Idle;
  Parser_ = std::make_unique<Parser>();
  Parser_->header_limit(Shared_->Limits.HeaderBytes);
  Parser_->body_limit(Shared_->Limits.BodyBytes);
  Parser_->eager(true);
  SentContinue_ = false;
  StateTimer_.set(Shared_->Limits.IdleTimeout, [this] { idleTimedOut(); });
  if (Buffer_.size() > 0)
    return parseLater();
  // Idle connections hold no buffer memory.
  Buffer_ = {};
  read();
}

void ServerConnection::parseLater() {
  // Posted, to bound the depth of the stack: a caller may pipeline many
  // requests whose responses are sent synchronously.
  asio::post(Socket_.get_executor(), [Self = shared_from_this(), Turn = Turn_] {
    if (Self->State_ == State::Idle && Self->Turn_ == Turn)
      Self->parse();
  });
}

void ServerConnection::idleTimedOut() {
  if (State_ == State::Idle)
    finish();
}

void ServerConnection::readTimedOut() {
  auto Self = shared_from_this();
  if (State_ == State::Reading)
    refuse(RequestTimeout, "the request did not arrive in time");
}

void ServerConnection::read() {
  if (ReadPending_ || State_ == State::Closed)
    return;
  ReadPending_ = true;
  Socket_.async_read_some(
      asio::buffer(ReadBuffer_),
      [Self = shared_from_this()](ErrorCode Error, std::size_t Bytes) {
        Self->ReadPending_ = false;
        Self->onRead(Error, Bytes);
      });
}

void ServerConnection::onRead(ErrorCode Error, std::size_t Bytes) {
  if (State_ == State::Closed)
    return;
  if (Error)
    return onReadEnd(Error);
  Buffer_.commit(asio::buffer_copy(Buffer_.prepare(Bytes),
                                   asio::buffer(ReadBuffer_, Bytes)));
  switch (State_) {
  case State::Idle:
  case State::Reading:
    return parse();
  case State::Responding:
    return watchCaller();
  case State::Finishing:
  case State::Lingering:
    return drainBytes();
  case State::Closed:
    return;
  }
}

void ServerConnection::onReadEnd(ErrorCode Error) {
  switch (State_) {
  case State::Responding:
    return callerDisconnected();
  case State::Finishing:
    // The caller may have closed only its sending side and still read the
    // response.
    if (Error != asio::error::eof)
      close();
    return;
  case State::Idle:
    return finish();
  case State::Reading:
  case State::Lingering:
  case State::Closed:
    return close();
  }
}

void ServerConnection::drainBytes() {
  DrainedBytes_ += Buffer_.size();
  Buffer_.consume(Buffer_.size());
  if (DrainedBytes_ > MaxDrainedBytes)
    return close();
  read();
}

void ServerConnection::parse() {
  if (State_ == State::Idle) {
    State_ = State::Reading;
    auto TimeOut = [this] { readTimedOut(); };
    StateTimer_.set(Shared_->Limits.HeaderTimeout, TimeOut);
    WholeTimer_.set(Shared_->Limits.WholeTimeout, TimeOut);
  }
  ErrorCode Error;
  while (Buffer_.size() > 0 && !Parser_->is_done()) {
    std::size_t Used = Parser_->put(Buffer_.data(), Error);
    Buffer_.consume(Used);
    if (Error == http::error::need_more)
      break;
    if (Error == http::error::header_limit)
      return refuse(HeadTooLong, "the head is too long");
    if (Error == http::error::body_limit)
      return refuse(BodyTooLong, "the body is too long");
    if (Error)
      return refuse(BadRequest, "the request is malformed");
    if (Used == 0)
      break;
  }
  if (Parser_->is_header_done()) {
    if (const char *Problem = framingProblem())
      return refuse(BadRequest, Problem);
    if (!Body_.set(Parser_->get().body().size()))
      return refuse(Unavailable, "no memory for more requests");
    // Chunk extensions and trailers are not bounded by the parser's limits.
    if (!Parser_->is_done() && Buffer_.size() > Shared_->Limits.HeaderBytes)
      return refuse(BadRequest, "the framing of the body is too long");
    if (!Parser_->is_done())
      continueBody();
  }
  if (State_ != State::Reading)
    return;
  if (Parser_->is_done())
    return requestComplete();
  read();
}

void ServerConnection::continueBody() {
  StateTimer_.set(Shared_->Limits.IdleTimeout, [this] { readTimedOut(); });
  if (SentContinue_ || Parser_->get().count(http::field::expect) == 0)
    return;
  SentContinue_ = true;
  send("HTTP/1.1 100 Continue\r\n\r\n");
}

const char *ServerConnection::framingProblem() const {
  const auto &Head = Parser_->get();
  std::size_t Lengths = 0;
  std::size_t Codings = 0;
  std::size_t Hosts = 0;
  for (const auto &Field : Head) {
    Lengths += Field.name() == http::field::content_length ? 1 : 0;
    Hosts += Field.name() == http::field::host ? 1 : 0;
    if (Field.name() != http::field::transfer_encoding)
      continue;
    ++Codings;
    if (!boost::beast::iequals(Field.value(), "chunked"))
      return "the transfer coding is not known";
  }
  if (Lengths > 1 || Codings > 1 || (Lengths > 0 && Codings > 0))
    return "the length is given more than once";
  if (Hosts > 1)
    return "the host is given more than once";
  return nullptr;
}

HttpRequestHead ServerConnection::headRead() const {
  const auto &Message = Parser_->get();
  HttpRequestHead Head;
  Head.Method = std::string(Message.method_string());
  Head.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Head.Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Head;
}

void ServerConnection::requestComplete() {
  HttpServerRequest Request;
  Request.Arrived = Shared_->Time.Now();
  Request.Head = headRead();
  IsHeadRequest_ = Parser_->get().method() == http::verb::head;
  CallerKnowsChunks_ = Parser_->get().version() >= FirstVersionWithChunks;
  Request.Body =
      std::make_shared<const std::string>(std::move(Parser_->get().body()));
  beginTurn(Parser_->get().keep_alive());
  watchCaller();
  Shared_->Handle(std::move(Request),
                  std::make_shared<ServerExchange>(shared_from_this(), Turn_));
}

void ServerConnection::watchCaller() {
  if (Buffer_.size() < MaxPipelined)
    return read();
  StateTimer_.set(CloseCheckInterval, [this] {
    if (State_ != State::Responding)
      return;
    if (isClosedByPeer(Socket_))
      return callerDisconnected();
    watchCaller();
  });
}

bool ServerConnection::isCallerWaiting(TurnNumber Turn) {
  return isCurrent(Turn) && !isClosedByPeer(Socket_);
}

void ServerConnection::refuse(unsigned Status, const char *Why) {
  HttpRequestHead ReceivedHead;
  if (Parser_->is_header_done())
    ReceivedHead = headRead();
  if (Shared_->Refused)
    Shared_->Refused({Status, Why, PeerIp_, ReceivedHead});
  IsHeadRequest_ = false;
  beginTurn(false);
  HttpResponseHead Head{Status, {}};
  if (Shared_->RefusalFields)
    Head.Fields = Shared_->RefusalFields(ReceivedHead);
  Head.Fields.push_back({"Content-Type", "text/plain"});
  if (Status == Unavailable)
    Head.Fields.push_back({"Retry-After", MemoryRetryAfter});
  sendWholeResponse(Head, std::string(Why) + "\n");
}

bool ServerConnection::isCurrent(TurnNumber Turn) const {
  return State_ == State::Responding && Turn == Turn_;
}

void ServerConnection::beginTurn(bool KeepAlive) {
  State_ = State::Responding;
  ++Turn_.Value;
  // Bytes received from here on belong to the next request, if any.
  Parser_.reset();
  StateTimer_.cancel();
  WholeTimer_.cancel();
  CallerKeepsAlive_ = KeepAlive;
  EndsByClose_ = false;
  ++Shared_->InFlight;
}

void ServerConnection::endTurn() {
  --Shared_->InFlight;
  Body_.set(0);
  // Invalidates the exchange before the hook is destroyed, because its
  // destructor may call the exchange.
  ++Turn_.Value;
  auto Dropped = std::exchange(DisconnectHook_, nullptr);
}

void ServerConnection::respond(TurnNumber Turn, const HttpResponseHead &Head,
                               std::string_view Body) {
  if (isCurrent(Turn))
    sendWholeResponse(Head, Body);
}

void ServerConnection::sendWholeResponse(const HttpResponseHead &Head,
                                         std::string_view Body) {
  ClosesAfterResponse_ = !CallerKeepsAlive_ || Shared_->CloseAfterResponses;
  std::string Out =
      renderResponseHead(Head, "Content-Length: " + std::to_string(Body.size()),
                         ClosesAfterResponse_);
  if (!IsHeadRequest_)
    Out += Body;
  send(Out);
  responseComplete();
}

void ServerConnection::beginStream(TurnNumber Turn,
                                   const HttpResponseHead &Head) {
  if (!isCurrent(Turn))
    return;
  EndsByClose_ = !CallerKnowsChunks_;
  ClosesAfterResponse_ =
      EndsByClose_ || !CallerKeepsAlive_ || Shared_->CloseAfterResponses;
  // Until its end is written, any close resets the connection, also when the
  // process dies.
  if (EndsByClose_)
    setResetOnClose(true);
  send(renderResponseHead(Head,
                          EndsByClose_ ? "" : "Transfer-Encoding: chunked",
                          ClosesAfterResponse_));
}

void ServerConnection::setResetOnClose(bool Reset) {
  ErrorCode Ignored;
  Socket_.set_option(asio::socket_base::linger(Reset, 0), Ignored);
}

void ServerConnection::streamPiece(TurnNumber Turn, std::string_view Data) {
  if (!isCurrent(Turn) || Data.empty())
    return;
  if (EndsByClose_)
    send(Data);
  else
    send(renderChunk(Data));
}

void ServerConnection::endStream(TurnNumber Turn) {
  if (!isCurrent(Turn))
    return;
  if (!EndsByClose_)
    send(LastChunk);
  EndsByClose_ = false;
  responseComplete();
}

void ServerConnection::abort(TurnNumber Turn) {
  if (!isCurrent(Turn))
    return;
  endTurn();
  if (EndsByClose_)
    return close();
  // Queued bytes are still written, but without its end the response is
  // recognizably incomplete.
  finish();
}

void ServerConnection::onDisconnect(TurnNumber Turn,
                                    std::function<void()> Callback) {
  if (isCurrent(Turn))
    DisconnectHook_ = std::move(Callback);
}

void ServerConnection::responseComplete() {
  // Queuing the response closes the connection if too many bytes are unsent.
  if (State_ != State::Responding)
    return;
  endTurn();
  if (ClosesAfterResponse_)
    finish();
  else
    nextRequest();
}

void ServerConnection::send(std::string_view Bytes) {
  if (State_ == State::Closed)
    return;
  Queued_ += Bytes;
  if (!countUnsent(Writing_.size() + Queued_.size())) {
    reportUnread();
    return callerDisconnected();
  }
  if (Writing_.empty())
    write();
}

bool ServerConnection::countUnsent(std::size_t Bytes) {
  Shared_->UnsentSince.try_emplace(this, Shared_->Time.Now());
  while (!Unsent_.set(Bytes)) {
    if (Bytes <= MinUnsentAllowance)
      return true;
    if (Bytes > MaxUnsent || !breakOffUnread())
      return false;
  }
  return true;
}

bool ServerConnection::breakOffUnread() {
  ServerConnection *Slowest = nullptr;
  TimePoint Since = Shared_->Time.Now() - MinUnreadTime;
  for (const auto &[Connection, UnsentSince] : Shared_->UnsentSince) {
    if (Connection == this || UnsentSince > Since ||
        Connection->Unsent_.held() <= MinUnsentAllowance)
      continue;
    Slowest = Connection;
    Since = UnsentSince;
  }
  if (Slowest == nullptr)
    return false;
  Slowest->reportUnread();
  Slowest->callerDisconnected();
  return true;
}

void ServerConnection::reportUnread() {
  if (Shared_->Unread)
    Shared_->Unread({PeerIp_, Writing_.size() + Queued_.size() - Written_,
                     Shared_->Time.Now() - Shared_->UnsentSince.at(this),
                     Shared_->Unsent.held()});
}

void ServerConnection::write() {
  if (Written_ == Writing_.size()) {
    Writing_ = std::exchange(Queued_, {});
    Written_ = 0;
  }
  WriteTimer_.set(Shared_->Limits.IdleTimeout, [this] { writeTimedOut(); });
  Socket_.async_write_some(
      asio::buffer(Writing_) + Written_,
      [Self = shared_from_this()](ErrorCode Error, std::size_t Bytes) {
        Self->onWritten(Error, Bytes);
      });
}

void ServerConnection::writeTimedOut() {
  // If the loop stalled, the completion of a write may be queued behind this
  // timer.
  asio::post(Socket_.get_executor(),
             [Self = shared_from_this(), Writes = Writes_] {
               if (Self->State_ != State::Closed && Self->Writes_ == Writes)
                 Self->callerDisconnected();
             });
}

void ServerConnection::onWritten(ErrorCode Error, std::size_t Bytes) {
  if (State_ == State::Closed)
    return;
  if (Error)
    return callerDisconnected();
  ++Writes_;
  Written_ += Bytes;
  if (Written_ < Writing_.size())
    return write();
  Unsent_.set(Queued_.size());
  if (!Queued_.empty())
    return write();
  // Also releases the memory.
  std::string().swap(Writing_);
  Written_ = 0;
  Shared_->UnsentSince.erase(this);
  WriteTimer_.cancel();
  if (State_ == State::Finishing)
    linger();
}

bool ServerConnection::closeToMakeRoom(bool AlsoReading) {
  bool Closes = (State_ == State::Idle && Buffer_.size() == 0) ||
                (AlsoReading && State_ == State::Reading) ||
                State_ == State::Lingering;
  if (Closes)
    close();
  return Closes;
}

bool ServerConnection::closeIfIdle() {
  bool Idle = State_ == State::Idle && Buffer_.size() == 0;
  if (Idle)
    finish();
  return Idle;
}

void ServerConnection::finish() {
  State_ = State::Finishing;
  StateTimer_.cancel();
  Parser_.reset();
  drainBytes();
  if (State_ == State::Finishing && Writing_.empty())
    linger();
}

void ServerConnection::linger() {
  State_ = State::Lingering;
  if (!CallerKnowsChunks_)
    setResetOnClose(false);
  ErrorCode Ignored;
  Socket_.shutdown(Tcp::socket::shutdown_send, Ignored);
  StateTimer_.set(LingerTime, [this] { close(); });
  read();
}

void ServerConnection::callerDisconnected() {
  auto Self = shared_from_this();
  bool Responding = State_ == State::Responding;
  auto Notify = std::move(DisconnectHook_);
  if (Responding)
    endTurn();
  close();
  // Posted, because this may run on the handler's own stack while it sends a
  // response.
  if (Responding && Notify)
    asio::post(Socket_.get_executor(), std::move(Notify));
}

void ServerConnection::close() {
  State_ = State::Closed;
  StateTimer_.cancel();
  WholeTimer_.cancel();
  WriteTimer_.cancel();
  Parser_.reset();
  Body_.set(0);
  Unsent_.set(0);
  Shared_->UnsentSince.erase(this);
  ErrorCode Ignored;
  Socket_.close(Ignored);
}

} // namespace celerybeam::detail
