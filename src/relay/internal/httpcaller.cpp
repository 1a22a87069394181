#include "relay/httpcaller.h"

#include <array>
#include <charconv>
#include <limits>

#include "framework/httpstatus.h"
#include "relay/internal/channelpool.h"
#include "relay/internal/growingbody.h"
#include "relay/internal/sockets.h"
#include "relay/timer.h"

namespace celerybeam {

namespace {

using namespace detail;

constexpr std::size_t ReadBytes = 4096;
/// Limit of a head, of chunk extensions and of trailer fields, in bytes.
constexpr std::size_t MaxHeadBytes = 65536;
/// Maximum number of interim responses and responses to earlier requests that
/// one call skips.
constexpr unsigned MaxSkipped = 4;
/// A pooled connection is dropped this long before the other end would close
/// it.
constexpr Duration CloseMargin = std::chrono::milliseconds(700);

/// A parser that keeps the head as it was before the fields of a trailer were
/// added to it.
class Parser : public http::response_parser<GrowingBody> {
public:
  const HttpResponseHead &head() const { return Head_; }

private:
  void on_header_impl(ErrorCode &Error) override {
    Error = {};
    Head_.Status = get().result_int();
    for (const auto &Field : get())
      Head_.Fields.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
  }

  HttpResponseHead Head_;
};

/// The keep-alive time that the response states; unset if it states none.
std::optional<Duration> keepAliveOf(const HttpResponseHead &Head) {
  std::string_view Text =
      findField(Head.Fields, "Keep-Alive").value_or(std::string_view());
  auto At = Text.find("timeout=");
  if (At == std::string_view::npos)
    return std::nullopt;
  constexpr std::size_t NameLength = std::string_view("timeout=").size();
  unsigned Seconds = 0;
  const char *Begin = Text.data() + At + NameLength;
  std::from_chars(Begin, Text.data() + Text.size(), Seconds);
  return std::chrono::seconds(Seconds);
}

PeerClose closeOf(const ErrorCode &Error) {
  if (Error == asio::error::eof)
    return PeerClose::Closed;
  return Error == asio::error::timed_out ? PeerClose::Silent : PeerClose::Reset;
}

ResponseFraming framingOf(const Parser &Response) {
  if (Response.chunked())
    return ResponseFraming::Chunks;
  return Response.need_eof() ? ResponseFraming::Close : ResponseFraming::Length;
}

class Call : public HttpCall, public std::enable_shared_from_this<Call> {
public:
  Call(EventLoop &Loop, std::shared_ptr<ChannelPool> Pool,
       std::uint64_t &ConnectionsMade, HttpCallRequest Request,
       HttpCallHooks Hooks)
      : Context_(Loop.context()), Pool_(std::move(Pool)),
        ConnectionsMade_(ConnectionsMade), Request_(std::move(Request)),
        Hooks_(std::move(Hooks)), ConnectTimer_(Loop), WholeTimer_(Loop),
        SilenceTimer_(Loop) {}

  void start() {
    if (Request_.Timeout)
      endIn(WholeTimer_, *Request_.Timeout, HttpCallEnd::TimedOut);
    watchSilence(Request_.LongPoll);
    Channel_ = Pool_->take(Request_.To, Request_.ReuseIdleAtMost);
    Reused_ = Channel_ != nullptr;
    // BeforeSend must never run on this stack.
    if (Reused_)
      return asio::post(
          Context_, [Self = shared_from_this()] { Self->useIdleConnection(); });
    connect();
  }

  void cancel() override {
    Hooks_ = {};
    close();
  }

  bool isReused() const override { return Reused_ || SkippedOther_; }
  const ResponseProgress &progress() const override { return Progress_; }

private:
  /// Determines what may happen next. Each handler checks it, because the
  /// handler may have been queued in an earlier state.
  enum class State {
    /// Nothing has been sent. Only in this state can the call end as
    /// NotConnected.
    Connecting,
    /// The request is being sent or was received by the other end.
    Sent,
    /// The owner was notified of the end or has cancelled the call.
    Ended,
  };

  void endIn(Timer &T, Duration Delay, HttpCallEnd End) {
    T.set(Delay, [this, End] {
      auto Self = shared_from_this();
      finish(End);
    });
  }

  void watchSilence(Duration Extra = {}) {
    if (Request_.SilenceTimeout)
      endIn(SilenceTimer_, *Request_.SilenceTimeout + Extra,
            HttpCallEnd::TimedOut);
  }

  void useIdleConnection() {
    if (State_ != State::Connecting)
      return;
    // Data or a close may have arrived since the connection was taken from the
    // pool.
    if (isOpenAndIdle(Channel_->Socket))
      return send();
    Reused_ = false;
    connect();
  }

  void connect() {
    auto To = parseEndpoint(Request_.To);
    Channel_ = std::make_unique<Channel>(Context_);
    if (!To) {
      asio::post(Context_, [Self = shared_from_this()] {
        Self->finish(HttpCallEnd::NotConnected);
      });
      return;
    }
    ++ConnectionsMade_;
    endIn(ConnectTimer_, Request_.ConnectTimeout, HttpCallEnd::NotConnected);
    Channel_->Socket.async_connect(
        *To, [Self = shared_from_this()](ErrorCode Error) {
          if (Self->State_ != State::Connecting)
            return;
          if (Error)
            return Self->finish(HttpCallEnd::NotConnected);
          setConnectionOptions(Self->Channel_->Socket, HttpCaller::AckTimeout);
          Self->send();
        });
  }

  void send() {
    ConnectTimer_.cancel();
    if (Hooks_.BeforeSend && !Hooks_.BeforeSend(Request_.Head))
      return finish(HttpCallEnd::NotConnected);
    if (State_ != State::Connecting)
      return;
    State_ = State::Sent;
    std::size_t Length = Request_.Body ? Request_.Body->size() : 0;
    HeadText_ = renderRequestHead(Request_.Head, Length);
    std::array<asio::const_buffer, 2> Parts = {asio::buffer(HeadText_)};
    if (Length > 0)
      Parts[1] = asio::buffer(*Request_.Body);
    startParser();
    asio::async_write(Channel_->Socket, Parts,
                      [Self = shared_from_this()](ErrorCode Error, size_t) {
                        Self->Written_ = !Error;
                        // A response may still be received. The write has taken
                        // the socket's error: the read finds a plain EOF.
                        Self->notePeerClose(Error);
                      });
    read();
  }

  /// The first error tells how the other end left; later ones follow from it.
  void notePeerClose(ErrorCode Error) {
    if (Error && Progress_.Peer == PeerClose::None && State_ == State::Sent)
      Progress_.Peer = closeOf(Error);
  }

  /// Whether the other end has the whole request, so that it may have ended the
  /// connection because its response was complete. Its EOF acknowledges all
  /// that it received before.
  bool requestReceived() const {
    return Written_ && unacknowledgedBytes(Channel_->Socket) == 0;
  }

  /// Responses to HEAD requests have a length and no body. Without the method
  /// of its request, the end of a response is unknown; so no response is
  /// skipped for such a request, and its connection serves no other call.
  bool isHead() const { return Request_.Head.Method == "HEAD"; }

  void startParser() {
    Parser_ = std::make_unique<Parser>();
    Parser_->header_limit(MaxHeadBytes);
    // Beast 1.74 treats any length as above an unset limit, and reports an
    // error when a head ends exactly at the end of a read.
    Parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    Parser_->eager(true);
    Parser_->skip(isHead());
    HeadSeen_ = false;
    Skipping_ = false;
  }

  void read() {
    Channel_->Socket.async_read_some(
        Channel_->Buffer.prepare(ReadBytes),
        [Self = shared_from_this()](ErrorCode Error, std::size_t Bytes) {
          if (Self->State_ != State::Sent)
            return;
          Self->Channel_->Buffer.commit(Bytes);
          Self->watchSilence();
          Self->notePeerClose(Error);
          Self->parse(Error);
        });
  }

  void parse(ErrorCode ReadError) {
    ErrorCode Error;
    auto &Buffer = Channel_->Buffer;
    while (Buffer.size() > 0 && !Parser_->is_done()) {
      std::size_t Used = Parser_->put(Buffer.data(), Error);
      Buffer.consume(Used);
      if (Error && Error != http::error::need_more)
        return finish(HttpCallEnd::Broken);
      if (!takeHead())
        return;
      takeBody();
      if (State_ == State::Ended)
        return;
      if (Error == http::error::need_more || Used == 0)
        break;
    }
    if (!Parser_->is_done() && ReadError == asio::error::eof &&
        Parser_->got_some()) {
      Parser_->put_eof(Error);
      if (Error || !requestReceived())
        return finish(HttpCallEnd::Broken);
    }
    if (Parser_->is_done())
      return responseComplete(ReadError);
    if (ReadError || Buffer.size() > MaxHeadBytes)
      return finish(HttpCallEnd::Broken);
    read();
  }

  /// \return false when the call has ended.
  bool takeHead() {
    if (HeadSeen_ || !Parser_->is_header_done())
      return true;
    HeadSeen_ = true;
    StatusKind Kind = statusKindOf(Parser_->get().result_int());
    if (Kind == StatusKind::Invalid) {
      finish(HttpCallEnd::Broken);
      return false;
    }
    if (Kind == StatusKind::Interim) {
      Skipping_ = true;
      return true;
    }
    Progress_.Framing = framingOf(*Parser_);
    if (!Hooks_.Head)
      return true;
    switch (Hooks_.Head(Parser_->head())) {
    case HeadVerdict::Accept:
      return State_ != State::Ended;
    case HeadVerdict::Skip:
      if (isHead())
        break;
      Skipping_ = true;
      SkippedOther_ = true;
      Progress_.Framing.reset();
      return State_ != State::Ended;
    case HeadVerdict::Invalid:
      break;
    }
    finish(HttpCallEnd::Broken);
    return false;
  }

  void takeBody() {
    std::string &Body = Parser_->get().body();
    if (Body.empty())
      return;
    if (!Skipping_)
      Progress_.BodyBytes += Body.size();
    bool Continue = Skipping_ || !Hooks_.Body || Hooks_.Body(Body);
    Body.clear();
    if (!Continue)
      finish(HttpCallEnd::Broken);
  }

  void responseComplete(ErrorCode ReadError) {
    bool KeepAlive = Parser_->keep_alive() && !ReadError;
    if (Skipping_) {
      if (!KeepAlive || ++Skipped_ > MaxSkipped)
        return finish(HttpCallEnd::Broken);
      startParser();
      return parse({});
    }
    // Bytes after the response belong to no request; the connection is then not
    // reused.
    if (KeepAlive && Written_ && !isHead() && Channel_->Buffer.size() == 0) {
      if (auto KeepAliveTime = keepAliveOf(Parser_->head()))
        Channel_->KeepAliveFor = *KeepAliveTime - CloseMargin;
      Pool_->put(Request_.To, std::move(Channel_));
    }
    finish(Progress_.Framing == ResponseFraming::Close ? HttpCallEnd::Unmarked
                                                       : HttpCallEnd::Complete);
  }

  void finish(HttpCallEnd End) {
    if (State_ == State::Ended)
      return;
    close();
    auto Notify = std::move(Hooks_.End);
    Hooks_ = {};
    if (Notify)
      Notify(End);
  }

  void close() {
    State_ = State::Ended;
    ConnectTimer_.cancel();
    WholeTimer_.cancel();
    SilenceTimer_.cancel();
    if (Channel_) {
      ErrorCode Ignored;
      Channel_->Socket.close(Ignored);
    }
  }

  asio::io_context &Context_;
  std::shared_ptr<ChannelPool> Pool_;
  std::uint64_t &ConnectionsMade_;
  HttpCallRequest Request_;
  HttpCallHooks Hooks_;
  Timer ConnectTimer_;
  Timer WholeTimer_;
  Timer SilenceTimer_;
  State State_ = State::Connecting;
  std::unique_ptr<Channel> Channel_;
  std::unique_ptr<Parser> Parser_;
  std::string HeadText_;
  bool Written_ = false;
  bool HeadSeen_ = false;
  bool Skipping_ = false;
  bool Reused_ = false;
  /// Whether a response to another request was skipped.
  bool SkippedOther_ = false;
  unsigned Skipped_ = 0;
  ResponseProgress Progress_;
};

} // namespace

bool isCallable(const Address &To) {
  // A zone id may hold any characters, which then go into header fields.
  bool Plain = To.str().find('%') == std::string::npos;
  auto Where = parseEndpoint(To);
  return Plain && Where && Where->port() != 0 &&
         !Where->address().is_unspecified() && !Where->address().is_multicast();
}

class HttpCaller::Impl {
public:
  explicit Impl(EventLoop &Loop)
      : Loop_(Loop),
        Pool_(std::make_shared<detail::ChannelPool>(Loop.runtime())) {}

  EventLoop &Loop_;
  std::shared_ptr<detail::ChannelPool> Pool_;
  std::uint64_t ConnectionsMade_ = 0;
};

HttpCaller::HttpCaller(EventLoop &Loop) : Impl_(std::make_shared<Impl>(Loop)) {}
HttpCaller::~HttpCaller() = default;

std::shared_ptr<HttpCall> HttpCaller::call(HttpCallRequest Request,
                                           HttpCallHooks Hooks) {
  auto Started = std::make_shared<Call>(Impl_->Loop_, Impl_->Pool_,
                                        Impl_->ConnectionsMade_,
                                        std::move(Request), std::move(Hooks));
  Started->start();
  return Started;
}

std::uint64_t HttpCaller::connectionsMade() const {
  return Impl_->ConnectionsMade_;
}
void HttpCaller::tick() { Impl_->Pool_->dropOld(); }

} // namespace celerybeam
