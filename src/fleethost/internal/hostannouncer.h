#ifndef CELERYBEAM_FLEETHOST_INTERNAL_HOSTANNOUNCER_H
#define CELERYBEAM_FLEETHOST_INTERNAL_HOSTANNOUNCER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet/storeaccess.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// Keeps the entries of a few hosts in the store, each under a lease, so that
/// hosts find each other when no address that they were told at their start
/// answers.
///
/// Answers to "each host pays for its own entry and reads all others": calls
/// grow with the regions, not with the hosts. Those that tell their region of
/// its hosts stand in the store and read it now and then; another host reads it
/// only while it hears nobody. A host that hears nobody is the first of its
/// region in its own eyes, and stands there, too.
class HostAnnouncer : public std::enable_shared_from_this<HostAnnouncer> {
public:
  struct Hooks {
    std::function<void(const std::string &Ip)> Found;
    /// Whether this host tells its region of the hosts there.
    std::function<bool()> IsAggregator;
    /// Whether it hears nobody.
    std::function<bool()> IsAlone;
  };

  /// \param Prefix  of all hosts' entries. \param Key  of the own one.
  HostAnnouncer(Runtime R, StoreAccess Store, std::string Prefix,
                std::string Key, std::string Ip, Hooks H);

  void start();
  /// The store came back from an older copy: the entry and its lease are gone,
  /// and the lease's number may be given to another.
  void storeRolledBack(std::uint64_t Era);
  /// Removes the entry; the answer is not waited for.
  void withdraw();

  /// The entry of a host that has died vanishes after this time.
  static constexpr Duration TimeToLive = std::chrono::seconds(30);
  /// Renewals of the lease, a third of its time.
  static constexpr Duration RenewInterval = std::chrono::seconds(10);
  /// Entries that were lost are written again within this time, spread over the
  /// hosts.
  static constexpr Duration ReannounceSpread = std::chrono::seconds(1);
  /// How often a host looks whether it has to stand in the store or to read it.
  /// Greetings to the addresses that it was told are answered well within this.
  static constexpr Duration CheckInterval = std::chrono::seconds(1);
  /// Longest pause between two reads, and the pause of a messenger that hears
  /// others: partitions heal without reads, but two parts of a fleet may have
  /// forgotten each other. A host that goes on hearing nobody is cut off, and
  /// most of the fleet may be: it reads ever more rarely.
  static constexpr Duration MaxListInterval = std::chrono::seconds(10);

private:
  void announce();
  void renew();
  void check();
  void list();
  void schedule(Duration D, void (HostAnnouncer::*Then)());
  /// A step of the present entry.
  void scheduleInRound(Duration D, void (HostAnnouncer::*Then)());

  Runtime Runtime_;
  StoreAccess Store_;
  std::string Prefix_;
  std::string Key_;
  std::string Ip_;
  Hooks Hooks_;
  std::optional<LeaseId> Lease_;
  std::uint64_t Era_ = 0;
  /// Grows with each return of the store; steps of an entry of before end.
  std::uint64_t Round_ = 0;
  TimePoint NextList_{};
  /// While it hears nobody; grows with each read.
  Duration AloneListInterval_ = CheckInterval;
  bool Announces_ = false;
  bool Listing_ = false;
  bool HasListed_ = false;
  bool Withdrawn_ = false;
};

} // namespace celerybeam::detail

#endif
