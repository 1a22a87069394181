// Cost of finding the customer of a key, and the memory of a table, by number
// of customers.

#include <benchmark/benchmark.h>

#include <malloc.h>

#include "fleet/customers.h"

using namespace celerybeam;

namespace {

constexpr int KeysPerCustomer = 2;

std::string keyOf(std::int64_t Customer, int Key) {
  return "key-" + std::to_string(Customer) + "-" + std::to_string(Key);
}

std::vector<Customer> customers(std::int64_t Count) {
  std::vector<Customer> All(static_cast<std::size_t>(Count));
  for (std::int64_t I = 0; I < Count; ++I) {
    Customer &One = All[static_cast<std::size_t>(I)];
    One.Name = CustomerId("customer-" + std::to_string(I));
    for (int K = 0; K < KeysPerCustomer; ++K)
      One.Keys.push_back(digestOfKey(keyOf(I, K)));
    One.Limit = CustomerLimit{LimitUnit::Tokens, 1000, 1000, 200};
  }
  return All;
}

void findCustomerOfKey(benchmark::State &State) {
  auto Before = mallinfo2().uordblks;
  CustomerTable Table(customers(State.range(0)));
  State.counters["table_MB"] =
      static_cast<double>(mallinfo2().uordblks - Before) / 1e6;
  std::vector<std::string> Keys;
  for (std::int64_t I = 0; I < State.range(0); ++I)
    Keys.push_back(keyOf(I, 1));
  std::size_t Next = 0;
  for (auto _ : State)
    benchmark::DoNotOptimize(
        Table.findByKey(digestOfKey(Keys[Next++ % Keys.size()])));
}
BENCHMARK(findCustomerOfKey)->Arg(16)->Arg(1000)->Arg(49000);

} // namespace
