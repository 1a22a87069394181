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

/// Datagrams between entry hosts. A datagram may be lost or come late.
class NewsLink {
public:
  using Receiver = std::function<void(std::string_view Bytes)>;

  NewsLink(EventLoop &Loop, Receiver Receive);
  ~NewsLink();

  /// Errors: InvalidSettings when the address cannot be bound.
  Result<void> open(const Address &Where);
  /// Sends to the same port of another host. \return false when the bytes are
  /// too many for a datagram or the address is none; nothing is sent then.
  [[nodiscard]] bool send(const std::string &Ip, const std::string &Bytes);

  /// A datagram holds no more.
  static constexpr std::size_t MaxBytes = 16384;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
