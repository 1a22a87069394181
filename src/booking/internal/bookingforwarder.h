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

/// Forwards the bookings and queries of this host's callers to the owner of
/// their shard and returns the replies by the deadline. Not thread-safe.
class BookingForwarder {
public:
  /// A booking or a query from a caller.
  struct Request {
    std::uint32_t Shard = 0;
    std::string Key;
    CustomerId Customer;
    /// Empty for a query.
    std::optional<OwnedOrder> Order;
    TimePoint Deadline{};
    Completion<BookingOutcome> Done;
  };

  /// Handles a request on this host, without a message.
  using ServeLocally =
      std::function<void(const Request &, BookingWaiter, Effects &)>;

  BookingForwarder(BookingContext &Context, ServeLocally Serve)
      : Context_(Context), Serve_(std::move(Serve)) {}

  void start(Request R, Effects &Out);
  void tick(Effects &Out);
  void handleReply(const HostId &From, const messages::BookingReply &Reply,
                   Effects &Out);
  bool idle() const { return Calls_.empty(); }

private:
  /// A request that is not completed yet.
  struct Call {
    Request CallerRequest;
    /// Hosts that the request was sent to and that have not reported that
    /// they did nothing, with the request id that was sent to each.
    std::map<HostId, std::string> OpenRequests;
    /// Owner that the last reply named; may be empty.
    HostId OwnerHint;
    std::size_t Attempt = 0;
    TimePoint NextSendAt{};
    std::optional<Error> LastRefusal;
  };

  /// An outcome that this host itself determined.
  struct LocalReply {
    std::uint64_t Id = 0;
    HostId From;
    Result<BookingOutcome> Outcome;
  };

  void send(std::uint64_t Id, Call &C, Effects &Out);
  void sendMessage(const HostId &To, const std::string &RequestName,
                   const Request &R, Effects &Out);
  HostId targetFor(const Call &C) const;
  /// Processes a reply. Returns true when the call is complete.
  bool processReply(Call &C, const HostId &From,
                    const Result<BookingOutcome> &Outcome,
                    const HostId &OwnerHint, Effects &Out);
  void complete(Call &C, const Result<BookingOutcome> &Outcome, Effects &Out);
  static Result<BookingOutcome> outcomeAtDeadline(const Call &C);

  BookingContext &Context_;
  ServeLocally Serve_;
  std::uint64_t NextCallId_ = 1;
  std::uint64_t NextRequestNumber_ = 1;
  std::map<std::uint64_t, Call> Calls_;
  std::vector<LocalReply> LocalReplies_;
};

/// Convert a reply to and from its wire form.
messages::BookingReply toWire(const Result<BookingOutcome> &Outcome);
Result<BookingOutcome> fromWire(const messages::BookingReply &Reply);

} // namespace celerybeam::detail

#endif
