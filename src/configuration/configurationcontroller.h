#ifndef CELERYBEAM_CONFIGURATION_CONFIGURATIONCONTROLLER_H
#define CELERYBEAM_CONFIGURATION_CONFIGURATIONCONTROLLER_H

#include <functional>
#include <memory>

#include "blackboard/blackboard.h"
#include "framework/runtime.h"
#include "framework/storehooks.h"
#include "messages/peerhooks.h"

namespace celerybeam {

/// Hooks through which the daemon logs configuration events. Unset hooks are
/// not called.
struct ConfigurationEvents {
  /// Called when a revision has come into force on this host.
  std::function<void(Revision)> Adopted;
  /// Called when a revision was received and rejected.
  std::function<void(const Error &)> Refused;
};

/// Puts accepted changes of the tables in force on this host and distributes
/// them to other hosts.
///
/// A few hosts of each zone, by rendezvous rank among the live ones, watch
/// the head in the platform's store; all hosts learn of revisions by gossip
/// and fetch the rows that changed from peers. A revision is adopted only if
/// it is higher than the one in force and its digest matches.
///
/// Reads: peers, tables. Writes: tables. Runs on: start, tick, messages, store
/// completions. Thread-safe. Store calls that end after the destructor are
/// ignored, but none may end on another thread while the destructor runs.
class ConfigurationController {
public:
  ConfigurationController(Blackboard &Board, Runtime R, StoreHooks Store,
                          PeerHooks Peers, ConfigurationEvents Events = {});
  ~ConfigurationController();

  /// Handles RevisionRequest, RevisionReply and the revisions in Gossip;
  /// ignores other bodies.
  void handle(const messages::Envelope &Message);

  /// Reads the head, fetches from peers and retries. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);

  /// Whether a revision is in force, or the store has reported that there is
  /// none yet and no peer has one.
  bool ready() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
