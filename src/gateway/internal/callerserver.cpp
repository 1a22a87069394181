#include "gateway/callerserver.h"

#include <optional>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include "gateway/internal/connectionwatch.h"
#include "gateway/internal/servercontext.h"
#include "gateway/internal/socketaddress.h"
#include "gateway/internal/tlsfiles.h"

namespace celerybeam {

namespace {

/// Connections above the limit that are still accepted, to receive an error
/// response that says that there are too many connections.
constexpr unsigned ConnectionsToRefuse = 64;
/// Bytes for the library's own data besides a head of maximum size.
constexpr std::size_t PoolOverhead = std::size_t{32} * 1024;
constexpr unsigned ListenBacklog = 1024;
constexpr std::chrono::milliseconds AbortInterval{20};
constexpr std::chrono::milliseconds ConnectionRetryAfter{1000};

using ConnectionHandle = std::shared_ptr<CallerConnection>;

CallerConnection *connectionOf(MHD_Connection *Raw) {
  const auto *Info =
      MHD_get_connection_info(Raw, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  if (Info == nullptr || Info->socket_context == nullptr)
    return nullptr;
  return static_cast<ConnectionHandle *>(Info->socket_context)->get();
}

void *onRequestLine(void * /*Server*/, const char *Target,
                    MHD_Connection *Raw) {
  CallerConnection *Connection = connectionOf(Raw);
  if (Connection != nullptr)
    Connection->beginRequest(Target);
  return Connection;
}

MHD_Result onRequest(void * /*Server*/, MHD_Connection *Raw,
                     const char * /*Path*/, const char *Method,
                     const char * /*Version*/, const char *Data,
                     std::size_t *Size, void ** /*Request*/) {
  CallerConnection *Connection = connectionOf(Raw);
  return Connection == nullptr ? MHD_NO
                               : Connection->handle(Method, Data, Size);
}

void onRequestEnd(void * /*Server*/, MHD_Connection *Raw, void ** /*Request*/,
                  MHD_RequestTerminationCode Code) {
  CallerConnection *Connection = connectionOf(Raw);
  if (Connection != nullptr)
    Connection->endRequest(Code);
}

/// Keeps percent-encoding in paths, as it was sent.
std::size_t keepEscapes(void * /*Server*/, MHD_Connection * /*Raw*/,
                        char *Text) {
  return std::char_traits<char>::length(Text);
}

void ignoreLog(void * /*Server*/, const char * /*Format*/, va_list /*List*/) {}

} // namespace

class CallerServer::Impl {
public:
  Impl(CallerServerOptions Options, CallerHandler Handler)
      : Context_(std::move(Options), std::move(Handler)),
        Watch_(Context_.Options.LingerTimeout) {}

  Result<void> start();
  std::size_t stop(std::chrono::milliseconds Grace);
  std::uint16_t port() const { return Port_; }
  const ServerContext &context() const { return Context_; }

private:
  static void onConnection(void *Self, MHD_Connection *Raw, void **Handle,
                           MHD_ConnectionNotificationCode Code);
  void opened(MHD_Connection *Raw, void **Handle);
  void closed(void **Handle);
  std::optional<Error> refusalFor(const std::string &Ip) const;
  std::vector<MHD_OptionItem> options();
  Result<unsigned> addTls(std::vector<MHD_OptionItem> &Items);
  std::size_t abortRemaining();

  ServerContext Context_;
  ConnectionWatch Watch_;
  SocketAddress BindAddress_;
  std::optional<TlsMaterial> Tls_;
  MHD_Daemon *Daemon_ = nullptr;
  std::uint16_t Port_ = 0;
};

std::vector<MHD_OptionItem> CallerServer::Impl::options() {
  const CallerServerOptions &O = Context_.Options;
  auto Pool = static_cast<std::intptr_t>(2 * O.HeaderLimit + PoolOverhead);
  std::intptr_t Limit = std::intptr_t{O.ConnectionLimit} + ConnectionsToRefuse;
  auto Timeout = static_cast<std::intptr_t>(O.SendTimeout.count());
  return {
      {MHD_OPTION_SOCK_ADDR, 0, &BindAddress_.Storage},
      {MHD_OPTION_THREAD_POOL_SIZE, static_cast<std::intptr_t>(O.Threads),
       nullptr},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT, Pool, nullptr},
      {MHD_OPTION_CONNECTION_LIMIT, Limit, nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT, Timeout, nullptr},
      {MHD_OPTION_LISTEN_BACKLOG_SIZE, ListenBacklog, nullptr},
      {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
      {MHD_OPTION_STRICT_FOR_CLIENT, 1, nullptr},
      {MHD_OPTION_NOTIFY_CONNECTION,
       reinterpret_cast<std::intptr_t>(&Impl::onConnection), this},
      {MHD_OPTION_NOTIFY_COMPLETED,
       reinterpret_cast<std::intptr_t>(&onRequestEnd), this},
      {MHD_OPTION_URI_LOG_CALLBACK,
       reinterpret_cast<std::intptr_t>(&onRequestLine), this},
      {MHD_OPTION_UNESCAPE_CALLBACK,
       reinterpret_cast<std::intptr_t>(&keepEscapes), this},
  };
}

Result<unsigned>
CallerServer::Impl::addTls(std::vector<MHD_OptionItem> &Items) {
  auto Tls = readTlsFiles(Context_.Options.Tls);
  if (!Tls)
    return tl::unexpected<Error>(Tls.error());
  Tls_ = std::move(*Tls);
  if (!Tls_)
    return 0U;
  Items.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, Tls_->Certificate.data()});
  Items.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, Tls_->Key.data()});
  return static_cast<unsigned>(MHD_USE_TLS);
}

Result<void> CallerServer::Impl::start() {
  auto Where = parseSocketAddress(Context_.Options.Bind);
  if (!Where)
    return tl::unexpected<Error>(Where.error());
  BindAddress_ = *Where;
  auto Items = options();
  auto TlsFlag = addTls(Items);
  if (!TlsFlag)
    return tl::unexpected<Error>(TlsFlag.error());
  Items.push_back({MHD_OPTION_END, 0, nullptr});
  if (auto Watching = Watch_.start(); !Watching)
    return Watching;
  unsigned Flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
                   MHD_USE_ERROR_LOG | *TlsFlag;
  if (BindAddress_.isV6())
    Flags |= MHD_USE_IPv6;
  Daemon_ =
      MHD_start_daemon(Flags, BindAddress_.Port, nullptr, nullptr, &onRequest,
                       this, MHD_OPTION_EXTERNAL_LOGGER, &ignoreLog, nullptr,
                       MHD_OPTION_ARRAY, Items.data(), MHD_OPTION_END);
  if (Daemon_ == nullptr)
    return makeError(ErrorKind::InvalidSettings,
                     "Cannot listen for callers' requests at " +
                         Context_.Options.Bind.str() +
                         "; choose an address of this host and a free port, "
                         "and check the TLS files.");
  Port_ = MHD_get_daemon_info(Daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
  return {};
}

void CallerServer::Impl::onConnection(void *Self, MHD_Connection *Raw,
                                      void **Handle,
                                      MHD_ConnectionNotificationCode Code) {
  auto *Server = static_cast<Impl *>(Self);
  if (Code == MHD_CONNECTION_NOTIFY_STARTED)
    Server->opened(Raw, Handle);
  else
    Server->closed(Handle);
}

std::optional<Error>
CallerServer::Impl::refusalFor(const std::string &Ip) const {
  if (Watch_.size() >= Context_.Options.ConnectionLimit)
    return Error{ErrorKind::Overloaded,
                 "This entry host has too many connections; use another one "
                 "from /v1/entries or keep connections open for reuse.",
                 ConnectionRetryAfter};
  if (Watch_.countOf(Ip) >= Context_.Options.ConnectionLimitPerIp)
    return Error{ErrorKind::RateLimited,
                 "Too many connections from this IP number; send several "
                 "requests over one connection.",
                 ConnectionRetryAfter};
  return std::nullopt;
}

void CallerServer::Impl::opened(MHD_Connection *Raw, void **Handle) {
  const auto *Socket =
      MHD_get_connection_info(Raw, MHD_CONNECTION_INFO_CONNECTION_FD);
  int Descriptor = Socket->connect_fd;
  const auto *Peer =
      MHD_get_connection_info(Raw, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  // Without this the kernel's buffer grows to megabytes for a slow caller.
  auto SendBuffer = static_cast<int>(Context_.Options.ResponseBufferBytes);
  ::setsockopt(Descriptor, SOL_SOCKET, SO_SNDBUF, &SendBuffer,
               sizeof(SendBuffer));
  std::string Ip = ipOf(Peer->client_addr);
  auto Refusal = refusalFor(Ip);
  Context_.Connections.fetch_add(1, std::memory_order_relaxed);
  if (Refusal)
    Context_.ConnectionsRefused.fetch_add(1, std::memory_order_relaxed);
  auto Connection = std::make_shared<CallerConnection>(
      Context_, Raw, Descriptor, std::move(Ip), std::move(Refusal));
  Watch_.add(Connection);
  *Handle = std::make_unique<ConnectionHandle>(std::move(Connection)).release();
}

void CallerServer::Impl::closed(void **Handle) {
  std::unique_ptr<ConnectionHandle> Owner(
      static_cast<ConnectionHandle *>(std::exchange(*Handle, nullptr)));
  if (Owner)
    Watch_.remove(*Owner);
}

std::size_t CallerServer::Impl::abortRemaining() {
  std::size_t RemainingRequests = Context_.inFlight();
  while (Context_.awaitIdle(AbortInterval) > 0)
    Watch_.forEach([](CallerConnection &C) { C.abort(); });
  return RemainingRequests;
}

std::size_t CallerServer::Impl::stop(std::chrono::milliseconds Grace) {
  if (Daemon_ == nullptr)
    return 0;
  // MHD_quiesce_daemon is not used: with epoll, its caller and the library's
  // threads race to remove the socket, and the second removal aborts the
  // process.
  Context_.Stopping = true;
  Context_.awaitIdle(Grace);
  std::size_t RemainingRequests = abortRemaining();
  MHD_stop_daemon(std::exchange(Daemon_, nullptr));
  return RemainingRequests;
}

CallerServer::CallerServer(CallerServerOptions Options, CallerHandler Handler)
    : Impl_(std::make_unique<Impl>(std::move(Options), std::move(Handler))) {}

CallerServer::~CallerServer() { stop(std::chrono::milliseconds(0)); }

Result<void> CallerServer::start() { return Impl_->start(); }

std::uint16_t CallerServer::port() const { return Impl_->port(); }

std::size_t CallerServer::stop(std::chrono::milliseconds Grace) {
  return Impl_->stop(Grace);
}

CallerServerCounts CallerServer::counts() const {
  const ServerContext &C = Impl_->context();
  CallerServerCounts Counts;
  Counts.Connections = C.Connections;
  Counts.ConnectionsRefused = C.ConnectionsRefused;
  Counts.Requests = C.Requests;
  Counts.RefusedFromHead = C.RefusedFromHead;
  Counts.CallersGone = C.CallersGone;
  Counts.TimedOut = C.TimedOut;
  Counts.InFlight = C.inFlight();
  return Counts;
}

} // namespace celerybeam
