#ifndef CELERYBEAM_DISPATCH_INTERNAL_SERVICEORDER_H
#define CELERYBEAM_DISPATCH_INTERNAL_SERVICEORDER_H

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>

#include "framework/runtime.h"

namespace celerybeam::detail {

/// A request in the order of its customer: by arrival, then by serial number.
struct OrderedRequest {
  TimePoint Arrived{};
  std::uint64_t Serial = 0;
  /// Not negative.
  Duration Occupancy{};
  TimePoint ReevaluateAt{};
  bool HasReservedEndpoint = false;
};

/// Requests in their order of service with sums of their occupancy.
///
/// A balanced tree in which each subtree holds its sums, so that changes and
/// queries take logarithmic time. Copies take constant time and share their
/// nodes until either side changes. Not thread-safe, and copies are not
/// independent in this respect.
class ServiceOrder {
public:
  /// Which requests a search finds.
  struct Filter {
    bool Plain = false;
    bool Reserved = false;
    /// Requests whose decision is due before this time are always found.
    TimePoint DueBefore{};
  };
  struct Match {
    OrderedRequest Request;
    /// Occupancy of the requests that precede it.
    Duration Preceding{};
  };

  void insert(const OrderedRequest &Request);
  /// Erases the request with this arrival and serial number, if it is there.
  void erase(const OrderedRequest &Request);

  bool empty() const { return Root_ == nullptr; }
  Duration total() const;
  /// Occupancy of the requests that arrived no later than this.
  Duration arrivedUntil(TimePoint Arrived) const;
  /// Occupancy of the requests that are preceded by no more than this.
  Duration precededBy(Duration Most) const;

  std::optional<Match> first(const Filter &Wanted) const;
  /// The first one after this request.
  std::optional<Match> next(const OrderedRequest &After,
                            const Filter &Wanted) const;

private:
  struct Node;
  using NodePtr = std::shared_ptr<Node>;

  static Duration sumOf(const NodePtr &Tree);
  static bool mayContain(const NodePtr &Tree, const Filter &Wanted);
  static Node &writable(NodePtr &Tree);
  static void split(NodePtr Tree, const OrderedRequest &At, NodePtr &Before,
                    NodePtr &NotBefore);
  static NodePtr merge(NodePtr Left, NodePtr Right);
  static void insertInto(NodePtr &Tree, NodePtr New);
  static void eraseFrom(NodePtr &Tree, const OrderedRequest &Request);
  static bool contains(const Node *Tree, const OrderedRequest &Request);
  static std::optional<Match> find(const NodePtr &Tree,
                                   const OrderedRequest *After,
                                   const Filter &Wanted, Duration Preceding);

  NodePtr Root_;
};

} // namespace celerybeam::detail

#endif
