#ifndef CELERYBEAM_DISPATCH_CRASHTYPES_H
#define CELERYBEAM_DISPATCH_CRASHTYPES_H

#include <optional>
#include <vector>

#include "dispatch/crashsuspects.h"
#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// A run that an endpoint's crash broke off before it had shown its request to
/// be sound.
struct CrashedRun {
  CrashSuspects Suspects;
  /// Time from its send to the crash.
  Duration SentBefore{};
};

/// Reports the crash of an endpoint and the runs that it broke off at one host.
struct CrashReport {
  EndpointKey Endpoint;
  Duration Age{};
  std::vector<CrashedRun> Runs;
};

/// Reports that a run with the suspect went on or completed.
struct SoundReport {
  CrashSuspect Suspect;
  /// Time since the run's first output.
  Duration BegunBefore{};
};

/// Reports a suspect that is refused.
struct RefusedSuspect {
  CrashSuspect Suspect;
  CrashScope Scope;
  bool IsWhole = false;
  std::uint32_t Crashes = 0;
  /// Time since the first and the latest of the crashes that count.
  Duration SinceFirst{};
  Duration SinceLatest{};
  std::uint32_t Trials = 0;
  /// Unset before the first trial.
  std::optional<Duration> SinceTrial;
};

/// What hosts tell each other about crashes.
struct CrashNews {
  std::vector<CrashReport> Crashes;
  std::vector<SoundReport> Sound;
  std::vector<RefusedSuspect> Refused;

  bool isEmpty() const {
    return Crashes.empty() && Sound.empty() && Refused.empty();
  }
};

/// Why a request is refused.
struct CrashVerdict {
  CrashSuspect Suspect;
  /// Index of the part among the request's shared parts; unset for the whole
  /// request.
  std::optional<std::size_t> Part;
  std::uint32_t Crashes = 0;
  Duration SinceLatest{};
  std::uint32_t Trials = 0;
  /// When a trial may be due.
  Duration RetryAfter{};
  /// Whether this host may send the request as the trial that is due.
  bool MayTry = false;
};

/// A change of what is believed about crashes, for the log.
struct CrashChange {
  enum class Kind {
    /// An endpoint's crash was counted.
    Crashed,
    /// An endpoint broke off a run and goes on, so this is no crash.
    KeptRunning,
    Refused,
    Cleared,
    TrialBegun,
  };
  Kind What = Kind::Crashed;
  /// Set for Crashed and KeptRunning.
  EndpointKey Endpoint;
  std::size_t Runs = 0;
  /// Age of the crash, or of the latest one that counts against the suspect.
  Duration Age{};
  /// Set for the other kinds.
  CrashSuspect Suspect;
  bool IsWhole = false;
  std::uint32_t Crashes = 0;
  /// Arrivals with the suspect, and all of its scope, at this host lately.
  std::uint32_t Arrivals = 0;
  std::uint32_t ScopeArrivals = 0;
  std::uint32_t Trials = 0;
  /// One word.
  const char *Why = "";
};

} // namespace celerybeam

#endif
