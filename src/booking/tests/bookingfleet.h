#ifndef CELERYBEAM_BOOKING_TESTS_BOOKINGFLEET_H
#define CELERYBEAM_BOOKING_TESTS_BOOKINGFLEET_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "booking/bookingcontroller.h"
#include "support/fakenetwork.h"
#include "support/fakestore.h"

namespace celerybeam::testing {

/// A fault that is injected into one call to a booking runner.
enum class RunnerFault {
  None,
  RefuseConnection,
  /// The request is lost, and the connection closes later.
  LoseRequest,
  /// The booking runs, and the response is lost.
  LoseResponse,
  /// The booking runs, and the response arrives long after the deadline.
  LateResponse,
  /// The request arrives, and the booking runs, long after the deadline.
  LateRequest,
  /// The runner responds that its queue is full and does no work.
  QueueFull,
};

/// Simulates entry hosts of one region (three by default) with their booking
/// controllers, the store and two booking runners, in virtual time.
class BookingFleet {
public:
  /// One caller's request and its result.
  struct CallResult {
    std::string Key;
    std::string Host;
    TimePoint StartedAt{};
    TimePoint Deadline{};
    std::optional<Result<BookingOutcome>> Outcome;
    TimePoint CompletedAt{};
    /// Executions of the key when the request completed.
    int ExecutionsAtCompletion = 0;
  };

  explicit BookingFleet(std::uint64_t Seed,
                        RunnerCheck Checks = RunnerCheck::None, int Hosts = 3);
  ~BookingFleet();

  static std::string hostName(int I) { return "k" + std::to_string(I + 1); }

  /// Ends the host's process. The other hosts notice after some seconds. With
  /// Restart, a new process with the same name starts later.
  void crash(const std::string &Host, bool Restart = true);
  void pause(const std::string &Host, Duration Span);
  void storeDown(Duration Span);
  /// Partitions a host from the other hosts. Callers still reach it.
  void isolate(const std::string &Host, Duration Span);
  void partitionFromStore(const std::string &Host, Duration Span);

  Uuid7 newKey();
  std::size_t book(const std::string &Host, const Uuid7 &Key, Duration Timeout,
                   const std::string &Body = "slot 7");
  std::size_t query(const std::string &Host, const Uuid7 &Key);
  CallResult &result(std::size_t I) { return *Results[I]; }
  bool allCompleted() const;

  int executions(const std::string &Key) const;
  bool alive(const std::string &Host) const;
  BookingController &controller(const std::string &Host);
  Blackboard &board(const std::string &Host);
  /// Name of the host that owns the key's shard according to the store.
  std::string ownerOf(const Uuid7 &Key) const;

  VirtualTime Time;
  FakeNetwork Network;
  FakeStore Store;
  std::function<RunnerFault(const HostId &)> PickRunnerFault;
  std::vector<std::shared_ptr<CallResult>> Results;

private:
  /// One process of a host, with its booking controller.
  struct Instance;

  void start(const std::string &Host, Incarnation Number);
  void setPeerState(const std::string &Host, PeerState State);
  /// Sets the state of the host at all other hosts, and theirs at the host.
  void setMutualState(const std::string &Host, PeerState State);
  EndpointHooks runners(const VirtualHost &Host);
  void startCall(const VirtualHost &Host, const EndpointCall &Call,
                 const CallObserver &Observer);
  std::string execute(const EndpointCall &Call);

  RunnerCheck Checks_;
  TablesSnapshot Tables_;
  std::map<std::string, std::unique_ptr<Instance>> Instances_;
  std::vector<std::unique_ptr<Instance>> EndedInstances_;
  std::map<std::string, Incarnation> Incarnations_;
  std::map<std::string, int> Executions_;
  /// Keys that each runner has executed.
  std::set<std::pair<EndpointId, std::string>> ExecutedKeys_;
  std::set<HostId> Isolated_;
};

} // namespace celerybeam::testing

#endif
