#ifndef CELERYBEAM_CONFIGURATION_CONFIGURATIONCONTROLLER_H
#define CELERYBEAM_CONFIGURATION_CONFIGURATIONCONTROLLER_H

#include <functional>
#include <memory>

#include "blackboard/blackboard.h"
#include "framework/runtime.h"
#include "framework/storehooks.h"
#include "messages/peerhooks.h"

namespace celerybeam {

/// What the daemon may want to log. Unset hooks are not called.
struct ConfigurationEvents {
  /// A revision is in force on this host now.
  std::function<void(Revision)> Adopted;
  /// A revision was found and not put in force.
  std::function<void(const Error &)> Refused;
};

/// Brings accepted changes of the tables into force on this host and passes
/// them on.
///
/// A few hosts of each zone, by rendezvous rank among the live ones, watch
/// the head in the platform's store; all hosts hear of revisions by gossip
/// and fetch the rows that changed from peers. A revision is adopted only if
/// it is higher than the one in force and its digest fits.
///
/// Reads: peers, tables. Writes: tables. Wakes: start, tick, messages, store
/// completions. Thread-safe. Store calls that end after the destructor are
/// ignored, but none may be ending on another thread while it runs.
class ConfigurationController {
public:
  ConfigurationController(Blackboard &Board, Runtime R, StoreHooks Store,
                          PeerHooks Peers, ConfigurationEvents Events = {});
  ~ConfigurationController();

  /// Takes RevisionRequest, RevisionReply and the revisions in Gossip;
  /// ignores other bodies.
  void handle(const messages::Envelope &Message);

  /// Watches, fetches and retries. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);

  /// Whether a revision is in force, or the store has said that there is
  /// none yet and no peer has one.
  bool ready() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
