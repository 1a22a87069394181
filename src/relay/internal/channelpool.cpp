#include "relay/internal/channelpool.h"

#include <algorithm>

#include "relay/httpcaller.h"
#include "relay/internal/sockets.h"

namespace celerybeam::detail {

std::unique_ptr<Channel> ChannelPool::take(const Address &To,
                                           Duration IdleAtMost) {
  auto Found = Idle_.find(To);
  if (Found == Idle_.end() || Found->second.empty())
    return nullptr;
  Idle &Newest = Found->second.back();
  Duration IdleTime = Runtime_.Now() - Newest.Since;
  // A connection that was idle for zero time would pass the check below.
  bool AlwaysNew = IdleAtMost == Duration::zero();
  if (AlwaysNew || IdleTime > IdleAtMost || IdleTime > Newest.C->KeepAliveFor)
    return nullptr;
  std::unique_ptr<Channel> C = std::move(Newest.C);
  Found->second.pop_back();
  ErrorCode Ignored;
  C->Socket.cancel(Ignored);
  // The loop may have stalled, so that received data or a close is not yet
  // noticed.
  return isOpenAndIdle(C->Socket) ? std::move(C) : nullptr;
}

void ChannelPool::put(const Address &To, std::unique_ptr<Channel> C) {
  std::vector<Idle> &List = Idle_[To];
  if (List.size() >= HttpCaller::MaxIdle)
    List.erase(List.begin());
  // Idle connections hold no buffer memory.
  C->Buffer = {};
  List.push_back({std::move(C), Runtime_.Now(), ++LastSerial_});
  watch(To, List.back());
}

void ChannelPool::watch(const Address &To, Idle &Entry) {
  Entry.C->Socket.async_wait(
      Tcp::socket::wait_read,
      [Weak = weak_from_this(), To, Serial = Entry.Serial](ErrorCode Error) {
        auto Self = Weak.lock();
        if (Self && Error != asio::error::operation_aborted)
          Self->drop(To, Serial);
      });
}

void ChannelPool::drop(const Address &To, std::uint64_t Serial) {
  auto Found = Idle_.find(To);
  if (Found != Idle_.end())
    std::erase_if(Found->second,
                  [&](const Idle &I) { return I.Serial == Serial; });
}

void ChannelPool::dropOld() {
  TimePoint Now = Runtime_.Now();
  for (auto &[To, List] : Idle_)
    std::erase_if(List, [&](const Idle &I) {
      return Now - I.Since >
             std::min(HttpCaller::MaxIdleTime, I.C->KeepAliveFor);
    });
  std::erase_if(Idle_, [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace celerybeam::detail
