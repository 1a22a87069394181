#ifndef CELERYBEAM_RELAY_INTERNAL_CHANNELPOOL_H
#define CELERYBEAM_RELAY_INTERNAL_CHANNELPOOL_H

#include <map>
#include <memory>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"
#include "relay/internal/beast.h"

namespace celerybeam::detail {

/// A connection with the bytes that were read from it and not yet consumed.
struct Channel {
  explicit Channel(asio::io_context &Context) : Socket(Context) {}

  Tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  /// How long the other side keeps the connection open while it is idle.
  Duration KeepAliveFor = std::chrono::seconds(4);
};

/// The idle connections of an HttpCaller by address. An idle connection is
/// dropped when it receives data or is closed by the other end.
class ChannelPool : public std::enable_shared_from_this<ChannelPool> {
public:
  explicit ChannelPool(Runtime R) : Runtime_(std::move(R)) {}

  /// Takes the most recently used connection; null when none is usable.
  std::unique_ptr<Channel> take(const Address &To, Duration IdleAtMost);
  void put(const Address &To, std::unique_ptr<Channel> C);
  void dropOld();

private:
  struct Idle {
    std::unique_ptr<Channel> C;
    TimePoint Since{};
    std::uint64_t Serial = 0;
  };
  void watch(const Address &To, Idle &Entry);
  void drop(const Address &To, std::uint64_t Serial);

  Runtime Runtime_;
  std::uint64_t LastSerial_ = 0;
  std::map<Address, std::vector<Idle>> Idle_;
};

} // namespace celerybeam::detail

#endif
