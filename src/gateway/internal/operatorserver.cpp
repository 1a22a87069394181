#include "gateway/operatorserver.h"

#include <map>
#include <utility>
#include <vector>

#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include "framework/digest.h"
#include "gateway/errorresponse.h"
#include "gateway/internal/socketaddress.h"
#include "gateway/internal/tlsfiles.h"

namespace celerybeam {

namespace {

constexpr int ListenBacklog = 64;
constexpr std::string_view BearerScheme = "Bearer ";

/// Method and path prefix of a registered handler.
struct RouteKey {
  std::string Method;
  std::string Prefix;
  auto operator<=>(const RouteKey &) const = default;
};

/// Owns a listening socket and closes it unless it is released.
class ListeningSocket {
public:
  explicit ListeningSocket(const SocketAddress &Where)
      : Socket_(
            ::socket(Where.Storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    int Yes = 1;
    ::setsockopt(Socket_, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
    Listens_ = ::bind(Socket_, Where.get(), Where.Size) == 0 &&
               ::listen(Socket_, ListenBacklog) == 0;
  }
  ListeningSocket(const ListeningSocket &) = delete;
  ListeningSocket &operator=(const ListeningSocket &) = delete;
  ~ListeningSocket() {
    if (Socket_ >= 0)
      ::close(Socket_);
  }

  bool listens() const { return Listens_; }
  std::uint16_t port() const { return boundPort(Socket_); }
  int get() const { return Socket_; }
  int release() { return std::exchange(Socket_, -1); }

private:
  int Socket_;
  bool Listens_ = false;
};

std::string toString(const void *Data, std::size_t Size) {
  return Data == nullptr ? std::string()
                         : std::string(static_cast<const char *>(Data), Size);
}

std::string toString(const char *Text) { return Text == nullptr ? "" : Text; }

OperatorRequest requestOf(const _u_request &Raw) {
  OperatorRequest Request;
  Request.Method = toString(Raw.http_verb);
  std::string Target = toString(Raw.http_url);
  auto Question = Target.find('?');
  Request.Path = Target.substr(0, Question);
  if (Question != std::string::npos)
    Request.Query = Target.substr(Question + 1);
  Request.Body = toString(Raw.binary_body, Raw.binary_body_length);
  return Request;
}

} // namespace

OperatorResponse operatorError(const Error &Failure) {
  return {httpStatusOf(Failure.Kind), errorJson(Failure)};
}

class OperatorServer::Impl {
public:
  Impl(OperatorServerOptions Options, std::function<Result<void>()> Ready,
       std::function<std::string()> Metrics);
  ~Impl() { stop(); }

  void handle(RouteKey Key, OperatorHandler Handler) {
    Handlers_[std::move(Key)] = std::move(Handler);
  }
  Result<void> start();
  void stop();
  std::uint16_t port() const { return Port_; }

private:
  static int onRequest(const _u_request *Raw, _u_response *RawResponse,
                       void *Self);
  OperatorResponse respond(const _u_request &Raw) const;
  OperatorResponse dispatch(OperatorRequest Request) const;
  OperatorResponse noHandler(const OperatorRequest &Request) const;
  OperatorResponse readiness() const;
  bool isAuthorized(const _u_request &Raw, const std::string &Path) const;
  Result<void> startInstance(ListeningSocket &Socket);
  std::vector<MHD_OptionItem> listenerOptions(int Socket) const;

  const OperatorServerOptions Options_;
  const std::function<Result<void>()> Ready_;
  std::map<RouteKey, OperatorHandler> Handlers_;
  std::optional<TlsMaterial> Tls_;
  _u_instance Instance_{};
  bool Running_ = false;
  std::uint16_t Port_ = 0;
};

OperatorServer::Impl::Impl(OperatorServerOptions Options,
                           std::function<Result<void>()> Ready,
                           std::function<std::string()> Metrics)
    : Options_(std::move(Options)), Ready_(std::move(Ready)) {
  handle({"GET", "/healthz"}, [](const OperatorRequest &) {
    return OperatorResponse{200, R"({"healthy":true})"};
  });
  handle({"GET", "/readyz"},
         [this](const OperatorRequest &) { return readiness(); });
  handle({"GET", "/metrics"},
         [Metrics = std::move(Metrics)](const OperatorRequest &) {
           return OperatorResponse{200, Metrics(), "text/plain; version=0.0.4"};
         });
}

OperatorResponse OperatorServer::Impl::readiness() const {
  if (auto Ready = Ready_(); !Ready)
    return operatorError(Ready.error());
  return {200, R"({"ready":true})"};
}

std::vector<MHD_OptionItem>
OperatorServer::Impl::listenerOptions(int Socket) const {
  std::vector<MHD_OptionItem> Items = {
      {MHD_OPTION_LISTEN_SOCKET, Socket, nullptr},
      {MHD_OPTION_CONNECTION_LIMIT,
       static_cast<std::intptr_t>(Options_.ConnectionLimit), nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT,
       static_cast<std::intptr_t>(Options_.Timeout.count()), nullptr},
      {MHD_OPTION_STRICT_FOR_CLIENT, 1, nullptr},
      {MHD_OPTION_NOTIFY_COMPLETED,
       reinterpret_cast<std::intptr_t>(&mhd_request_completed), nullptr},
      {MHD_OPTION_URI_LOG_CALLBACK,
       reinterpret_cast<std::intptr_t>(&ulfius_uri_logger), nullptr},
  };
  if (Tls_) {
    auto *Certificate = const_cast<char *>(Tls_->Certificate.data());
    auto *Key = const_cast<char *>(Tls_->Key.data());
    Items.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, Certificate});
    Items.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, Key});
  }
  Items.push_back({MHD_OPTION_END, 0, nullptr});
  return Items;
}

Result<void> OperatorServer::Impl::start() {
  auto Where = parseSocketAddress(Options_.Bind);
  if (!Where)
    return tl::unexpected<Error>(Where.error());
  auto Tls = readTlsFiles(Options_.Tls);
  if (!Tls)
    return tl::unexpected<Error>(Tls.error());
  Tls_ = std::move(*Tls);
  // ulfius does not accept port 0, so the socket is bound here.
  ListeningSocket Socket(*Where);
  if (!Socket.listens())
    return makeError(ErrorKind::InvalidSettings,
                     "Cannot listen for operators' requests at " +
                         Options_.Bind.str() +
                         "; choose an address of this host and a free port.");
  return startInstance(Socket);
}

Result<void> OperatorServer::Impl::startInstance(ListeningSocket &Socket) {
  Port_ = Socket.port();
  ulfius_init_instance(&Instance_, Port_, nullptr, nullptr);
  // ulfius truncates larger bodies. One byte above the limit shows that a
  // body is too large.
  Instance_.max_post_body_size = Options_.BodyLimit + 1;
  Instance_.check_utf8 = 0;
  ulfius_set_default_endpoint(&Instance_, &Impl::onRequest, this);
  auto Items = listenerOptions(Socket.get());
  unsigned Flags =
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD;
  if (Tls_)
    Flags |= MHD_USE_TLS;
  int Started =
      ulfius_start_framework_with_mhd_options(&Instance_, Flags, Items.data());
  if (Started != U_OK) {
    ulfius_clean_instance(&Instance_);
    return makeError(ErrorKind::InvalidSettings,
                     "The operators' listener does not start; check its TLS "
                     "files.");
  }
  Socket.release();
  Running_ = true;
  return {};
}

void OperatorServer::Impl::stop() {
  if (!std::exchange(Running_, false))
    return;
  ulfius_stop_framework(&Instance_);
  ulfius_clean_instance(&Instance_);
}

int OperatorServer::Impl::onRequest(const _u_request *Raw,
                                    _u_response *RawResponse, void *Self) {
  OperatorResponse Response = static_cast<const Impl *>(Self)->respond(*Raw);
  ulfius_set_binary_body_response(RawResponse,
                                  static_cast<unsigned>(Response.Status),
                                  Response.Body.data(), Response.Body.size());
  u_map_put(RawResponse->map_header, "Content-Type",
            Response.ContentType.c_str());
  return U_CALLBACK_COMPLETE;
}

OperatorResponse OperatorServer::Impl::respond(const _u_request &Raw) const {
  if (Raw.binary_body_length > Options_.BodyLimit)
    return operatorError(
        {ErrorKind::BodyTooLarge, "The body is larger than " +
                                      std::to_string(Options_.BodyLimit) +
                                      " bytes; send a shorter one."});
  OperatorRequest Request = requestOf(Raw);
  if (!isAuthorized(Raw, Request.Path))
    return operatorError({ErrorKind::Unauthorized,
                          "The operators' token is missing or wrong; send it "
                          "as Authorization: Bearer <token>."});
  return dispatch(std::move(Request));
}

bool OperatorServer::Impl::isAuthorized(const _u_request &Raw,
                                        const std::string &Path) const {
  if (Options_.BearerToken.empty() || Path == "/healthz" || Path == "/readyz")
    return true;
  std::string Sent = toString(u_map_get_case(Raw.map_header, "Authorization"));
  return equalConstantTime(Sent,
                           std::string(BearerScheme) + Options_.BearerToken);
}

OperatorResponse OperatorServer::Impl::dispatch(OperatorRequest Request) const {
  const std::pair<const RouteKey, OperatorHandler> *Best = nullptr;
  for (const auto &Entry : Handlers_) {
    const RouteKey &Key = Entry.first;
    bool Matches =
        Key.Method == Request.Method && Request.Path.starts_with(Key.Prefix);
    if (Matches &&
        (Best == nullptr || Key.Prefix.size() > Best->first.Prefix.size()))
      Best = &Entry;
  }
  if (Best == nullptr)
    return noHandler(Request);
  Request.Rest = Request.Path.substr(Best->first.Prefix.size());
  return Best->second(Request);
}

OperatorResponse
OperatorServer::Impl::noHandler(const OperatorRequest &Request) const {
  constexpr int MethodNotAllowed = 405;
  for (const auto &[Key, Handler] : Handlers_) {
    if (Request.Path.starts_with(Key.Prefix))
      return {MethodNotAllowed, errorJson({ErrorKind::BadRequest,
                                           "This path takes " + Key.Method +
                                               "; use that method."})};
  }
  return operatorError({ErrorKind::NotFound,
                        "There is no such path; celerybeamctl --help lists "
                        "what can be asked."});
}

OperatorServer::OperatorServer(OperatorServerOptions Options,
                               std::function<Result<void>()> Ready,
                               std::function<std::string()> Metrics)
    : Impl_(std::make_unique<Impl>(std::move(Options), std::move(Ready),
                                   std::move(Metrics))) {}

OperatorServer::~OperatorServer() = default;

void OperatorServer::handle(const std::string &Method,
                            const std::string &Prefix,
                            OperatorHandler Handler) {
  Impl_->handle({Method, Prefix}, std::move(Handler));
}

Result<void> OperatorServer::start() { return Impl_->start(); }

std::uint16_t OperatorServer::port() const { return Impl_->port(); }

void OperatorServer::stop() { Impl_->stop(); }

} // namespace celerybeam
