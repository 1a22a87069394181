#ifndef CELERYBEAM_RELAY_DATAGRAMLINK_H
#define CELERYBEAM_RELAY_DATAGRAMLINK_H

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
class DatagramLink {
public:
  using Receiver = std::function<void(std::string_view Bytes)>;

  DatagramLink(EventLoop &Loop, Receiver Receive);
  ~DatagramLink();

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
