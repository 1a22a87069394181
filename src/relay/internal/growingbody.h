#ifndef CELERYBEAM_RELAY_INTERNAL_GROWINGBODY_H
#define CELERYBEAM_RELAY_INTERNAL_GROWINGBODY_H

#include <cstdint>
#include <string>

#include "relay/internal/beast.h"

namespace celerybeam::detail {

/// The body of a parsed message. Unlike Beast's string body, it takes memory
/// for the bytes that arrive and none for the length that the head promises.
struct GrowingBody {
  // The names are Beast's requirements on a body.
  // NOLINTBEGIN(readability-identifier-naming)
  using value_type = std::string;

  class reader {
  public:
    template <bool IsRequest, class Fields>
    reader(http::header<IsRequest, Fields> & /*Head*/, value_type &Body)
        : Body_(Body) {}

    void init(const boost::optional<std::uint64_t> & /*Promised*/,
              ErrorCode &Error) {
      Error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers &Received, ErrorCode &Error) {
      Error = {};
      std::size_t Size = 0;
      for (auto Part : boost::beast::buffers_range_ref(Received)) {
        Body_.append(static_cast<const char *>(Part.data()), Part.size());
        Size += Part.size();
      }
      return Size;
    }

    void finish(ErrorCode &Error) { Error = {}; }

  private:
    value_type &Body_;
  };
  // NOLINTEND(readability-identifier-naming)
};

} // namespace celerybeam::detail

#endif
