#include "support/virtualhost.h"

#include <utility>
#include <vector>

namespace celerybeam::testing {

struct VirtualHost::State {
  State(VirtualTime &Time, HostId Id) : Time(Time), Id(std::move(Id)) {}

  VirtualTime &Time;
  HostId Id;
  bool Paused = false;
  bool Crashed = false;
  std::vector<Task> Waiting;
};

VirtualHost::VirtualHost(VirtualTime &Time, HostId Id)
    : State_(std::make_shared<State>(Time, std::move(Id))) {}

const HostId &VirtualHost::id() const { return State_->Id; }
bool VirtualHost::running() const {
  return !State_->Paused && !State_->Crashed;
}
bool VirtualHost::crashed() const { return State_->Crashed; }

void VirtualHost::post(Duration Delay, Task Work) const {
  State_->Time.after(Delay, [S = State_, Work = std::move(Work)]() mutable {
    if (S->Crashed)
      return;
    if (S->Paused)
      S->Waiting.push_back(std::move(Work));
    else
      Work();
  });
}

void VirtualHost::every(Duration Interval, Task Work) const {
  post(Interval, [Host = *this, Interval, Work = std::move(Work)] {
    Work();
    Host.every(Interval, Work);
  });
}

void VirtualHost::pause() const { State_->Paused = true; }

void VirtualHost::resume() const {
  State_->Paused = false;
  for (Task &Work : std::exchange(State_->Waiting, {}))
    post(Duration(0), std::move(Work));
}

void VirtualHost::crash() const {
  State_->Crashed = true;
  State_->Waiting.clear();
}

Runtime VirtualHost::runtime() const {
  Runtime R = State_->Time.runtime();
  R.After = [Host = *this](Duration Delay, Task Work) {
    Host.post(Delay, std::move(Work));
  };
  return R;
}

} // namespace celerybeam::testing
