#ifndef CELERYBEAM_FRAMEWORK_HTTPTYPES_H
#define CELERYBEAM_FRAMEWORK_HTTPTYPES_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/error.h"

namespace celerybeam {

/// One HTTP header field. Names are kept in lower case.
struct HeaderField {
  std::string Name;
  std::string Value;
};

using HeaderFields = std::vector<HeaderField>;

/// The value of the first field with the name (lower case), or an empty view.
std::string_view findHeader(const HeaderFields &Fields, std::string_view Name);

/// How often a field with the name (lower case) occurs.
std::size_t countHeaders(const HeaderFields &Fields, std::string_view Name);

/// The value of a name in a query such as "route=a&class=short", or an empty
/// view. Values are not decoded: names of routes, models and customers need no
/// percent-encoding.
std::string_view findQueryValue(std::string_view Query, std::string_view Name);

/// All of a request but its body.
struct RequestHead {
  std::string Method;
  /// Path without the query, percent-encoded as it was sent.
  std::string Path;
  /// Query without the question mark; empty when there is none.
  std::string Query;
  HeaderFields Headers;
};

/// All of a response but its body.
struct ResponseHead {
  int Status = 0;
  HeaderFields Headers;
};

/// Whether a receiver of data is ready for more.
enum class Flow {
  Continue,
  /// The data was accepted; the sender waits until it is resumed.
  Pause,
};

/// Callbacks that write a response, in this order: Head at most once, Chunk
/// any number of times, End once. Called from any thread, one call at a time.
/// Calls after the receiver has disconnected are ignored.
struct ResponseHooks {
  std::function<void(ResponseHead)> Head;
  std::function<Flow(std::string)> Chunk;
  /// An error before the head becomes the response, in the receiver's format.
  /// An error after the head truncates the response: the receiver closes the
  /// connection without the normal end, so that the caller detects it.
  std::function<void(Result<void>)> End;
};

} // namespace celerybeam

#endif
