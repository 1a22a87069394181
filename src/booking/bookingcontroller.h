#ifndef CELERYBEAM_BOOKING_BOOKINGCONTROLLER_H
#define CELERYBEAM_BOOKING_BOOKINGCONTROLLER_H

#include <memory>
#include <string>

#include "blackboard/blackboard.h"
#include "blackboard/calltypes.h"
#include "framework/runtime.h"
#include "framework/storehooks.h"
#include "framework/uuid7.h"
#include "messages/peerhooks.h"

namespace celerybeam {

/// A caller's request to make a booking. The call to the runner must not be
/// repeated, unless the runner checks the key.
struct BookingOrder {
  RequestId Request;
  Uuid7 Key;
  CustomerId Customer;
  RouteName Route;
  PoolName Pool;
  /// Sent to the runner as it is, except for the headers `idempotency-key`
  /// and `x-fencing`, which the controller sets.
  RequestHead Head;
  std::shared_ptr<const std::string> Body;
  TimePoint Deadline{};
};

enum class BookingState {
  /// The runner's response is known.
  Done,
  /// The booking did not run and never will under this key.
  NotRun,
  /// Sent to a runner that has not responded yet.
  Running,
  /// The booking may have run.
  Unknown,
};

/// What is known about a booking. The response fields are set for Done.
struct BookingOutcome {
  BookingState State = BookingState::Unknown;
  /// HTTP status of the runner's response.
  int Status = 0;
  std::string ContentType;
  std::string Response;
};

/// Chooses a runner of the pool for one dispatch; empty when none accepts
/// work.
using RunnerPicker = std::function<std::optional<EndpointDescriptor>(
    const PoolName &, const std::vector<EndpointId> &Excluded)>;

/// Runs each booking at most once and reports its outcome.
///
/// A region's ledger is kept in the platform's store and is divided into
/// shards by key. The host that owns a shard writes the intents and outcomes of
/// many bookings with one compare-and-swap. Other hosts forward bookings to
/// the owner.
///
/// Reads: tables, endpoints, peers. Writes: nothing on the blackboard.
/// Runs on: book, query, messages, store completions, runner responses, tick.
/// Thread-safe; completions run without a lock held.
class BookingController {
public:
  BookingController(Blackboard &Board, Runtime R, StoreHooks Store,
                    PeerHooks Peers, EndpointHooks Calls,
                    RunnerPicker PickRunner);
  ~BookingController();

  /// Makes the booking, or reports the outcome of an earlier call with the
  /// same key. Completes by the deadline with the outcome or an error:
  ///   OutcomeUnknown  the booking may have run or may still run,
  ///   KeyReused       the key belongs to another payload or customer,
  ///   ExpiredKey      the key is older than the retention or too far in the
  ///                   future,
  ///   NotReady, NoEndpoint, Overloaded   the booking did not run
  ///                                      (RetryAfter is set).
  void book(BookingOrder Order, Completion<BookingOutcome> Done);

  /// Reports the outcome of the booking with the key. Errors: NotFound;
  /// OutcomeUnknown when no owner replies in time or the owner may not know
  /// all bookings of its predecessor.
  void query(const CustomerId &Customer, const Uuid7 &Key, TimePoint Deadline,
             Completion<BookingOutcome> Done);

  /// Handles booking and intent messages; ignores all others.
  void handle(const messages::Envelope &Message);

  /// Claims and hands over shards, writes changes to the store and removes old
  /// keys. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(20);

  /// Hands over all shards before this host shuts down. Completes when the
  /// outcomes of all dispatched bookings are recorded.
  void leave(Completion<void> Done);

  /// Keys are refused when they were created longer ago than this. The ledger
  /// keeps a key at least this long after its creation.
  static constexpr Duration Retention = std::chrono::hours(48);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
