// Cost of one routing decision and of one admission, by size of the pool.

#include <benchmark/benchmark.h>

#include <chrono>
#include <memory>
#include <random>
#include <string>

#include "admission/admissioncontroller.h"
#include "framework/stablehash.h"
#include "routing/router.h"

using namespace celerybeam;

namespace {

constexpr std::uint32_t SlotsPerEndpoint = 8;
constexpr std::size_t PromptBlocks = 16;
constexpr Duration RequestDeadline = std::chrono::seconds(30);

HostIdentity identity() {
  HostIdentity Self;
  Self.Id = HostId("k1");
  Self.Region = RegionId("karaganda");
  Self.Zone = ZoneId("karaganda-a");
  return Self;
}

Runtime steadyRuntime() {
  auto Random = std::make_shared<std::mt19937_64>(1);
  Runtime R;
  R.Now = [] {
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  };
  R.Random = [Random] { return (*Random)(); };
  return R;
}

TablesSnapshot tables() {
  auto T = std::make_shared<Tables>();
  T->Number = 1;
  T->Routes.emplace_back();
  T->Routes[0].Name = RouteName("plans");
  T->Routes[0].Pool = PoolName("steppe");
  T->Routes[0].MayLeaveRegion = true;
  T->Pools.emplace_back();
  T->Pools[0].Name = PoolName("steppe");
  T->Pools[0].Label = "steppe";
  T->Pools[0].Model = ModelName("steppe-7b@1");
  return T;
}

void addEndpoints(Blackboard &Board, std::int64_t Count) {
  for (std::int64_t I = 0; I < Count; ++I) {
    EndpointDescriptor D;
    D.Id = EndpointId("m" + std::to_string(I));
    D.Region = Board.self().Region;
    D.Zone = Board.self().Zone;
    D.Label = "steppe";
    D.Slots = SlotsPerEndpoint;
    Board.upsertEndpoint(D, EndpointState::Live);
    Board.endpoints().update(D.Id, [&](EndpointRecord &E) {
      E.Loaded = {ModelName("steppe-7b@1")};
      E.Report.Running = static_cast<std::uint32_t>(I % SlotsPerEndpoint);
    });
  }
}

RouteQuery query(std::uint64_t Conversation, TimePoint Now) {
  RouteQuery Q;
  Q.Route = RouteName("plans");
  Q.Pool = PoolName("steppe");
  Q.Model = ModelName("steppe-7b@1");
  Q.PromptTokens = 2000;
  Q.Deadline = Now + RequestDeadline;
  for (std::size_t I = 0; I < PromptBlocks; ++I)
    Q.Prefix.push_back(stableHash(std::to_string(I), Conversation));
  return Q;
}

/// \param MaxViewAge  zero: each decision reads the whole pool.
void measureChoose(benchmark::State &State, const RouterSettings &Settings) {
  Blackboard Board(identity());
  Board.adoptTables(tables());
  addEndpoints(Board, State.range(0));
  Runtime Time = steadyRuntime();
  Router Routes(Board, Time, Settings);
  std::vector<RouteQuery> Queries;
  for (std::uint64_t I = 0; I < 256; ++I)
    Queries.push_back(query(I, Time.Now() + std::chrono::hours(1)));
  std::size_t Next = 0;
  for (auto _ : State)
    benchmark::DoNotOptimize(Routes.choose(Queries[Next++ % Queries.size()]));
}

void chooseWithView(benchmark::State &State) {
  measureChoose(State, RouterSettings());
}
BENCHMARK(chooseWithView)->Arg(18)->Arg(224)->Arg(5600);

void chooseWithNewView(benchmark::State &State) {
  RouterSettings Settings;
  Settings.MaxViewAge = Duration(0);
  measureChoose(State, Settings);
}
BENCHMARK(chooseWithNewView)->Arg(18)->Arg(224)->Arg(5600);

void admitAndFinish(benchmark::State &State) {
  Blackboard Board(identity());
  Board.adoptTables(tables());
  addEndpoints(Board, State.range(0));
  Runtime Time = steadyRuntime();
  AdmissionController Admission(
      Board, Time, {[](const HostId &, const messages::Envelope &) {}});
  std::uint64_t Next = 0;
  for (auto _ : State) {
    RequestId Id("r" + std::to_string(++Next));
    AdmissionRequest Ask;
    Ask.Request = Id;
    Ask.Route = RouteName("plans");
    Ask.Pool = PoolName("steppe");
    Ask.Customer = CustomerId("t" + std::to_string(Next % 1000));
    Ask.Deadline = Time.Now() + RequestDeadline;
    Admission.submit(Ask, [](const Result<void> &) {});
    Admission.finished(Id, 100);
  }
}
BENCHMARK(admitAndFinish)->Arg(18)->Arg(224)->Arg(5600);

} // namespace

BENCHMARK_MAIN();
