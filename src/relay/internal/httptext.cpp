#include "relay/httptext.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "relay/internal/beast.h"

namespace celerybeam {

namespace {

constexpr std::array ConnectionFields = {
    "Connection",        "Keep-Alive", "Proxy-Connection",  "TE",
    "Trailer",           "Upgrade",    "Transfer-Encoding", "Content-Length",
    "Proxy-Authenticate"};

void appendFields(std::string &Out, const HttpFields &Fields) {
  for (const HttpField &F : Fields) {
    Out += F.Name;
    Out += ": ";
    Out += F.Value;
    Out += "\r\n";
  }
}

} // namespace

bool sameFieldName(std::string_view A, std::string_view B) {
  return boost::beast::iequals({A.data(), A.size()}, {B.data(), B.size()});
}

std::optional<std::string_view> findField(const HttpFields &Fields,
                                          std::string_view Name) {
  for (const HttpField &F : Fields)
    if (sameFieldName(F.Name, Name))
      return F.Value;
  return std::nullopt;
}

void removeField(HttpFields &Fields, std::string_view Name) {
  std::erase_if(
      Fields, [&](const HttpField &F) { return sameFieldName(F.Name, Name); });
}

void setField(HttpFields &Fields, std::string_view Name, std::string Value) {
  removeField(Fields, Name);
  Fields.push_back({std::string(Name), std::move(Value)});
}

void removeConnectionFields(HttpFields &Fields) {
  std::vector<std::string> Listed;
  for (const HttpField &F : Fields) {
    if (!sameFieldName(F.Name, "Connection"))
      continue;
    for (const auto &Token : boost::beast::http::token_list(F.Value))
      Listed.emplace_back(Token.data(), Token.size());
  }
  for (const std::string &Name : Listed)
    removeField(Fields, Name);
  for (const char *Name : ConnectionFields)
    removeField(Fields, Name);
}

std::string renderResponseHead(const HttpResponseHead &Head,
                               std::string_view Framing, bool Close) {
  auto Reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(Head.Status));
  std::string Out = "HTTP/1.1 " + std::to_string(Head.Status) + " ";
  Out.append(Reason.data(), Reason.size());
  Out += "\r\n";
  appendFields(Out, Head.Fields);
  if (!Framing.empty()) {
    Out += Framing;
    Out += "\r\n";
  }
  if (Close)
    Out += "Connection: close\r\n";
  Out += "\r\n";
  return Out;
}

std::string renderRequestHead(const HttpRequestHead &Head,
                              std::size_t BodyBytes) {
  std::string Out = Head.Method + " " + Head.Target + " HTTP/1.1\r\n";
  appendFields(Out, Head.Fields);
  if (BodyBytes > 0 || Head.Method != "GET")
    Out += "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  Out += "\r\n";
  return Out;
}

std::string renderChunk(std::string_view Data) {
  constexpr int Hexadecimal = 16;
  std::array<char, 2 * sizeof(std::size_t)> Length{};
  auto End =
      std::to_chars(Length.begin(), Length.end(), Data.size(), Hexadecimal);
  std::string Out(Length.data(), End.ptr);
  Out += "\r\n";
  Out += Data;
  Out += "\r\n";
  return Out;
}

} // namespace celerybeam
