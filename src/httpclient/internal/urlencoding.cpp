#include "httpclient/urlencoding.h"

#include <curl/curl.h>

namespace celerybeam {

std::string encodeUrlComponent(std::string_view Text) {
  // With a length of 0 the library would call strlen on the text.
  if (Text.empty())
    return std::string();
  char *Encoded =
      curl_easy_escape(nullptr, Text.data(), static_cast<int>(Text.size()));
  if (Encoded == nullptr)
    return std::string();
  std::string Copy = Encoded;
  curl_free(Encoded);
  return Copy;
}

std::string encodeUrlPath(std::string_view Path) {
  std::string Encoded;
  while (true) {
    std::size_t Slash = Path.find('/');
    Encoded += encodeUrlComponent(Path.substr(0, Slash));
    if (Slash == std::string_view::npos)
      return Encoded;
    Encoded += '/';
    Path.remove_prefix(Slash + 1);
  }
}

std::string decodeUrlComponent(std::string_view Text) {
  int Length = 0;
  char *Decoded = curl_easy_unescape(nullptr, Text.data(),
                                     static_cast<int>(Text.size()), &Length);
  if (!Decoded)
    return std::string(Text);
  std::string Result(Decoded, static_cast<std::size_t>(Length));
  curl_free(Decoded);
  return Result;
}

} // namespace celerybeam
