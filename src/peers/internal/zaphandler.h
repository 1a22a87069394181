#ifndef CELERYBEAM_PEERS_INTERNAL_ZAPHANDLER_H
#define CELERYBEAM_PEERS_INTERNAL_ZAPHANDLER_H

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

#include <zmq.hpp>

namespace celerybeam {

/// Accepts or refuses connecting hosts by their public keys, using the ZeroMQ
/// Authentication Protocol (RFC 27). Used on one thread only.
class ZapHandler {
public:
  /// \param PermittedKeys  public keys in Z85.
  ZapHandler(zmq::context_t &Context,
             const std::vector<std::string> &PermittedKeys);

  zmq::socket_t &socket() { return Socket_; }

  /// Replies to one pending request. \returns true if the key was refused.
  bool replyToOne();

private:
  bool isPermitted(const std::vector<std::string> &Frames) const;

  std::unordered_set<std::string> Permitted_;
  zmq::socket_t Socket_;
};

} // namespace celerybeam

#endif
