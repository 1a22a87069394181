#ifndef CELERYBEAM_FLEETHOST_INTERNAL_TABLEFETCHPLAN_H
#define CELERYBEAM_FLEETHOST_INTERNAL_TABLEFETCHPLAN_H

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "framework/runtime.h"

namespace celerybeam::detail {

/// Addresses of hosts that may have newer tables, in order of preference.
struct TableSources {
  /// Of this region.
  std::vector<std::string> Near;
  /// Of other regions, or of unknown ones.
  std::vector<std::string> Far;
  /// The host whose request needs the tables: it certainly has them. Empty when
  /// it is unknown.
  std::string Sender;
};

/// Decides which hosts are asked for newer tables, and when.
///
/// Handles this load pattern: "the host that is asked stands still". Another
/// one is asked after SecondSourceDelay; once a
/// host has begun to hand over its tables, the owner asks no other. Bytes
/// between regions are paid for, so the sender of a request and hosts of other
/// regions are asked only when hosts of this region have not had newer tables,
/// or none of them is left to ask, and one at a time. Not thread-safe.
class TableFetchPlan {
public:
  /// Whether next may name a host, so that no sources are looked for in vain.
  bool mayAsk(TimePoint Now) const;
  /// The host to ask now, which then counts as being asked. Empty when a recent
  /// question may still be answered or there is nobody to ask. Call while newer
  /// tables are needed.
  std::optional<std::string> next(TimePoint Now, const TableSources &Sources);
  /// Records that a question has ended. \param Newer  whether it brought newer
  /// tables.
  void ended(const std::string &Ip, bool Newer);
  /// Records that a question was ended before it could be answered.
  void withdrawn(const std::string &Ip);

  /// Whether MaxOutstanding hosts are being asked.
  bool isFull() const { return Asking_.size() >= MaxOutstanding; }
  /// Hosts whose answer is outstanding.
  const std::set<std::string> &asking() const { return Asking_; }

  /// Time after which another host is asked: longer than a response of a host
  /// of the region takes, a fraction of what a request waits for tables.
  static constexpr Duration SecondSourceDelay = std::chrono::milliseconds(100);
  /// Most questions outstanding. Each lasts for a second if its host stands
  /// still.
  static constexpr std::size_t MaxOutstanding = 4;
  /// Questions to hosts of this region without newer tables after which the
  /// sender is asked: some have not received them yet.
  static constexpr unsigned FruitlessNear = 3;

private:
  std::set<std::string> Asking_;
  /// Those of them that are not hosts of this region.
  std::set<std::string> AskingFar_;
  TimePoint LastAsked_{};
  unsigned Fruitless_ = 0;
};

} // namespace celerybeam::detail

#endif
