#include "httpclient/internal/transfer.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <string_view>
#include <utility>

#include "framework/httpstatus.h"

namespace celerybeam {

namespace {

/// Idle time in seconds before TCP sends a keep-alive probe, and the interval
/// between probes.
constexpr long KeepAliveIdleSeconds = 15;
constexpr long KeepAliveIntervalSeconds = 5;

/// Header fields that frame a message or concern one connection (RFC
/// 9110, 7.6.1).
constexpr std::array<std::string_view, 9> ConnectionFields = {
    "connection", "content-length", "expect",
    "host",       "keep-alive",     "proxy-connection",
    "te",         "trailer",        "transfer-encoding"};

constexpr std::array<std::string_view, 3> ResponseConnectionFields = {
    "connection", "keep-alive", "transfer-encoding"};

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Lower;
}

template <typename List>
bool contains(const List &Names, std::string_view Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

bool hasLineBreak(std::string_view Text) {
  return Text.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

std::string urlPart(CURLU *Url, CURLUPart Part) {
  char *Text = nullptr;
  if (curl_url_get(Url, Part, &Text, CURLU_DEFAULT_PORT) != CURLUE_OK)
    return std::string();
  std::string Copy = Text;
  curl_free(Text);
  return Copy;
}

/// Scheme, host and port; empty when the URL is not valid.
std::string originOf(const std::string &Text) {
  CURLU *Url = curl_url();
  std::string Origin;
  if (curl_url_set(Url, CURLUPART_URL, Text.c_str(), 0) == CURLUE_OK)
    Origin = urlPart(Url, CURLUPART_SCHEME) + "://" +
             urlPart(Url, CURLUPART_HOST) + ":" + urlPart(Url, CURLUPART_PORT);
  curl_url_cleanup(Url);
  return Origin;
}

} // namespace

Transfer::Transfer(HttpCallId Id, HttpCall Call, ResponseHooks Hooks)
    : Id_(Id), Call_(std::move(Call)), Hooks_(std::move(Hooks)),
      Origin_(originOf(Call_.Url)) {}

Transfer::~Transfer() {
  curl_easy_cleanup(Easy_);
  curl_slist_free_all(Headers_);
}

Transfer &Transfer::of(CURL *Easy) {
  Transfer *Self = nullptr;
  curl_easy_getinfo(Easy, CURLINFO_PRIVATE, &Self);
  return *Self;
}

Result<CURL *> Transfer::prepare(const HttpClientSettings &Settings,
                                 bool Fresh) {
  if (Origin_.empty() || Call_.Method.empty() || hasLineBreak(Call_.Method) ||
      Call_.Method.find(' ') != std::string::npos)
    return makeError(ErrorKind::BadRequest,
                     "the call has no valid method or URL; check the address "
                     "and the path");
  if (!addHeaders())
    return makeError(ErrorKind::BadRequest,
                     "a header contains a line break; remove it");
  Easy_ = curl_easy_init();
  curl_easy_setopt(Easy_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(Easy_, CURLOPT_URL, Call_.Url.c_str());
  curl_easy_setopt(Easy_, CURLOPT_HTTPHEADER, Headers_);
  setMethod();
  setLimits(Settings, Fresh || Call_.FreshConnection);
  setHooks();
  return Easy_;
}

bool Transfer::addHeaders() {
  // An empty value prevents the library from adding the field itself.
  Headers_ = curl_slist_append(Headers_, "Expect:");
  for (const HeaderField &Field : Call_.Headers) {
    if (hasLineBreak(Field.Name) || hasLineBreak(Field.Value))
      return false;
    if (Field.Name.empty() || contains(ConnectionFields, lowerCase(Field.Name)))
      continue;
    // The library requires a semicolon to send a field with an empty value.
    std::string Line = Field.Value.empty() ? Field.Name + ";"
                                           : Field.Name + ": " + Field.Value;
    Headers_ = curl_slist_append(Headers_, Line.c_str());
  }
  return true;
}

void Transfer::setMethod() {
  curl_easy_setopt(Easy_, CURLOPT_CUSTOMREQUEST, Call_.Method.c_str());
  if (Call_.Method == "HEAD")
    curl_easy_setopt(Easy_, CURLOPT_NOBODY, 1L);
  const bool NeedsFraming = Call_.Method == "POST" || Call_.Method == "PUT";
  if (!Call_.Body && !NeedsFraming)
    return;
  const std::size_t Size = Call_.Body ? Call_.Body->size() : 0;
  curl_easy_setopt(Easy_, CURLOPT_UPLOAD, 1L);
  curl_easy_setopt(Easy_, CURLOPT_INFILESIZE_LARGE,
                   static_cast<curl_off_t>(Size));
  curl_easy_setopt(Easy_, CURLOPT_READFUNCTION, &Transfer::sendBody);
  curl_easy_setopt(Easy_, CURLOPT_READDATA, this);
  curl_easy_setopt(Easy_, CURLOPT_SEEKFUNCTION, &Transfer::rewindBody);
  curl_easy_setopt(Easy_, CURLOPT_SEEKDATA, this);
}

void Transfer::setLimits(const HttpClientSettings &Settings, bool Fresh) {
  ResendWindow_ = Settings.ResendWindow;
  curl_easy_setopt(Easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy_, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(Easy_, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(Easy_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Easy_, CURLOPT_FRESH_CONNECT, Fresh ? 1L : 0L);
  curl_easy_setopt(Easy_, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(Settings.IdleLimit.count()));
  curl_easy_setopt(Easy_, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(Easy_, CURLOPT_TCP_KEEPIDLE, KeepAliveIdleSeconds);
  curl_easy_setopt(Easy_, CURLOPT_TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  curl_easy_setopt(Easy_, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Call_.ConnectTimeout.count()));
  curl_easy_setopt(Easy_, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Call_.Timeout.count()));
  if (!Call_.CaFile.empty())
    curl_easy_setopt(Easy_, CURLOPT_CAINFO, Call_.CaFile.c_str());
}

void Transfer::setHooks() {
  curl_easy_setopt(Easy_, CURLOPT_HEADERFUNCTION, &Transfer::headerLine);
  curl_easy_setopt(Easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Easy_, CURLOPT_WRITEFUNCTION, &Transfer::dataArrived);
  curl_easy_setopt(Easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Easy_, CURLOPT_PREREQFUNCTION, &Transfer::beforeRequest);
  curl_easy_setopt(Easy_, CURLOPT_PREREQDATA, this);
}

void Transfer::resume() {
  if (!std::exchange(Paused_, false))
    return;
  // Delivers the data buffered by the library; this may pause the call again.
  curl_easy_pause(Easy_, CURLPAUSE_CONT);
}

void Transfer::finish(CURLcode Code) {
  if (Code != CURLE_OK)
    return finish(errorOf(Code));
  if (endedDuringUpload())
    return finish(errorOf(CURLE_PARTIAL_FILE));
  if (Hooks_.End)
    Hooks_.End({});
}

void Transfer::finish(Error Cause) {
  if (Hooks_.End)
    Hooks_.End(tl::unexpected(std::move(Cause)));
}

bool Transfer::requestSent() const {
  long Sent = 0;
  curl_easy_getinfo(Easy_, CURLINFO_REQUEST_SIZE, &Sent);
  return Requests_ > 0 || Sent > 0;
}

bool Transfer::endedDuringUpload() const {
  curl_off_t Uploaded = 0;
  curl_easy_getinfo(Easy_, CURLINFO_SIZE_UPLOAD_T, &Uploaded);
  const std::size_t Size = Call_.Body ? Call_.Body->size() : 0;
  return EndsWithConnection_ && static_cast<std::size_t>(Uploaded) < Size;
}

bool Transfer::wentSilent(std::chrono::milliseconds Limit) const {
  const bool Worked = connectionsOpened() == 0 || HeadDelivered_;
  return Worked && requestSent() && Clock::now() - LastProgress_ >= Limit;
}

long Transfer::connectionsOpened() const {
  long Opened = 0;
  curl_easy_getinfo(Easy_, CURLINFO_NUM_CONNECTS, &Opened);
  return Opened;
}

Error Transfer::errorOf(CURLcode Code) const {
  const std::string Cause = curl_easy_strerror(Code);
  if (Code == CURLE_PEER_FAILED_VERIFICATION ||
      Code == CURLE_SSL_CACERT_BADFILE)
    return Error{ErrorKind::ConnectFailed,
                 Origin_ + " has no trusted certificate (" + Cause +
                     "); check the file of authorities in the settings"};
  if (!requestSent())
    return Error{ErrorKind::ConnectFailed,
                 "no connection to " + Origin_ + " (" + Cause +
                     "); check that it runs and is reachable"};
  if (Code == CURLE_OPERATION_TIMEDOUT)
    return Error{ErrorKind::RequestTimeout,
                 Origin_ + " did not answer in time; allow more time or check "
                           "its load"};
  return Error{ErrorKind::ConnectionLost,
               "the connection to " + Origin_ + " broke off (" + Cause +
                   "); check whether it was restarted"};
}

ResponseHead Transfer::readHead() const {
  constexpr int LastRequest = -1;
  ResponseHead Head;
  long Status = 0;
  curl_easy_getinfo(Easy_, CURLINFO_RESPONSE_CODE, &Status);
  Head.Status = static_cast<int>(Status);
  curl_header *Field = nullptr;
  while ((Field = curl_easy_nextheader(Easy_, CURLH_HEADER, LastRequest,
                                       Field)) != nullptr) {
    std::string Name = lowerCase(Field->name);
    if (!contains(ResponseConnectionFields, Name))
      Head.Headers.push_back({std::move(Name), Field->value});
  }
  return Head;
}

bool Transfer::marksItsEnd(int Status) const {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  constexpr int LastRequest = -1;
  if (Call_.Method == "HEAD" || Status == NoContent || Status == NotModified)
    return true;
  for (const char *Name : {"Content-Length", "Transfer-Encoding"}) {
    curl_header *Field = nullptr;
    if (curl_easy_header(Easy_, Name, 0, CURLH_HEADER, LastRequest, &Field) ==
        CURLHE_OK)
      return true;
  }
  return false;
}

std::size_t Transfer::onHeaderLine(std::string_view Line) {
  LastProgress_ = Clock::now();
  const bool EndOfHead = Line == "\r\n" || Line == "\n";
  // Lines after the head are trailers.
  if (!EndOfHead || HeadDelivered_)
    return Line.size();
  // Any other result than the size ends the call with an error.
  constexpr std::size_t Abort = 0;
  ResponseHead Head = readHead();
  StatusKind Kind = statusKindOf(static_cast<unsigned>(Head.Status));
  if (Kind == StatusKind::Invalid)
    return Abort;
  if (Kind == StatusKind::Interim)
    return Line.size();
  HeadDelivered_ = true;
  EndsWithConnection_ = !marksItsEnd(Head.Status);
  if (Hooks_.Head)
    Hooks_.Head(std::move(Head));
  return Line.size();
}

std::size_t Transfer::onData(std::string_view Data) {
  LastProgress_ = Clock::now();
  if (Paused_)
    return CURL_WRITEFUNC_PAUSE;
  if (Hooks_.Chunk)
    Paused_ = Hooks_.Chunk(std::string(Data)) == Flow::Pause;
  return Data.size();
}

std::size_t Transfer::onSend(char *Buffer, std::size_t Size) {
  LastProgress_ = Clock::now();
  if (!Call_.Body)
    return 0;
  std::size_t Count = std::min(Size, Call_.Body->size() - Sent_);
  std::copy_n(Call_.Body->data() + Sent_, Count, Buffer);
  Sent_ += Count;
  return Count;
}

int Transfer::onRequest() {
  // The library resends a request itself when a reused connection closes
  // during the request.
  if (Requests_ > 0 && !mayResend())
    return CURL_PREREQFUNC_ABORT;
  ++Requests_;
  RequestedAt_ = Clock::now();
  LastProgress_ = RequestedAt_;
  return CURL_PREREQFUNC_OK;
}

bool Transfer::mayResend() const {
  return Call_.Repeatable && Requests_ == 1 &&
         Clock::now() - RequestedAt_ <= ResendWindow_;
}

std::size_t Transfer::headerLine(char *Data, std::size_t Size,
                                 std::size_t Count, void *Self) {
  return static_cast<Transfer *>(Self)->onHeaderLine({Data, Size * Count});
}

std::size_t Transfer::dataArrived(char *Data, std::size_t Size,
                                  std::size_t Count, void *Self) {
  return static_cast<Transfer *>(Self)->onData({Data, Size * Count});
}

std::size_t Transfer::sendBody(char *Buffer, std::size_t Size,
                               std::size_t Count, void *Self) {
  return static_cast<Transfer *>(Self)->onSend(Buffer, Size * Count);
}

int Transfer::rewindBody(void *Self, curl_off_t Offset, int Origin) {
  if (Origin != SEEK_SET)
    return CURL_SEEKFUNC_CANTSEEK;
  static_cast<Transfer *>(Self)->Sent_ = static_cast<std::size_t>(Offset);
  return CURL_SEEKFUNC_OK;
}

int Transfer::beforeRequest(void *Self, char * /*PrimaryAddress*/,
                            char * /*LocalAddress*/, int /*PrimaryPort*/,
                            int /*LocalPort*/) {
  return static_cast<Transfer *>(Self)->onRequest();
}

} // namespace celerybeam
