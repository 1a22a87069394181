#ifndef CELERYBEAM_HTTPCLIENT_URLENCODING_H
#define CELERYBEAM_HTTPCLIENT_URLENCODING_H

#include <string>
#include <string_view>

namespace celerybeam {

/// Percent-encodes all but the unreserved characters of RFC 3986.
std::string encodeUrlComponent(std::string_view Text);

/// Like encodeUrlComponent, but keeps the slashes between path segments.
std::string encodeUrlPath(std::string_view Path);

/// Decodes percent-encoding; text that is not encoded is returned unchanged.
std::string decodeUrlComponent(std::string_view Text);

} // namespace celerybeam

#endif
