#ifndef CELERYBEAM_FLEETHOST_INTERNAL_HOSTANNOUNCER_H
#define CELERYBEAM_FLEETHOST_INTERNAL_HOSTANNOUNCER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet/storeaccess.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// Keeps this host's entry in the store under a lease, and reads the others'
/// entries now and then, so that hosts find each other when no address that
/// they were told at their start answers.
class HostAnnouncer : public std::enable_shared_from_this<HostAnnouncer> {
public:
  using FoundHook = std::function<void(const std::string &Ip)>;

  /// \param Prefix  of all hosts' entries. \param Key  of the own one.
  HostAnnouncer(Runtime R, StoreAccess Store, std::string Prefix,
                std::string Key, std::string Ip, FoundHook Found);

  void start();
  /// Removes the entry; the answer is not waited for.
  void withdraw();

  /// The entry of a host that has died vanishes after this time.
  static constexpr Duration TimeToLive = std::chrono::seconds(30);
  /// Renewals of the lease, a third of its time.
  static constexpr Duration RenewEvery = std::chrono::seconds(10);
  /// Reads of the others' entries: often at the start, then rarely.
  static constexpr Duration FirstListEvery = std::chrono::seconds(1);
  static constexpr Duration LaterListEvery = std::chrono::seconds(10);
  static constexpr unsigned FirstLists = 3;

private:
  void announce();
  void renew();
  void list();
  void later(Duration D, void (HostAnnouncer::*Then)());

  Runtime Runtime_;
  StoreAccess Store_;
  std::string Prefix_;
  std::string Key_;
  std::string Ip_;
  FoundHook Found_;
  std::optional<LeaseId> Lease_;
  unsigned Lists_ = 0;
  bool Withdrawn_ = false;
};

} // namespace celerybeam::detail

#endif
