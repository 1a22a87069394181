// Cost of the queue of waiting requests at a placer, by number of requests and
// of customers.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "dispatch/requestqueue.h"

using namespace celerybeam;

namespace {

constexpr TimePoint Now(std::chrono::seconds(100));
constexpr Duration Occupancy = std::chrono::milliseconds(10);
/// Requests have arrived over this time, and the first half of them is late.
constexpr Duration Span = std::chrono::seconds(2);
constexpr unsigned Rank = 1;

/// A queue of requests that can be on time and late ones of some customers.
class FilledQueue {
public:
  explicit FilledQueue(const benchmark::State &State)
      : Customers_(static_cast<std::uint64_t>(State.range(1))) {
    auto Requests = State.range(0);
    for (std::int64_t I = 0; I < Requests; ++I)
      add(Now - Span + Span * I / Requests);
  }

  CustomerId customer(std::uint64_t Index) const {
    return CustomerId("customer-" + std::to_string(Index % Customers_));
  }

  void add(TimePoint Arrived) {
    std::uint64_t Index = Added_.size();
    Added_.push_back(Queue.add(
        {Pool, Rank, Arrived, Arrived + Span / 2, Now + Span, Occupancy, false,
         [this, Index] { return serve(Index); }, customer(Index)}));
  }

  RequestQueue Queue;
  const PoolName Pool{"pool"};
  std::size_t FreeSlots = 0;

private:
  bool serve(std::uint64_t Index) {
    if (FreeSlots == 0)
      return false;
    --FreeSlots;
    Queue.remove(Added_[Index]);
    Queue.recordDispatch({Pool, Rank}, customer(Index), Occupancy, Now);
    return true;
  }

  std::uint64_t Customers_;
  std::vector<QueuedRequestId> Added_;
};

/// A round of offers while no slot is free.
void offerInVain(benchmark::State &State) {
  FilledQueue Filled(State);
  for (auto _ : State)
    Filled.Queue.offer(Now);
}

/// A round of offers after a slot was released. A new request replaces the one
/// that leaves the queue.
void offerReleasedSlot(benchmark::State &State) {
  FilledQueue Filled(State);
  for (auto _ : State) {
    Filled.FreeSlots = 1;
    Filled.Queue.offer(Now);
    Filled.add(Now);
  }
}

/// An estimate of the wait of a new request.
void estimateWait(benchmark::State &State) {
  FilledQueue Filled(State);
  CustomerId Customer = Filled.customer(0);
  for (auto _ : State)
    benchmark::DoNotOptimize(
        Filled.Queue.serviceTimeAhead(Filled.Pool, Rank, Now, Now, Customer));
}

void addAndRemove(benchmark::State &State) {
  FilledQueue Filled(State);
  QueuedRequest Request{
      Filled.Pool,       Rank,      Now,   Now + Span,
      Now + Span,        Occupancy, false, [] { return false; },
      Filled.customer(0)};
  for (auto _ : State)
    Filled.Queue.remove(Filled.Queue.add(Request));
}

void isPoolQueued(benchmark::State &State) {
  FilledQueue Filled(State);
  const PoolName Other("other");
  for (auto _ : State)
    benchmark::DoNotOptimize(Filled.Queue.hasAny(Other));
}

void sizes(benchmark::internal::Benchmark *Case) {
  Case->ArgNames({"requests", "customers"})
      ->ArgsProduct({{200, 1000, 3000}, {1, 5, 50, 1000}});
}
BENCHMARK(offerInVain)->Apply(sizes);
BENCHMARK(offerReleasedSlot)->Apply(sizes);
BENCHMARK(estimateWait)->Apply(sizes);
BENCHMARK(addAndRemove)->Apply(sizes);
BENCHMARK(isPoolQueued)->Apply(sizes);

} // namespace
