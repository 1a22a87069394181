#ifndef CELERYBEAM_RELAY_NEWSLINK_H
#define CELERYBEAM_RELAY_NEWSLINK_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "blackboard/idtypes.h"
#include "framework/error.h"
#include "relay/eventloop.h"

namespace celerybeam {

/// Sends and receives datagrams between entry hosts. A datagram may be lost or
/// delayed.
class NewsLink {
public:
  using Receiver = std::function<void(std::string_view Bytes)>;

  NewsLink(EventLoop &Loop, Receiver Receive);
  ~NewsLink();

  /// Errors: InvalidSettings when the address cannot be bound.
  Result<void> open(const Address &Where);
  /// Sends to the same port of another host. \return false when the datagram is
  /// too long or the address is invalid; nothing is sent then.
  [[nodiscard]] bool send(const std::string &Ip, const std::string &Bytes);

  /// Maximum size of a datagram, in bytes.
  static constexpr std::size_t MaxBytes = 16384;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
