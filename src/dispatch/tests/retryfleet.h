#ifndef CELERYBEAM_DISPATCH_TESTS_RETRYFLEET_H
#define CELERYBEAM_DISPATCH_TESTS_RETRYFLEET_H

#include <memory>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"
#include "support/virtualtime.h"

namespace celerybeam::testing {

/// Entry hosts on virtual time whose requests all fail, so that each host
/// retries as often as it may. Replays the load "endpoints fail everywhere,
/// while hosts are killed and regions are cut from each other".
class RetryFleet {
public:
  static constexpr RetryBudgetBounds Bounds{0.2, std::chrono::seconds(10), 130};
  static constexpr Duration StepTime = std::chrono::milliseconds(100);

  /// Adds a host of a region ("gaucho", "paulista" or "platense"); its process
  /// starts now.
  void addHost(const std::string &Region);
  /// Replaces the host's process by a new one, which knows nothing.
  void restart(std::size_t Host);
  /// From now on, hosts get messages only from hosts of their own region, or,
  /// with Alone, from nobody.
  void cutRegions(bool Alone = false);
  void healCuts() { Cut_ = AloneCut_ = false; }
  std::size_t size() const { return Hosts_.size(); }

  /// Runs for a while. Each host gets requests, and the hosts exchange their
  /// states.
  /// \param Failing  whether each request is retried as often as possible.
  void runFor(Duration Span, bool Failing = true);

  /// Extra sends so far.
  std::size_t extraSends() const { return Extra_.size(); }
  /// The largest excess over the limit, in extra sends, in any window: the
  /// requests counted are those of the window, of the one before it or of the
  /// one half a window before it, whichever are most.
  double largestExcess() const;

private:
  struct Process {
    Process(const Runtime &R, const HostState &Self);

    FleetView View;
    HostRegistry Hosts;
    Dispatcher Decisions;
  };
  struct Host {
    HostState State;
    std::unique_ptr<Process> Running;
  };

  bool reaches(const Host &From, const Host &To) const;
  void exchangeStates();
  void sendRequests(Host &To, bool Failing);
  static std::ptrdiff_t countWithin(const std::vector<TimePoint> &Times,
                                    TimePoint From);

  VirtualTime Time_{1};
  std::vector<Host> Hosts_;
  bool Cut_ = false;
  bool AloneCut_ = false;
  std::vector<TimePoint> Requests_;
  std::vector<TimePoint> Extra_;
};

} // namespace celerybeam::testing

#endif
