#ifndef CELERYBEAM_RELAY_HTTPTEXT_H
#define CELERYBEAM_RELAY_HTTPTEXT_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace celerybeam {

/// One header field.
struct HttpField {
  std::string Name;
  std::string Value;
};

using HttpFields = std::vector<HttpField>;

/// Whether two field names are the same; case does not count.
bool sameFieldName(std::string_view A, std::string_view B);

/// The first field of this name, or empty.
std::optional<std::string_view> findField(const HttpFields &Fields,
                                          std::string_view Name);
void removeField(HttpFields &Fields, std::string_view Name);
/// Replaces all fields of this name by one.
void setField(HttpFields &Fields, std::string_view Name, std::string Value);

/// Removes fields that concern one connection only, those that `Connection`
/// lists included, and the framing, which each side sets itself.
void removeConnectionFields(HttpFields &Fields);

/// Head of a request as a server has read it.
struct HttpRequestHead {
  std::string Method;
  std::string Target;
  HttpFields Fields;
};

/// Head of an answer.
struct HttpResponseHead {
  unsigned Status = 0;
  HttpFields Fields;
};

/// The head of an answer on the wire. \param Framing  "Content-Length: 5",
/// "Transfer-Encoding: chunked" or empty.
std::string renderResponseHead(const HttpResponseHead &Head,
                               std::string_view Framing, bool Close);

/// The head of a request on the wire, with a length.
std::string renderRequestHead(const HttpRequestHead &Head,
                              std::size_t BodyBytes);

/// One chunk of a chunked body. \param Data  not empty.
std::string renderChunk(std::string_view Data);
/// Ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace celerybeam

#endif
