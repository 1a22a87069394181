#ifndef CELERYBEAM_FLEETHOST_INTERNAL_NEWSEXCHANGE_H
#define CELERYBEAM_FLEETHOST_INTERNAL_NEWSEXCHANGE_H

#include <functional>
#include <string>
#include <string_view>

#include "dispatch/dispatcher.h"
#include "fleet/hostregistry.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// Tells the other hosts what this one does, and takes in what they tell.
///
/// Within the region: work in flight and prompts sent, soon after they change.
/// To other regions: that the host is there and how its pools stand, seldom,
/// because those bytes are paid for.
class NewsExchange {
public:
  struct Hooks {
    std::function<void(const std::string &Ip, const std::string &Bytes)> Send;
    /// A host has applied changes of the store up to these revisions.
    std::function<void(StoreRevision Operator, StoreRevision Endpoints)>
        HeardOf;
  };

  NewsExchange(Runtime R, HostRegistry &Hosts, Dispatcher &Decisions, Hooks H);

  void receive(std::string_view Bytes);
  /// Sends what is due. Call every TickInterval.
  void tick();
  /// Own work in flight or waiting has changed; the region's hosts are told
  /// soon.
  void loadChanged();
  /// Tells all hosts at once, as on leaving.
  void tellAll();

  static constexpr Duration TickInterval = std::chrono::milliseconds(40);
  /// Changes within this time go into one message.
  static constexpr Duration LeastInterval = std::chrono::microseconds(300);
  /// Messages within the region when nothing changes.
  static constexpr Duration RegionInterval = std::chrono::milliseconds(200);
  static constexpr Duration FarInterval = std::chrono::milliseconds(500);
  /// Messages to addresses at which nobody was heard of late.
  static constexpr Duration SilentInterval = std::chrono::seconds(1);

private:
  std::string nearNews();
  std::string farNews() const;
  void sendNear();
  void sendFar();
  void sendSilent();

  Runtime Runtime_;
  HostRegistry &Hosts_;
  Dispatcher &Decisions_;
  Hooks Hooks_;
  TimePoint NextNear_{};
  TimePoint NextFar_{};
  TimePoint NextSilent_{};
  bool NearDue_ = false;
};

} // namespace celerybeam::detail

#endif
