#ifndef CELERYBEAM_RELAY_OPENREQUESTS_H
#define CELERYBEAM_RELAY_OPENREQUESTS_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace celerybeam {

/// The requests that a host is processing, so that each gets its final response
/// before the host stops, and those that wait hear of what they wait for. Not
/// thread-safe.
class OpenRequests {
public:
  /// Identifies an entry; zero is none.
  struct Id {
    std::uint64_t Value = 0;
  };

  /// Not called after remove.
  struct Hooks {
    /// Gives the request its final response.
    std::function<void()> End;
    /// Decides again whether a request that waits is worth waiting for.
    std::function<void()> Reconsider;
  };

  Id add(Hooks H);
  void remove(Id Entry);
  /// Ends all requests. \return their number.
  std::size_t endAll();
  void reconsiderAll();

private:
  /// Calls a hook of each entry; the hook may remove entries.
  std::size_t callEach(std::function<void()> Hooks::*Hook);

  std::map<std::uint64_t, Hooks> Entries_;
  std::uint64_t Last_ = 0;
};

} // namespace celerybeam

#endif
