#ifndef CELERYBEAM_DISPATCH_INTERNAL_CRASHJUDGE_H
#define CELERYBEAM_DISPATCH_INTERNAL_CRASHJUDGE_H

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "dispatch/crashtracker.h"

namespace celerybeam::detail {

struct CountedRun {
  CrashSuspects Suspects;
  TimePoint SentAt{};
};

struct CountedCrash {
  EndpointKey Endpoint;
  TimePoint At{};
  std::vector<CountedRun> Runs;
};

/// What is known of a suspect besides the crashes.
struct SuspectStats {
  bool IsWhole = false;
  /// First output of its latest run that turned out sound.
  std::optional<TimePoint> SoundAt;
  /// Share of the scope's requests that have it, in (0, 1).
  double Share = 1;
};

/// The crashes that count against one suspect.
struct SuspectFinding {
  CrashSuspect Suspect;
  std::size_t Crashes = 0;
  /// Whether it reaches its limit, but not with the crashes that others don't
  /// explain.
  bool IsExplainedByOthers = false;
  /// Whether the suspect is the best explanation of its crashes.
  bool IsCause = false;
  TimePoint First{};
  TimePoint Latest{};
  std::vector<EndpointKey> Endpoints;
};

/// Finds the suspects that explain a list of crashes.
///
/// From its share of the requests and the number of runs that a crash breaks
/// off follows in how many crashes a suspect would be by chance. The suspect
/// for which the real number is the least likely is taken first, and the
/// crashes that it explains are taken away from the others. Whole requests come
/// last: each of many requests with the same bad part would explain its own
/// crashes best.
class CrashJudge {
public:
  using Stats = std::function<SuspectStats(CrashSuspect)>;

  /// \param Crashes  ordered by time.
  CrashJudge(const std::deque<CountedCrash> &Crashes, const Stats &StatsOf);

  /// The suspects with two crashes or more.
  std::vector<SuspectFinding> findings();

private:
  struct Candidate {
    CrashSuspect Suspect;
    CrashScope Scope;
    SuspectStats Known;
    /// Indices of the crashes that count.
    std::vector<std::size_t> Sightings;
    /// Whole requests that were in each crash together with the part.
    std::vector<CrashSuspect> CommonWholes;
    std::vector<CrashSuspect> WholesOfLatest;
    bool IsCause = false;
  };

  void add(CrashSuspect Suspect, std::size_t Crash, const CountedRun &Run);
  /// Counts for each suspect in how many crashes it is.
  void countOccurrences();
  static void closeSighting(Candidate &C);
  /// Crashes without a common cause that no other suspect explains.
  std::size_t count(const Candidate &C) const;
  struct Evidence {
    /// Logarithm of how much more likely it is that the suspect is in so many
    /// of the crashes since its first one if it is their cause than by chance;
    /// zero if chance explains it.
    double Strength = 0;
    /// Whether it is in all of these crashes.
    bool IsInAll = false;
  };
  Evidence evidenceOf(const Candidate &C) const;
  bool mayBeCause(const Candidate &C, bool Wholes) const;
  void findCauses(bool Wholes);
  static std::size_t limitOf(const Candidate &C);
  std::size_t runsOf(CrashScope Scope, std::size_t Crash) const;
  SuspectFinding findingOf(const Candidate &C) const;

  const std::deque<CountedCrash> &Crashes_;
  const Stats &StatsOf_;
  std::vector<Candidate> Candidates_;
  std::unordered_map<CrashSuspect, std::size_t> IndexOf_;
  struct Occurrences {
    std::size_t Crashes = 0;
    std::size_t Latest = 0;
  };
  std::unordered_map<CrashSuspect, Occurrences> OccurrencesOf_;
  std::vector<bool> IsExplained_;
};

} // namespace celerybeam::detail

#endif
