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

/// A call that may not be repeated.
struct BookingOrder {
  RequestId Request;
  Uuid7 Key;
  CustomerId Customer;
  RouteName Route;
  PoolName Pool;
  /// As the runner gets it.
  RequestHead Head;
  std::shared_ptr<const std::string> Body;
  TimePoint Deadline{};
};

enum class BookingState {
  /// The runner's answer is known.
  Done,
  /// It did not run and never will under this key.
  NotRun,
  /// Dispatched, no answer yet.
  Running,
  /// It may have run.
  Unknown,
};

struct BookingOutcome {
  BookingState State = BookingState::Unknown;
  /// Set for Done.
  int Status = 0;
  std::string ContentType;
  std::string Answer;
};

/// Picks a runner of the pool for one dispatch; empty when there is none.
using RunnerPicker = std::function<std::optional<EndpointDescriptor>(
    const PoolName &, const std::vector<EndpointId> &Excluded)>;

/// Runs each booking at most once and tells its outcome.
///
/// The ledger of a region lies in the platform's store, cut into shards by
/// key; the owner of a shard commits intents and outcomes of many bookings in
/// one compare-and-swap. Other hosts forward to the owner.
///
/// Reads: tables, endpoints, peers. Writes: nothing on the blackboard.
/// Wakes: book, query, messages, store completions, runner answers, tick.
/// Thread-safe; completions run without a lock held.
class BookingController {
public:
  BookingController(Blackboard &Board, Runtime R, StoreHooks Store,
                    PeerHooks Peers, EndpointHooks Calls, RunnerPicker Pick);
  ~BookingController();

  /// Books, or tells the outcome of the earlier call with the same key.
  /// Completes by the deadline: with the outcome, or with an error:
  ///   OutcomeUnknown  it may run or have run,
  ///   KeyReused       the key belongs to another payload or customer,
  ///   ExpiredKey      the key is older than the retention or too far in the
  ///                   future,
  ///   NotReady, NoEndpoint, Overloaded   it did not run (RetryAfter set).
  void book(BookingOrder Order, Completion<BookingOutcome> Done);

  /// Tells the outcome of a key. Errors: NotFound, OutcomeUnknown when no
  /// owner can be asked.
  void query(const CustomerId &Customer, const Uuid7 &Key, TimePoint Deadline,
             Completion<BookingOutcome> Done);

  /// Takes the booking and intent messages; ignores other bodies.
  void handle(const messages::Envelope &Message);

  /// Owns, flushes, hands over and forgets. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(20);

  /// Hands all shards over before this host leaves; completes when no
  /// dispatched booking is without its recorded outcome.
  void leave(Completion<void> Done);

  /// For how long a key is remembered after its creation.
  static constexpr Duration Retention = std::chrono::hours(48);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
