#include "ctl/httpclient.h"

#include <utility>

#include <ulfius.h>

namespace celerybeam::ctl {

namespace {

/// Owns a ulfius request and cleans it up on destruction.
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

std::string bodyOf(const struct _u_response &RawResponse) {
  if (RawResponse.binary_body_length == 0)
    return {};
  return {static_cast<const char *>(RawResponse.binary_body),
          RawResponse.binary_body_length};
}

} // namespace

class HttpClient::Impl {
public:
  explicit Impl(ServerAccess Access) : Access_(std::move(Access)) {}

  Result<HttpResponse> sendTo(const Address &Where,
                              const HttpCall &Call) const {
    OwnedRequest Request;
    prepare(Request.Value, Where, Call);
    OwnedResponse RawResponse;
    // ulfius sets the status to 200 before any response has arrived, so the
    // return value must be checked first.
    if (ulfius_send_http_request(&Request.Value, &RawResponse.Value) != U_OK)
      return makeError(ErrorKind::ConnectFailed,
                       Where.str() + " gives no answer; check the address and "
                                     "that the server runs.");
    HttpResponse Response;
    Response.Status = RawResponse.Value.status;
    Response.Body = bodyOf(RawResponse.Value);
    const char *Version =
        u_map_get_case(RawResponse.Value.map_header, "X-Version");
    if (Version)
      Response.Version = Version;
    return Response;
  }

  ServerAccess Access_;
  /// Index of the address to try first: the one that responded last, or the
  /// next one after a failure.
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

Result<HttpResponse> HttpClient::send(const HttpCall &Call) {
  const std::vector<Address> &All = Impl_->Access_.Addresses;
  if (All.empty())
    return makeError(ErrorKind::BadRequest, "No address is given.");
  Result<HttpResponse> Response =
      makeError(ErrorKind::ConnectFailed, "not called yet");
  for (std::size_t I = 0; I < All.size(); ++I) {
    Response = Impl_->sendTo(All[Impl_->Preferred_], Call);
    if (Response)
      return Response;
    Impl_->Preferred_ = (Impl_->Preferred_ + 1) % All.size();
    if (Call.Method != "GET")
      return Response;
  }
  return Response;
}

std::string encodeQueryValue(const std::string &Value) {
  char *Encoded = ulfius_url_encode(Value.c_str());
  std::string Text = Encoded ? Encoded : "";
  u_free(Encoded);
  return Text;
}

} // namespace celerybeam::ctl
