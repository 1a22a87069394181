#include "decisions/workload.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>

#include "framework/stablehash.h"

namespace celerybeam::bench {

namespace {

constexpr std::size_t CustomerCount = 300;
constexpr std::uint32_t RouteBlocks = 3;
constexpr std::uint32_t CustomerBlocks = 2;
constexpr double ContinueChance = 0.6;
constexpr std::size_t OpenConversations = 3;
constexpr Duration ShortDeadline = std::chrono::seconds(10);
constexpr Duration LongDeadline = std::chrono::seconds(90);

struct ClassShape {
  std::uint32_t MinTurnBlocks;
  std::uint32_t MaxTurnBlocks;
  std::uint32_t MinAnswer;
  std::uint32_t MaxAnswer;
  std::uint32_t MaxBlocks;
};

constexpr ClassShape ShortShape = {1, 2, 30, 90, 12};
constexpr ClassShape LongShape = {6, 14, 400, 1000, 32};

struct Conversation {
  PrefixBlocks Blocks;
};

class Generator {
public:
  explicit Generator(const WorkloadPlan &Plan)
      : Plan_(Plan), Random_(Plan.Seed) {}

  std::vector<Arrival> run() {
    std::vector<Arrival> All;
    std::exponential_distribution<double> Gap(Plan_.RequestsPerSecond);
    double Seconds = 0;
    while (true) {
      Seconds += Gap(Random_);
      Duration At(static_cast<Duration::rep>(Seconds * 1e6));
      if (At >= Plan_.Length)
        return All;
      Arrival A = next(At);
      if (!Plan_.ShortOnly || A.Class == RequestClass::Short)
        All.push_back(std::move(A));
    }
  }

private:
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random_);
  }

  std::uint32_t between(std::uint32_t Low, std::uint32_t High) {
    return std::uniform_int_distribution<std::uint32_t>(Low, High)(Random_);
  }

  Arrival next(Duration At) {
    Arrival A;
    A.At = At;
    // Squared, so that few customers send much of the traffic.
    double Draw = uniform();
    auto Customer = static_cast<std::size_t>(Draw * Draw * CustomerCount);
    A.Customer = "t" + std::to_string(Customer);
    std::discrete_distribution<std::size_t> Regions(Plan_.RegionWeights.begin(),
                                                    Plan_.RegionWeights.end());
    A.Region = Regions(Random_);
    bool IsLong = uniform() < Plan_.LongShare;
    A.Class = IsLong ? RequestClass::Long : RequestClass::Short;
    const ClassShape &Shape = IsLong ? LongShape : ShortShape;
    A.Blocks = nextTurn(A, Shape);
    A.AnswerTokens = between(Shape.MinAnswer, Shape.MaxAnswer);
    A.Deadline = IsLong ? LongDeadline : ShortDeadline;
    return A;
  }

  PrefixBlocks nextTurn(const Arrival &A, const ClassShape &Shape) {
    std::string Key = A.Customer +
                      (A.Class == RequestClass::Long ? "/l" : "/s") +
                      std::to_string(A.Region);
    std::deque<Conversation> &Open = Open_[Key];
    bool Continues = !Open.empty() && uniform() < ContinueChance;
    if (!Continues) {
      Open.push_front({opening(A)});
      if (Open.size() > OpenConversations)
        Open.pop_back();
    }
    Conversation &C = Open[Continues ? Random_() % Open.size() : 0];
    grow(C.Blocks, between(Shape.MinTurnBlocks, Shape.MaxTurnBlocks));
    PrefixBlocks Prompt = C.Blocks;
    if (Prompt.size() > Shape.MaxBlocks)
      C.Blocks = opening(A);
    return Prompt;
  }

  static PrefixBlocks opening(const Arrival &A) {
    PrefixBlocks Blocks;
    std::string Route = A.Class == RequestClass::Long ? "plans" : "questions";
    for (std::uint32_t I = 0; I < RouteBlocks; ++I)
      Blocks.push_back(stableHash(Route + std::to_string(I)));
    for (std::uint32_t I = 0; I < CustomerBlocks; ++I)
      Blocks.push_back(
          stableHash(A.Customer + std::to_string(I), Blocks.back()));
    return Blocks;
  }

  void grow(PrefixBlocks &Blocks, std::uint32_t Count) {
    for (std::uint32_t I = 0; I < Count; ++I)
      Blocks.push_back(Random_());
  }

  WorkloadPlan Plan_;
  std::mt19937_64 Random_;
  std::map<std::string, std::deque<Conversation>> Open_;
};

} // namespace

std::vector<Arrival> makeArrivals(const WorkloadPlan &Plan) {
  return Generator(Plan).run();
}

} // namespace celerybeam::bench
