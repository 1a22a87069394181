#ifndef CELERYBEAM_BOOKING_INTERNAL_INTENTREPLICATOR_H
#define CELERYBEAM_BOOKING_INTERNAL_INTENTREPLICATOR_H

#include <map>

#include "booking/internal/bookingcontext.h"
#include "booking/internal/ledgertable.h"

namespace celerybeam::detail {

/// Used by a shard's owner during a store outage: sends the changes that are
/// not in the store to the other hosts of the region and counts their promises.
/// Not thread-safe.
class IntentReplicator {
public:
  IntentReplicator(BookingContext &Context, std::uint32_t Shard)
      : Context_(Context), Shard_(Shard) {}

  /// Starts an outage. Durable is the last change in the store; no peer has
  /// any later change.
  void beginOutage(ChangeNumber Durable);
  /// Sends each peer the changes it has not acknowledged, and heartbeats.
  void sendChanges(const LedgerTable &Table, std::uint64_t Epoch, Effects &Out);
  /// Notifies peers that the store has all changes. They drop their copies and
  /// are no longer bound by their promises.
  void sendFlushed(std::uint64_t Epoch, Effects &Out);

  void handleAck(const HostId &Peer, const messages::IntentCopyAck &Ack);

  /// Whether a majority of the region has the change and is currently bound
  /// to this owner.
  bool isHeldByMajority(ChangeNumber Change) const;
  /// Whether a peer recently refused a copy because it reaches the store or is
  /// bound to another owner.
  bool wasRefused() const;

private:
  /// A copy that was sent and is not acknowledged yet.
  struct SentCopy {
    ChangeNumber UpTo = 0;
    TimePoint SentAt{};
  };
  /// What one peer was sent and has acknowledged.
  struct PeerProgress {
    ChangeNumber Acknowledged = 0;
    TimePoint PromisedUntil{};
    TimePoint LastSentAt{};
    ChangeNumber LastSentUpTo = 0;
    std::map<std::uint64_t, SentCopy> OpenCopies;
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
