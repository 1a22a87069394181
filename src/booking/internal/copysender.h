#ifndef CELERYBEAM_BOOKING_INTERNAL_COPYSENDER_H
#define CELERYBEAM_BOOKING_INTERNAL_COPYSENDER_H

#include <map>

#include "booking/internal/bookingcontext.h"
#include "booking/internal/ledgertable.h"

namespace celerybeam::detail {

/// The owner's side of going on without the store: copies what the store
/// lacks to the other hosts of the region and counts their promises. Not
/// thread-safe.
class CopySender {
public:
  CopySender(BookingContext &Context, std::uint32_t Shard)
      : Context_(Context), Shard_(Shard) {}

  /// Begins an outage: peers know nothing yet.
  void begin(ChangeNumber Durable);
  /// Sends what peers lack, and a heartbeat when it is time.
  void send(const LedgerTable &Table, std::uint64_t Epoch, Effects &Out);
  /// Tells peers that the store has everything.
  void flushed(std::uint64_t Epoch, Effects &Out);

  void acknowledged(const HostId &Peer, const messages::IntentCopyAck &Ack);

  /// Whether a majority of the region holds the change and is bound to this
  /// owner now.
  bool holds(ChangeNumber Change) const;
  /// A peer that reaches the store, or is bound to another owner, said no.
  bool refused() const;

private:
  struct Sent {
    ChangeNumber UpTo = 0;
    TimePoint At{};
  };
  struct PeerProgress {
    ChangeNumber Acknowledged = 0;
    TimePoint PromisedUntil{};
    TimePoint LastSent{};
    ChangeNumber LastSentUpTo = 0;
    std::map<std::uint64_t, Sent> Open;
  };

  void sendTo(const HostId &Peer, PeerProgress &P, const LedgerTable &Table,
              std::uint64_t Epoch, Effects &Out);

  BookingContext &Context_;
  std::uint32_t Shard_;
  std::uint64_t NextSerial_ = 1;
  ChangeNumber Durable_ = 0;
  TimePoint RefusedAt_{};
  std::map<HostId, PeerProgress> Progress_;
};

} // namespace celerybeam::detail

#endif
