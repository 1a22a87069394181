#ifndef CELERYBEAM_MEMBERSHIP_INTERNAL_RENDEZVOUS_H
#define CELERYBEAM_MEMBERSHIP_INTERNAL_RENDEZVOUS_H

#include <algorithm>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/stablehash.h"

namespace celerybeam::detail {

/// Sorts hosts by their rendezvous rank for a purpose, highest first. Every
/// host that knows the same hosts computes the same order, and a host that is
/// added or removed does not change the order of the others.
inline void sortByRank(std::vector<HostId> &Hosts, const std::string &Purpose) {
  std::sort(Hosts.begin(), Hosts.end(),
            [&](const HostId &Left, const HostId &Right) {
              auto RankOf = [&](const HostId &Id) {
                return stableHash(Purpose + '/' + Id.str());
              };
              return std::make_pair(RankOf(Left), Left) >
                     std::make_pair(RankOf(Right), Right);
            });
}

} // namespace celerybeam::detail

#endif
