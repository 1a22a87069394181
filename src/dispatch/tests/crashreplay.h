#ifndef CELERYBEAM_DISPATCH_TESTS_CRASHREPLAY_H
#define CELERYBEAM_DISPATCH_TESTS_CRASHREPLAY_H

#include <functional>
#include <list>
#include <memory>
#include <set>
#include <vector>

#include "dispatch/crashtracker.h"
#include "support/virtualtime.h"

namespace celerybeam::testing {

/// Hosts of one fleet that send streams to engines, of which some crash, on
/// virtual time. Hosts tell each other what they see of crashes.
class CrashReplay {
public:
  struct Settings {
    std::size_t Hosts = 13;
    std::size_t Engines = 18;
    double RequestsPerSecond = 45;
    double BadShare = 0.2;
    /// A request that breaks off is sent once more.
    unsigned Attempts = 2;
    Duration FirstOutput = std::chrono::milliseconds(150);
    Duration CrashAfter = std::chrono::milliseconds(90);
    Duration Stream = std::chrono::milliseconds(1500);
    Duration DownFor = std::chrono::milliseconds(3400);
    Duration NewsDelay = std::chrono::milliseconds(80);
    double NewsLost = 0;
    /// Sound requests share this many parts beside the first one.
    unsigned Topics = 6;
    /// Engines crash by themselves, so far apart; zero: they don't.
    Duration CrashEvery{};
    std::uint64_t Seed = 1;
  };

  explicit CrashReplay(const Settings &S);

  void run(Duration Span);
  /// Ends so many engines at the same moment.
  void endEngines(std::size_t Count);
  /// Replaces a host's process; the others tell the new one what they know.
  void restartHost(std::size_t Index);

  /// Sends that reached an engine with the bad part since a time.
  std::size_t badSendsSince(TimePoint Since) const;
  /// Crashes under the bad part.
  std::vector<TimePoint> badCrashes() const { return BadCrashes_; }
  /// Share of the sound requests since a time whose first attempt had output.
  double soundShareSince(TimePoint Since) const;
  /// Hosts that refuse a request now that holds this part beside others.
  std::size_t hostsRefusing(std::uint64_t Part) const;

  VirtualTime Time;
  Settings Now;
  std::size_t SoundRefused = 0;
  bool IsBadMended = false;
  /// Groups of hosts that can't hear each other; all are in one at first.
  std::vector<int> GroupOfHost;

  static constexpr std::uint64_t FirstPart = 1;
  static constexpr std::uint64_t BadPart = 666;
  static constexpr std::uint64_t FirstTopic = 100;

private:
  struct Engine;
  struct Run;
  struct Request {
    CrashSuspects Suspects;
    bool IsBad = false;
    std::size_t Host = 0;
    unsigned AttemptsLeft = 0;
  };

  static CrashSuspects suspects(std::uint64_t Topic, std::uint64_t Id);
  std::unique_ptr<CrashTracker> makeHost(std::size_t Index);
  void arrive();
  void send(const std::shared_ptr<Request> &R, bool IsFirst);
  void crash(const std::shared_ptr<Engine> &E);
  void exchangeNews();

  std::vector<std::unique_ptr<CrashTracker>> Hosts_;
  std::vector<std::shared_ptr<Engine>> Engines_;
  std::vector<TimePoint> BadSends_;
  std::vector<TimePoint> BadCrashes_;
  std::vector<std::pair<TimePoint, bool>> Sound_;
  std::uint64_t Requests_ = 0;
  std::uint64_t Boots_ = 0;
  double Due_ = 0;
  TimePoint NextCrash_{};
};

} // namespace celerybeam::testing

#endif
