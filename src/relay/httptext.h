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

/// Whether two field names are equal, ignoring case.
bool sameFieldName(std::string_view A, std::string_view B);

/// The value of the first field with this name, or nullopt.
std::optional<std::string_view> findField(const HttpFields &Fields,
                                          std::string_view Name);
void removeField(HttpFields &Fields, std::string_view Name);
/// Replaces all fields with this name by one.
void setField(HttpFields &Fields, std::string_view Name, std::string Value);

/// Removes the hop-by-hop fields, including those that `Connection` lists, and
/// the framing fields, which each side sets itself.
void removeConnectionFields(HttpFields &Fields);

/// Head of a request as received.
struct HttpRequestHead {
  std::string Method;
  std::string Target;
  HttpFields Fields;
};

/// Head of a response.
struct HttpResponseHead {
  unsigned Status = 0;
  HttpFields Fields;
};

/// Serializes the head of a response.
/// \param Framing  "Content-Length: 5", "Transfer-Encoding: chunked" or empty.
std::string renderResponseHead(const HttpResponseHead &Head,
                               std::string_view Framing, bool Close);

/// Serializes the head of a request with its Content-Length.
std::string renderRequestHead(const HttpRequestHead &Head,
                              std::size_t BodyBytes);

/// Serializes one chunk of a chunked body.
/// \param Data  not empty.
std::string renderChunk(std::string_view Data);
/// Ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace celerybeam

#endif
