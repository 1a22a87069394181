#ifndef CELERYBEAM_RELAY_OPENREQUESTS_H
#define CELERYBEAM_RELAY_OPENREQUESTS_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace celerybeam {

/// The requests that a host is processing, so that each gets its final response
/// before the host stops. Not thread-safe.
class OpenRequests {
public:
  /// Identifies an entry; zero is none.
  struct Id {
    std::uint64_t Value = 0;
  };

  /// \param End  gives the request its final response. Not called after remove.
  Id add(std::function<void()> End);
  void remove(Id Entry);
  /// Ends all requests. \return their number.
  std::size_t endAll();

private:
  std::map<std::uint64_t, std::function<void()>> Ends_;
  std::uint64_t Last_ = 0;
};

} // namespace celerybeam

#endif
