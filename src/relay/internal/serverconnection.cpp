#include "relay/internal/serverconnection.h"

#include <algorithm>

#include "relay/internal/sockets.h"

namespace celerybeam::detail {

namespace {

constexpr std::size_t ReadBytes = 4096;
/// Bytes that may follow a request while it is answered.
constexpr std::size_t MaxPipelined = 65536;
/// Bytes of an answer that may wait for a caller that does not read.
constexpr std::size_t MaxUnsent = 4U << 20U;
/// How long a closed connection drains what the caller still sends, so that a
/// reset does not destroy the answer on its way.
constexpr Duration Linger = std::chrono::milliseconds(500);
/// Unacknowledged answers for longer than this mean that the caller is gone.
constexpr Duration CallerAckTimeout = std::chrono::seconds(8);

} // namespace

ServerConnection::ServerConnection(Tcp::socket Socket,
                                   std::shared_ptr<ServerShared> Shared)
    : Socket_(std::move(Socket)), Shared_(std::move(Shared)),
      Timer_(Socket_.get_executor()) {
  ++Shared_->Open;
}

ServerConnection::~ServerConnection() { --Shared_->Open; }

void ServerConnection::start() {
  setConnectionOptions(Socket_, CallerAckTimeout);
  nextRequest();
}

void ServerConnection::nextRequest() {
  Stage_ = Stage::Idle;
  Parser_ = std::make_unique<Parser>();
  Parser_->header_limit(Shared_->Limits.HeaderBytes);
  Parser_->body_limit(Shared_->Limits.BodyBytes);
  Parser_->eager(true);
  SentContinue_ = false;
  Gone_ = nullptr;
  armTimer(Shared_->Limits.IdleTimeout);
  if (Buffer_.size() > 0)
    return parse();
  // An idle connection keeps no buffer.
  if (!ReadPending_)
    Buffer_ = {};
  read();
}

void ServerConnection::armTimer(Duration D) {
  Timer_.expires_after(D);
  Timer_.async_wait([Weak = weak_from_this()](ErrorCode Error) {
    auto Self = Weak.lock();
    if (Self && !Error)
      Self->timedOut();
  });
}

void ServerConnection::timedOut() {
  if (Stage_ == Stage::Idle)
    return close();
  if (Stage_ == Stage::Reading)
    refuse(408, "the request did not arrive in time"); // NOLINT: HTTP status
}

void ServerConnection::read() {
  if (ReadPending_ || Stage_ == Stage::Closed)
    return;
  ReadPending_ = true;
  Socket_.async_read_some(
      Buffer_.prepare(ReadBytes),
      [Self = shared_from_this()](ErrorCode Error, std::size_t Bytes) {
        Self->ReadPending_ = false;
        Self->onRead(Error, Bytes);
      });
}

void ServerConnection::onRead(ErrorCode Error, std::size_t Bytes) {
  if (Stage_ == Stage::Closed)
    return;
  if (Error) {
    if (Stage_ == Stage::Answering)
      return callerGone();
    return close();
  }
  Buffer_.commit(Bytes);
  if (Stage_ == Stage::Answering) {
    if (Buffer_.size() < MaxPipelined)
      read();
    return;
  }
  parse();
}

void ServerConnection::parse() {
  if (Stage_ == Stage::Idle) {
    Stage_ = Stage::Reading;
    armTimer(Shared_->Limits.HeaderTimeout);
  }
  ErrorCode Error;
  while (Buffer_.size() > 0 && !Parser_->is_done()) {
    std::size_t Used = Parser_->put(Buffer_.data(), Error);
    Buffer_.consume(Used);
    if (Error == http::error::need_more)
      break;
    if (Error == http::error::header_limit)
      return refuse(431, "the head is too long"); // NOLINT: HTTP status
    if (Error == http::error::body_limit)
      return refuse(413, "the body is too long"); // NOLINT: HTTP status
    if (Error)
      return refuse(400, "the request is malformed"); // NOLINT: HTTP status
    if (Used == 0)
      break;
  }
  if (Parser_->is_header_done()) {
    if (const char *Problem = framingProblem())
      return refuse(400, Problem); // NOLINT: HTTP status
    if (!Parser_->is_done()) {
      armTimer(Shared_->Limits.IdleTimeout);
      if (!SentContinue_ && Parser_->get().count(http::field::expect) > 0) {
        SentContinue_ = true;
        send("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
  }
  if (Parser_->is_done())
    return requestComplete();
  read();
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

void ServerConnection::requestComplete() {
  Stage_ = Stage::Answering;
  Timer_.cancel();
  const auto &Message = Parser_->get();
  CallerKeeps_ = Message.keep_alive();
  ClosesAfter_ = false;
  HttpServerRequest Request;
  Request.Arrived = Shared_->Time.Now();
  Request.Head = headRead();
  HeadMethod_ = Message.method() == http::verb::head;
  Request.Body =
      std::make_shared<const std::string>(std::move(Parser_->get().body()));
  Parser_.reset();
  ++Shared_->InFlight;
  // Notices when the caller closes the connection.
  if (Buffer_.size() < MaxPipelined)
    read();
  Shared_->Handle(std::move(Request), shared_from_this());
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

void ServerConnection::tellRefused(unsigned Status, const char *Why) const {
  if (!Shared_->Refused)
    return;
  ErrorCode Ignored;
  auto Peer = Socket_.remote_endpoint(Ignored);
  std::string From =
      Ignored ? std::string()
              : Peer.address().to_string() + ":" + std::to_string(Peer.port());
  Shared_->Refused(
      {Status, Why, std::move(From),
       Parser_->is_header_done() ? headRead() : HttpRequestHead()});
}

void ServerConnection::refuse(unsigned Status, const char *Why) {
  tellRefused(Status, Why);
  Stage_ = Stage::Answering;
  Timer_.cancel();
  ++Shared_->InFlight;
  CallerKeeps_ = false;
  HttpResponseHead Head{Status, {{"Content-Type", "text/plain"}}};
  respond(std::move(Head), std::string(Why) + "\n");
}

void ServerConnection::respond(HttpResponseHead Head, std::string_view Body) {
  if (Stage_ != Stage::Answering)
    return;
  ClosesAfter_ = !CallerKeeps_ || Shared_->CloseAfterAnswers;
  std::string Out = renderResponseHead(
      Head, "Content-Length: " + std::to_string(Body.size()), ClosesAfter_);
  if (!HeadMethod_)
    Out += Body;
  send(Out);
  answerComplete();
}

void ServerConnection::beginStream(HttpResponseHead Head) {
  ClosesAfter_ = !CallerKeeps_ || Shared_->CloseAfterAnswers;
  send(renderResponseHead(Head, "Transfer-Encoding: chunked", ClosesAfter_));
}

void ServerConnection::streamPiece(std::string_view Data) {
  if (!Data.empty())
    send(renderChunk(Data));
}

void ServerConnection::endStream() {
  send(LastChunk);
  answerComplete();
}

void ServerConnection::abort() {
  if (Stage_ == Stage::Answering)
    --Shared_->InFlight;
  Gone_ = nullptr;
  close();
}

void ServerConnection::onGone(std::function<void()> Gone) {
  Gone_ = std::move(Gone);
}

void ServerConnection::send(std::string_view Bytes) {
  if (Stage_ == Stage::Closed)
    return;
  Queued_ += Bytes;
  if (Queued_.size() > MaxUnsent)
    return callerGone();
  if (Writing_.empty())
    write();
}

void ServerConnection::write() {
  Writing_ = std::exchange(Queued_, {});
  asio::async_write(Socket_, asio::buffer(Writing_),
                    [Self = shared_from_this()](ErrorCode Error, std::size_t) {
                      Self->Writing_.clear();
                      if (Self->Stage_ == Stage::Closed)
                        return;
                      if (Error && Self->Stage_ == Stage::Answering)
                        return Self->callerGone();
                      if (Error)
                        return Self->close();
                      if (!Self->Queued_.empty())
                        return Self->write();
                      if (Self->Stage_ == Stage::Idle && Self->ClosesAfter_)
                        Self->close();
                    });
}

void ServerConnection::answerComplete() {
  if (Stage_ != Stage::Answering)
    return;
  --Shared_->InFlight;
  Gone_ = nullptr;
  if (!ClosesAfter_)
    return nextRequest();
  // Closed once the answer is written.
  Stage_ = Stage::Idle;
  if (Writing_.empty())
    close();
}

void ServerConnection::callerGone() {
  bool Answering = Stage_ == Stage::Answering;
  auto Tell = std::exchange(Gone_, nullptr);
  if (Answering)
    --Shared_->InFlight;
  Stage_ = Stage::Closed;
  Timer_.cancel();
  ErrorCode Ignored;
  Socket_.close(Ignored);
  if (Answering && Tell)
    Tell();
}

void ServerConnection::closeIfIdle() {
  if (Stage_ == Stage::Idle && Writing_.empty())
    close();
}

void ServerConnection::close() {
  if (Stage_ == Stage::Closed)
    return;
  Stage_ = Stage::Closed;
  Timer_.cancel();
  ErrorCode Ignored;
  Socket_.shutdown(Tcp::socket::shutdown_send, Ignored);
  // The socket closes with the last reference, after the linger.
  Timer_.expires_after(Linger);
  Timer_.async_wait([Self = shared_from_this()](ErrorCode) {
    ErrorCode Ignored2;
    Self->Socket_.close(Ignored2);
  });
}

} // namespace celerybeam::detail
