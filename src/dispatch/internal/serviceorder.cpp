#include "dispatch/internal/serviceorder.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "framework/stablehash.h"

namespace celerybeam::detail {

namespace {

bool isBefore(const OrderedRequest &A, const OrderedRequest &B) {
  return std::tie(A.Arrived, A.Serial) < std::tie(B.Arrived, B.Serial);
}

bool matches(const OrderedRequest &Request,
             const ServiceOrder::Filter &Wanted) {
  return (Request.HasReservedEndpoint ? Wanted.Reserved : Wanted.Plain) ||
         Request.ReevaluateAt < Wanted.DueBefore;
}

} // namespace

/// Node of a treap: ordered by request, and a heap by priority, which depends
/// on the serial number alone.
struct ServiceOrder::Node {
  explicit Node(const OrderedRequest &R)
      : Request(R), Priority(stableHash(R.Serial, 0)) {
    refresh();
  }

  void refresh() {
    Sum = Request.Occupancy;
    HasPlain = !Request.HasReservedEndpoint;
    HasReserved = Request.HasReservedEndpoint;
    FirstDue = Request.ReevaluateAt;
    for (const Node *Child : {Left.get(), Right.get()}) {
      if (Child == nullptr)
        continue;
      Sum += Child->Sum;
      HasPlain = HasPlain || Child->HasPlain;
      HasReserved = HasReserved || Child->HasReserved;
      FirstDue = std::min(FirstDue, Child->FirstDue);
    }
  }

  OrderedRequest Request;
  std::uint64_t Priority;
  NodePtr Left;
  NodePtr Right;
  /// Of the subtree.
  Duration Sum{};
  bool HasPlain = false;
  bool HasReserved = false;
  TimePoint FirstDue{};
};

Duration ServiceOrder::sumOf(const NodePtr &Tree) {
  return Tree ? Tree->Sum : Duration::zero();
}

bool ServiceOrder::mayContain(const NodePtr &Tree, const Filter &Wanted) {
  return Tree && ((Wanted.Plain && Tree->HasPlain) ||
                  (Wanted.Reserved && Tree->HasReserved) ||
                  Tree->FirstDue < Wanted.DueBefore);
}

ServiceOrder::Node &ServiceOrder::writable(NodePtr &Tree) {
  if (Tree.use_count() > 1)
    Tree = std::make_shared<Node>(*Tree);
  return *Tree;
}

void ServiceOrder::split(NodePtr Tree, const OrderedRequest &At,
                         NodePtr &Before, NodePtr &NotBefore) {
  if (!Tree) {
    Before = NotBefore = nullptr;
    return;
  }
  Node &N = writable(Tree);
  NodePtr Rest;
  if (isBefore(N.Request, At)) {
    split(std::move(N.Right), At, Rest, NotBefore);
    N.Right = std::move(Rest);
    N.refresh();
    Before = std::move(Tree);
  } else {
    split(std::move(N.Left), At, Before, Rest);
    N.Left = std::move(Rest);
    N.refresh();
    NotBefore = std::move(Tree);
  }
}

ServiceOrder::NodePtr ServiceOrder::merge(NodePtr Left, NodePtr Right) {
  if (!Left)
    return Right;
  if (!Right)
    return Left;
  if (Left->Priority >= Right->Priority) {
    Node &N = writable(Left);
    N.Right = merge(std::move(N.Right), std::move(Right));
    N.refresh();
    return Left;
  }
  Node &N = writable(Right);
  N.Left = merge(std::move(Left), std::move(N.Left));
  N.refresh();
  return Right;
}

void ServiceOrder::insertInto(NodePtr &Tree, NodePtr New) {
  if (!Tree) {
    Tree = std::move(New);
    return;
  }
  if (New->Priority > Tree->Priority) {
    split(std::move(Tree), New->Request, New->Left, New->Right);
    New->refresh();
    Tree = std::move(New);
    return;
  }
  Node &N = writable(Tree);
  NodePtr &Side = isBefore(New->Request, N.Request) ? N.Left : N.Right;
  insertInto(Side, std::move(New));
  N.refresh();
}

void ServiceOrder::eraseFrom(NodePtr &Tree, const OrderedRequest &Request) {
  Node &N = writable(Tree);
  if (isBefore(Request, N.Request)) {
    eraseFrom(N.Left, Request);
  } else if (isBefore(N.Request, Request)) {
    eraseFrom(N.Right, Request);
  } else {
    Tree = merge(std::move(N.Left), std::move(N.Right));
    return;
  }
  N.refresh();
}

bool ServiceOrder::contains(const Node *Tree, const OrderedRequest &Request) {
  while (Tree != nullptr && Tree->Request.Serial != Request.Serial)
    Tree = (isBefore(Request, Tree->Request) ? Tree->Left : Tree->Right).get();
  return Tree != nullptr;
}

void ServiceOrder::insert(const OrderedRequest &Request) {
  insertInto(Root_, std::make_shared<Node>(Request));
}

void ServiceOrder::erase(const OrderedRequest &Request) {
  if (contains(Root_.get(), Request))
    eraseFrom(Root_, Request);
}

Duration ServiceOrder::total() const { return sumOf(Root_); }

Duration ServiceOrder::arrivedUntil(TimePoint Arrived) const {
  Duration Sum{};
  for (const Node *N = Root_.get(); N != nullptr;) {
    bool Counts = N->Request.Arrived <= Arrived;
    if (Counts)
      Sum += sumOf(N->Left) + N->Request.Occupancy;
    N = (Counts ? N->Right : N->Left).get();
  }
  return Sum;
}

Duration ServiceOrder::precededBy(Duration Most) const {
  Duration Sum{};
  for (const Node *N = Root_.get(); N != nullptr;) {
    Duration Preceding = Sum + sumOf(N->Left);
    bool Counts = Preceding <= Most;
    if (Counts)
      Sum = Preceding + N->Request.Occupancy;
    N = (Counts ? N->Right : N->Left).get();
  }
  return Sum;
}

std::optional<ServiceOrder::Match>
ServiceOrder::find(const NodePtr &Tree, const OrderedRequest *After,
                   const Filter &Wanted, Duration Preceding) {
  if (!mayContain(Tree, Wanted))
    return std::nullopt;
  const Node &N = *Tree;
  Duration Own = Preceding + sumOf(N.Left);
  if (After == nullptr || isBefore(*After, N.Request)) {
    if (auto Found = find(N.Left, After, Wanted, Preceding))
      return Found;
    if (matches(N.Request, Wanted))
      return Match{N.Request, Own};
    // All of the right subtree follows.
    After = nullptr;
  }
  return find(N.Right, After, Wanted, Own + N.Request.Occupancy);
}

std::optional<ServiceOrder::Match>
ServiceOrder::first(const Filter &Wanted) const {
  return find(Root_, nullptr, Wanted, {});
}

std::optional<ServiceOrder::Match>
ServiceOrder::next(const OrderedRequest &After, const Filter &Wanted) const {
  return find(Root_, &After, Wanted, {});
}

} // namespace celerybeam::detail
