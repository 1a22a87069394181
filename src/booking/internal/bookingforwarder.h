#ifndef CELERYBEAM_BOOKING_INTERNAL_BOOKINGFORWARDER_H
#define CELERYBEAM_BOOKING_INTERNAL_BOOKINGFORWARDER_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "booking/internal/bookingcontext.h"
#include "booking/internal/shardowner.h"

namespace celerybeam::detail {

/// Takes the bookings and queries of this host's callers to the owner of
/// their shard and brings the answers back by the deadline. Not thread-safe.
class BookingForwarder {
public:
  /// A booking or a query of a caller.
  struct Request {
    std::uint32_t Shard = 0;
    std::string Key;
    CustomerId Customer;
    /// Empty for a query.
    std::optional<OwnedOrder> Order;
    TimePoint Deadline{};
    Completion<BookingOutcome> Done;
  };

  /// Serves a request on this host itself.
  using ServeHere =
      std::function<void(const Request &, BookingWaiter, Effects &)>;

  BookingForwarder(BookingContext &Context, ServeHere Serve)
      : Context_(Context), Serve_(std::move(Serve)) {}

  void start(Request R, Effects &Out);
  void tick(Effects &Out);
  void answered(const HostId &From, const messages::BookingReply &Reply,
                Effects &Out);
  bool idle() const { return Calls_.empty(); }

private:
  struct Call {
    Request What;
    /// Hosts that were asked and have not said that they did nothing, with
    /// the id that each was asked under.
    std::map<HostId, std::string> Open;
    HostId Hint;
    std::size_t Try = 0;
    TimePoint NextSend{};
    std::optional<Error> Refusal;
  };

  /// An answer of this host itself.
  struct Arrival {
    std::uint64_t Id = 0;
    HostId From;
    Result<BookingOutcome> Answer;
  };

  void send(std::uint64_t Id, Call &C, Effects &Out);
  void sendMessage(const HostId &To, const std::string &RequestName,
                   const Request &R, Effects &Out);
  HostId targetOf(const Call &C) const;
  /// Takes an answer; true when the call is finished.
  bool take(Call &C, const HostId &From, const Result<BookingOutcome> &Answer,
            const HostId &Hint, Effects &Out);
  void finish(Call &C, const Result<BookingOutcome> &Answer, Effects &Out);
  static Result<BookingOutcome> atDeadline(const Call &C);

  BookingContext &Context_;
  ServeHere Serve_;
  std::uint64_t NextId_ = 1;
  std::uint64_t NextName_ = 1;
  std::map<std::uint64_t, Call> Calls_;
  std::vector<Arrival> Arrived_;
};

/// A reply as it goes over the wire, and back.
messages::BookingReply toWire(const Result<BookingOutcome> &Answer);
Result<BookingOutcome> fromWire(const messages::BookingReply &Reply);

} // namespace celerybeam::detail

#endif
