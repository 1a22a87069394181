#ifndef CELERYBEAM_FLEETHOST_INTERNAL_PEERCONFIRMATION_H
#define CELERYBEAM_FLEETHOST_INTERNAL_PEERCONFIRMATION_H

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/hostregistry.h"
#include "fleet/recencycheck.h"
#include "fleet/storemirror.h"
#include "fleethost/fleethost.h"
#include "fleethost/internal/sourceranking.h"

namespace celerybeam::detail {

/// What an entry host's mirrors include, without their content.
struct MirrorSummary {
  RegionId Region;
  /// See StoreMirror::includedFrom.
  StoreRevision Operator;
  StoreRevision Endpoints;
  /// Whether the host knows of no change of the operator's tables that it
  /// lacks.
  bool Current = false;
  /// See StoreMirror::isSettling; of the operator's tables.
  bool Settling = false;
};

using SummaryAnswer = std::function<void(Result<MirrorSummary>)>;

/// Has other hosts confirm this host's copies of the store after a start or a
/// standstill, and fetches the changes that it has missed.
///
/// Handles this load pattern: "many hosts start or wake at the same time, and
/// bytes between regions are paid for". A host without changes to hand over
/// answers with a summary. Missing changes come from hosts of this region; from
/// another region only the operator's tables are fetched, only if the own
/// region has not provided them within FarDelay, and at most once per
/// FarInterval. Missing endpoint entries are not fetched from another region,
/// since no confirmation depends on them and the registry's updates cause their
/// fetch. Not thread-safe.
class PeerConfirmation : public std::enable_shared_from_this<PeerConfirmation> {
public:
  /// The callbacks may come late but never on the calling stack.
  struct Hooks {
    std::function<void(const std::string &Ip, SummaryAnswer)> AskSummary;
    std::function<void(const std::string &Ip, MirrorPart, StoreRevision Since,
                       StoreMirrorHooks::Answer)>
        FetchChanges;
    /// The operator's tables include all that a current host knew when it was
    /// asked for this episode.
    std::function<void(RecencyCheck::Episode)> Confirmed;
    /// Whether an episode's confirmation is still needed.
    std::function<bool()> IsNeeded;
    /// See MirrorCatchUp::Hooks. May be empty.
    std::function<bool(MirrorPart)> IsReceiving = {};
  };

  PeerConfirmation(Runtime R, const HostRegistry &Hosts, SourceRanking &Sources,
                   StoreMirror &Operator, StoreMirror &Endpoints, Hooks H);

  /// Asks a few hosts for an episode, except those whose answer for it is
  /// outstanding.
  void ask(RecencyCheck::Episode Asked);

  /// Time that hosts of this region have to provide missing changes before they
  /// are fetched from another region. A random part of up to the same length is
  /// added, so that the first host that has them can hand them to the others of
  /// its region.
  static constexpr Duration FarDelay = std::chrono::milliseconds(100);
  /// The same while no host of this region is known to be alive: datagrams that
  /// came during a standstill have been read by then.
  static constexpr Duration LoneFarDelay = std::chrono::milliseconds(50);
  /// Shortest time between two fetches from other regions for an episode.
  static constexpr Duration FarInterval = std::chrono::milliseconds(500);

private:
  /// Hosts to ask in a round: a few of this region and one of another.
  std::vector<std::string> drawHosts() const;
  void answered(const std::string &Ip, const MirrorSummary &Got);
  /// Whether this host's operator tables include all that a host knew.
  bool includes(const MirrorSummary &Got) const;
  void fetch(const std::string &Ip, MirrorPart Part);
  void fetchFromFarLater(const std::string &Ip, const MirrorSummary &Got);
  /// Wraps a callback so that it is ignored after a new episode has begun.
  template <typename Value>
  std::function<void(Result<Value>)>
  duringEpisode(std::function<void(Result<Value>)> Then);

  Runtime Runtime_;
  const HostRegistry &Hosts_;
  SourceRanking &Sources_;
  StoreMirror &Operator_;
  StoreMirror &Endpoints_;
  Hooks Hooks_;
  RecencyCheck::Episode Episode_;
  /// Hosts whose summary is outstanding.
  std::set<std::string> Asking_;
  std::set<std::pair<std::string, MirrorPart>> Fetching_;
  bool FarFetchScheduled_ = false;
  std::optional<TimePoint> FarFetchedAt_;
};

} // namespace celerybeam::detail

#endif
