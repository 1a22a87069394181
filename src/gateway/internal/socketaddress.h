#ifndef CELERYBEAM_GATEWAY_INTERNAL_SOCKETADDRESS_H
#define CELERYBEAM_GATEWAY_INTERNAL_SOCKETADDRESS_H

#include <cstdint>
#include <string>

#include <sys/socket.h>

#include "blackboard/idtypes.h"
#include "framework/error.h"

namespace celerybeam {

/// An IP address and port as the operating system's structure.
struct SocketAddress {
  sockaddr_storage Storage{};
  socklen_t Size = 0;
  std::uint16_t Port = 0;

  const sockaddr *get() const {
    return reinterpret_cast<const sockaddr *>(&Storage);
  }
  bool isV6() const { return Storage.ss_family == AF_INET6; }
};

/// Parses "127.0.0.1:8443" or "[::1]:8443". Fails with InvalidSettings.
Result<SocketAddress> parseSocketAddress(const Address &Text);

/// Returns the port that a socket is bound to; 0 on failure.
std::uint16_t boundPort(int Socket);

/// Returns the IP address of a connected socket's peer, without the port.
std::string ipOf(const sockaddr *Where);

} // namespace celerybeam

#endif
