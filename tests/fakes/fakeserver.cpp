#include "fakeserver.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <ulfius.h>

namespace celerybeam::fakes {

namespace {

constexpr std::size_t StreamBlockBytes = 4096;

std::uint64_t numberOr(const std::string &Text, std::uint64_t Fallback) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Number);
  return Parsed.ec == std::errc() && Parsed.ptr == End ? Number : Fallback;
}

std::string find(const std::map<std::string, std::string> &Map,
                 const std::string &Name) {
  auto It = Map.find(Name);
  return It == Map.end() ? std::string() : It->second;
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

FakeRequest readRequest(const struct _u_request *From) {
  FakeRequest R;
  R.Method = From->http_verb;
  const std::string Url = From->http_url;
  char *Path = ulfius_url_decode(Url.substr(0, Url.find('?')).c_str());
  R.Path = Path;
  o_free(Path);
  const char **Keys = u_map_enum_keys(From->map_url);
  for (; *Keys != nullptr; ++Keys)
    R.Query[*Keys] = u_map_get(From->map_url, *Keys);
  Keys = u_map_enum_keys(From->map_header);
  for (; *Keys != nullptr; ++Keys)
    R.Headers[lowerCase(*Keys)] = u_map_get(From->map_header, *Keys);
  if (From->binary_body != nullptr)
    R.Body.assign(static_cast<const char *>(From->binary_body),
                  From->binary_body_length);
  return R;
}

/// What a stream has still to send.
struct Stream {
  std::function<std::optional<std::string>()> NextPart;
  std::string Part;
};

ssize_t streamMore(void *Self, std::uint64_t /*Offset*/, char *Buffer,
                   std::size_t Room) {
  auto &S = *static_cast<Stream *>(Self);
  if (S.Part.empty()) {
    std::optional<std::string> Next = S.NextPart();
    if (!Next)
      return U_STREAM_ERROR;
    if (Next->empty())
      return U_STREAM_END;
    S.Part = std::move(*Next);
  }
  std::size_t Count = std::min(Room, S.Part.size());
  std::copy_n(S.Part.data(), Count, Buffer);
  S.Part.erase(0, Count);
  return static_cast<ssize_t>(Count);
}

void endStream(void *Self) { delete static_cast<Stream *>(Self); }

void writeReply(const FakeReply &From, struct _u_response *To) {
  for (const HeaderField &Field : From.Headers)
    u_map_put(To->map_header, Field.Name.c_str(), Field.Value.c_str());
  const auto Status = static_cast<unsigned>(From.Status);
  if (From.NextPart) {
    auto *S = new Stream{From.NextPart, From.Body};
    ulfius_set_stream_response(To, Status, streamMore, endStream,
                               U_STREAM_SIZE_UNKNOWN, StreamBlockBytes, S);
    return;
  }
  // The library leaves the status as it was when the body is empty.
  To->status = Status;
  if (!From.Body.empty())
    ulfius_set_binary_body_response(To, Status, From.Body.data(),
                                    From.Body.size());
}

int handle(const struct _u_request *From, struct _u_response *To, void *Self) {
  const auto &Handle = *static_cast<FakeServer::Handler *>(Self);
  try {
    writeReply(Handle(readRequest(From)), To);
  } catch (const std::exception &Failure) {
    ulfius_set_string_body_response(To, 400, Failure.what());
  }
  return U_CALLBACK_COMPLETE;
}

std::uint16_t boundPort(struct MHD_Daemon *Daemon) {
  int Socket =
      MHD_get_daemon_info(Daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
  struct sockaddr_in Bound = {};
  socklen_t Size = sizeof(Bound);
  getsockname(Socket, reinterpret_cast<struct sockaddr *>(&Bound), &Size);
  return ntohs(Bound.sin_port);
}

} // namespace

std::string FakeRequest::header(const std::string &Name) const {
  return find(Headers, Name);
}

std::string FakeRequest::query(const std::string &Name) const {
  return find(Query, Name);
}

std::uint64_t FakeRequest::queryNumber(const std::string &Name,
                                       std::uint64_t Fallback) const {
  return numberOr(query(Name), Fallback);
}

std::uint64_t FakeRequest::headerNumber(const std::string &Name,
                                        std::uint64_t Fallback) const {
  return numberOr(header(Name), Fallback);
}

FakeReply jsonReply(int Status, std::string Body) {
  FakeReply R;
  R.Status = Status;
  R.Headers = {{"Content-Type", "application/json"}};
  R.Body = std::move(Body);
  return R;
}

FakeReply cutOffReply() {
  FakeReply R;
  R.NextPart = [] { return std::nullopt; };
  return R;
}

class FakeServer::Impl {
public:
  Impl(std::uint16_t Port, Handler Handle) : Handle_(std::move(Handle)) {
    Address_.sin_family = AF_INET;
    Address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address_.sin_port = htons(Port);
    // The library refuses port 0 but lets the address name it.
    constexpr unsigned AnyAllowedPort = 1;
    unsigned Given = Port == 0 ? AnyAllowedPort : Port;
    if (ulfius_init_instance(&Instance_, Given, &Address_, nullptr) != U_OK)
      throw std::runtime_error("cannot set up the HTTP server");
    ulfius_add_endpoint_by_val(&Instance_, "*", nullptr, "*", 0, handle,
                               &Handle_);
    if (ulfius_start_framework(&Instance_) != U_OK) {
      ulfius_clean_instance(&Instance_);
      throw std::runtime_error("cannot listen; choose another --port");
    }
    Running_ = true;
    Port_ = boundPort(Instance_.mhd_daemon);
  }

  ~Impl() { stop(); }

  void stop() {
    if (!std::exchange(Running_, false))
      return;
    ulfius_stop_framework(&Instance_);
    ulfius_clean_instance(&Instance_);
  }

  std::uint16_t port() const { return Port_; }

private:
  Handler Handle_;
  struct sockaddr_in Address_ = {};
  struct _u_instance Instance_ = {};
  std::uint16_t Port_ = 0;
  bool Running_ = false;
};

FakeServer::FakeServer(std::uint16_t Port, Handler Handle)
    : Impl_(std::make_unique<Impl>(Port, std::move(Handle))) {}

FakeServer::~FakeServer() = default;

std::uint16_t FakeServer::port() const { return Impl_->port(); }

std::string FakeServer::address() const {
  return "127.0.0.1:" + std::to_string(port());
}

void FakeServer::stop() { Impl_->stop(); }

} // namespace celerybeam::fakes
