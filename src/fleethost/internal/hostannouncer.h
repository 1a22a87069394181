#ifndef CELERYBEAM_FLEETHOST_INTERNAL_HOSTANNOUNCER_H
#define CELERYBEAM_FLEETHOST_INTERNAL_HOSTANNOUNCER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet/storeaccess.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// Announces this host in the store under a lease from when it first becomes an
/// aggregator until it shuts down, and reads the other hosts' entries. With it
/// hosts find each other when no configured contact address responds.
///
/// Handles this load pattern: "each host pays for its own entry and reads all
/// others". Calls grow with the regions, not with the hosts. Only hosts that
/// are or were aggregators have an entry, and only aggregators read the entries
/// periodically; another host reads them only while it receives no message from
/// any host. Such a host considers itself the first of its region, hence an
/// aggregator, and has an entry, too.
class HostAnnouncer : public std::enable_shared_from_this<HostAnnouncer> {
public:
  struct Hooks {
    /// Called with the address of each host that has an entry.
    std::function<void(const std::string &Ip)> Found;
    /// Whether this host is an aggregator of its region.
    std::function<bool()> IsAggregator;
    /// Whether it receives no messages from other hosts.
    std::function<bool()> IsAlone;
  };

  /// \param Prefix  key prefix of all hosts' entries.
  /// \param Key  key of this host's entry.
  HostAnnouncer(Runtime R, StoreAccess Store, std::string Prefix,
                std::string Key, std::string Ip, Hooks H);

  void start();
  /// Writes the entry again under a new lease after the store was rolled back
  /// to an older copy: the entry and its lease are gone, and the lease's number
  /// may be assigned to another host.
  void storeRolledBack(std::uint64_t Era);
  /// Removes the entry without waiting for the response.
  void withdraw();

  /// The store removes the entry of a dead host after this time.
  static constexpr Duration TimeToLive = std::chrono::seconds(30);
  /// Time between renewals of the lease, a third of its time to live.
  static constexpr Duration RenewInterval = std::chrono::seconds(10);
  /// Lost entries are written again within this time, spread over the hosts.
  static constexpr Duration ReannounceSpread = std::chrono::seconds(1);
  /// How often a host checks whether it needs an entry or has to read the
  /// others'. Replies to greetings at its contact addresses arrive well within
  /// this time.
  static constexpr Duration CheckInterval = std::chrono::seconds(1);
  /// Longest time between two reads, and the time between the reads of an
  /// aggregator that receives messages. Partitions heal without reads, but two
  /// parts of a fleet may have forgotten each other. A host that keeps
  /// receiving no messages is partitioned, and most of the fleet may be in the
  /// same state. Each read is paid for, so it doubles the time between reads up
  /// to this limit.
  static constexpr Duration MaxListInterval = std::chrono::seconds(10);

private:
  void announce();
  void renew();
  void check();
  void list();
  void schedule(Duration D, void (HostAnnouncer::*Then)());
  /// Schedules a step for the current entry; it is dropped when the store is
  /// rolled back before.
  void scheduleInRound(Duration D, void (HostAnnouncer::*Then)());

  Runtime Runtime_;
  StoreAccess Store_;
  std::string Prefix_;
  std::string Key_;
  std::string Ip_;
  Hooks Hooks_;
  std::optional<LeaseId> Lease_;
  std::uint64_t Era_ = 0;
  /// Grows with each rollback of the store; pending steps for an earlier entry
  /// are dropped.
  std::uint64_t Round_ = 0;
  TimePoint NextList_{};
  /// Time to the next read while no messages are received; grows with each
  /// read.
  Duration AloneListInterval_ = CheckInterval;
  bool Announces_ = false;
  bool Listing_ = false;
  bool HasListed_ = false;
  bool Withdrawn_ = false;
};

} // namespace celerybeam::detail

#endif
