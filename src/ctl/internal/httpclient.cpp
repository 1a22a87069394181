#include "ctl/httpclient.h"

#include <utility>

#include <ulfius.h>

namespace celerybeam::ctl {

namespace {

/// A ulfius request that is cleaned up on every way out.
struct OwnedRequest {
  OwnedRequest() { ulfius_init_request(&Value); }
  ~OwnedRequest() { ulfius_clean_request(&Value); }
  OwnedRequest(const OwnedRequest &) = delete;
  OwnedRequest &operator=(const OwnedRequest &) = delete;

  struct _u_request Value {};
};

struct OwnedResponse {
  OwnedResponse() { ulfius_init_response(&Value); }
  ~OwnedResponse() { ulfius_clean_response(&Value); }
  OwnedResponse(const OwnedResponse &) = delete;
  OwnedResponse &operator=(const OwnedResponse &) = delete;

  struct _u_response Value {};
};

std::string bodyOf(const struct _u_response &Response) {
  if (Response.binary_body_length == 0)
    return {};
  return {static_cast<const char *>(Response.binary_body),
          Response.binary_body_length};
}

} // namespace

class HttpClient::Impl {
public:
  explicit Impl(ServerAccess Access) : Access_(std::move(Access)) {}

  Result<HttpAnswer> sendTo(const Address &Where, const HttpCall &Call) const {
    OwnedRequest Request;
    prepare(Request.Value, Where, Call);
    OwnedResponse Response;
    // The status of a response reads 200 before any answer came, so that the
    // return value decides first.
    if (ulfius_send_http_request(&Request.Value, &Response.Value) != U_OK)
      return makeError(ErrorKind::ConnectFailed,
                       Where.str() + " gives no answer; check the address and "
                                     "that the server runs.");
    HttpAnswer Answer;
    Answer.Status = Response.Value.status;
    Answer.Body = bodyOf(Response.Value);
    const char *Version =
        u_map_get_case(Response.Value.map_header, "X-Version");
    if (Version)
      Answer.Version = Version;
    return Answer;
  }

  ServerAccess Access_;
  /// Index of the address that answered last.
  std::size_t Preferred_ = 0;

private:
  void prepare(struct _u_request &Request, const Address &Where,
               const HttpCall &Call) const {
    std::string Scheme = Access_.CaFile.empty() ? "http://" : "https://";
    std::string Url = Scheme + Where.str() + Call.Target;
    ulfius_set_request_properties(
        &Request, U_OPT_HTTP_VERB, Call.Method.c_str(), U_OPT_HTTP_URL,
        Url.c_str(), U_OPT_TIMEOUT,
        static_cast<unsigned long>(Access_.Timeout.count()), U_OPT_NONE);
    if (!Access_.CaFile.empty())
      ulfius_set_request_properties(&Request, U_OPT_CA_PATH,
                                    Access_.CaFile.c_str(), U_OPT_NONE);
    if (!Access_.Token.empty())
      ulfius_set_request_properties(
          &Request, U_OPT_HEADER_PARAMETER, "Authorization",
          ("Bearer " + Access_.Token).c_str(), U_OPT_NONE);
    if (!Call.Body.empty())
      ulfius_set_request_properties(&Request, U_OPT_BINARY_BODY,
                                    Call.Body.data(), Call.Body.size(),
                                    U_OPT_NONE);
  }
};

HttpClient::HttpClient(ServerAccess Access)
    : Impl_(std::make_unique<Impl>(std::move(Access))) {}
HttpClient::~HttpClient() = default;

Result<HttpAnswer> HttpClient::send(const HttpCall &Call) {
  const std::vector<Address> &All = Impl_->Access_.Addresses;
  if (All.empty())
    return makeError(ErrorKind::BadRequest, "No address is given.");
  Result<HttpAnswer> Answer =
      makeError(ErrorKind::ConnectFailed, "not called yet");
  for (std::size_t I = 0; I < All.size(); ++I) {
    Answer = Impl_->sendTo(All[Impl_->Preferred_], Call);
    if (Answer)
      return Answer;
    Impl_->Preferred_ = (Impl_->Preferred_ + 1) % All.size();
    if (Call.Method != "GET")
      return Answer;
  }
  return Answer;
}

std::string encodeQueryValue(const std::string &Value) {
  char *Encoded = ulfius_url_encode(Value.c_str());
  std::string Text = Encoded ? Encoded : "";
  u_free(Encoded);
  return Text;
}

} // namespace celerybeam::ctl
