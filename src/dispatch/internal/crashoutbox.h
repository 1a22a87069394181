#ifndef CELERYBEAM_DISPATCH_INTERNAL_CRASHOUTBOX_H
#define CELERYBEAM_DISPATCH_INTERNAL_CRASHOUTBOX_H

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "dispatch/internal/crashjudge.h"

namespace celerybeam::detail {

/// The report of a crash, for other hosts.
CrashReport reportOf(const CountedCrash &Crash, TimePoint Now);

/// What a host has to tell the others about crashes, and when.
///
/// What the host has seen itself is sent more than once, since a datagram may
/// be lost. What others reported is forwarded once, while it is new.
class CrashOutbox {
public:
  using RefusalReport =
      std::function<std::optional<RefusedSuspect>(CrashSuspect)>;

  void addCrash(const CountedCrash &Crash, bool IsOwn, TimePoint Now);
  void addSound(CrashSuspect Suspect, TimePoint BegunAt, bool IsOwn,
                TimePoint Now);
  /// A refusal or trial of this host.
  void addRefusal(CrashSuspect Suspect, TimePoint Now);
  /// A trial that another host began this long ago.
  void addForeignTrial(CrashSuspect Suspect, Duration Since);

  /// Takes what is due.
  /// \param ForwardsOthers  whether to include what other hosts reported.
  /// \param Report  gives the report of a suspect that is still refused.
  CrashNews take(bool ForwardsOthers, TimePoint Now,
                 const RefusalReport &Report);

private:
  CountedCrash notForwarded(CountedCrash Crash, bool IsOwn, TimePoint Now);

  struct Outgoing {
    CountedCrash Crash;
    TimePoint Due{};
    bool IsOwn = false;
    bool IsRepeat = false;
  };
  struct OutgoingSound {
    CrashSuspect Suspect;
    TimePoint BegunAt{};
    bool IsOwn = false;
  };
  struct OutgoingRefusal {
    CrashSuspect Suspect;
    TimePoint Due{};
    unsigned Left = 0;
  };

  std::vector<Outgoing> Crashes_;
  std::vector<OutgoingSound> Sound_;
  std::vector<OutgoingRefusal> Refusals_;
  std::vector<CrashSuspect> ForeignTrials_;
  /// When a run was put into Crashes_, by endpoint and request.
  std::unordered_map<std::uint64_t, TimePoint> Forwarded_;
};

} // namespace celerybeam::detail

#endif
