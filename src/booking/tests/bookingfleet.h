#ifndef CELERYBEAM_BOOKING_TESTS_BOOKINGFLEET_H
#define CELERYBEAM_BOOKING_TESTS_BOOKINGFLEET_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "booking/bookingcontroller.h"
#include "support/fakenetwork.h"
#include "support/fakestore.h"

namespace celerybeam::testing {

/// What happens to one call at a booking runner.
enum class RunnerFault {
  None,
  RefuseConnection,
  /// The request is lost, the connection breaks later.
  LoseRequest,
  /// It runs, and the answer is lost.
  LoseAnswer,
  /// It runs, and the answer comes long after the deadline.
  LateAnswer,
  /// It arrives and runs long after the deadline.
  LateRequest,
  /// The queue is full; no work is done.
  QueueFull,
};

/// Three entry hosts of one region, their store and two booking runners.
class BookingFleet {
public:
  /// The end of one caller's request.
  struct Answer {
    std::string Key;
    std::string Host;
    TimePoint Asked{};
    TimePoint Deadline{};
    std::optional<Result<BookingOutcome>> Got;
    TimePoint GotAt{};
    /// Executions of the key when the answer came.
    int ExecutionsThen = 0;
  };

  explicit BookingFleet(std::uint64_t Seed,
                        RunnerCheck Checks = RunnerCheck::None, int Hosts = 3);
  ~BookingFleet();

  static std::string hostName(int I) { return "k" + std::to_string(I + 1); }

  /// The host's process ends; others notice after some seconds, and a new
  /// one with the same name starts later unless told otherwise.
  void crash(const std::string &Host, bool Restart = true);
  void pause(const std::string &Host, Duration Span);
  void storeDown(Duration Span);
  void cutOffFromStore(const std::string &Host, Duration Span);

  Uuid7 newKey();
  std::size_t book(const std::string &Host, const Uuid7 &Key, Duration Timeout,
                   const std::string &Body = "slot 7");
  std::size_t query(const std::string &Host, const Uuid7 &Key);
  Answer &answer(std::size_t I) { return *Answers[I]; }
  bool allAnswered() const;

  int executions(const std::string &Key) const;
  bool alive(const std::string &Host) const;
  BookingController &controller(const std::string &Host);
  Blackboard &board(const std::string &Host);
  /// Name of the host that the store's record names for the key's shard.
  std::string ownerOf(const Uuid7 &Key) const;

  VirtualTime Time;
  FakeNetwork Network;
  FakeStore Store;
  std::function<RunnerFault(const HostId &)> PickRunnerFault;
  std::vector<std::shared_ptr<Answer>> Answers;

private:
  struct Life;

  void start(const std::string &Host, Incarnation Number);
  void announce(const std::string &Host, PeerState State);
  EndpointHooks runners(const VirtualHost &Host);
  void run(const VirtualHost &Host, const EndpointCall &Call,
           const CallObserver &Observer);
  std::string execute(const EndpointCall &Call);

  RunnerCheck Checks_;
  TablesSnapshot Tables_;
  std::map<std::string, std::unique_ptr<Life>> Lives_;
  std::vector<std::unique_ptr<Life>> Ended_;
  std::map<std::string, Incarnation> Numbers_;
  std::map<std::string, int> Executions_;
};

} // namespace celerybeam::testing

#endif
