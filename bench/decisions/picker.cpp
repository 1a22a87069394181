#include "decisions/picker.h"

#include <limits>

namespace celerybeam::bench {

const char *policyName(Policy P) {
  switch (P) {
  case Policy::Random:
    return "random";
  case Policy::RoundRobin:
    return "round robin";
  case Policy::LeastLoad:
    return "least load";
  case Policy::AllKnowing:
    return "all-knowing";
  case Policy::Celerybeam:
    return "celerybeam";
  }
  return "";
}

Engine &Picker::pick(const Arrival &Request, Blackboard &Board,
                     std::uint64_t Draw) {
  switch (Rule_) {
  case Policy::RoundRobin:
    return *Engines_[Next_++ % Engines_.size()];
  case Policy::LeastLoad:
    return leastReported(Board, Draw);
  case Policy::AllKnowing:
    return allKnowing(Request);
  case Policy::Random:
  case Policy::Celerybeam:
    break;
  }
  return *Engines_[Draw % Engines_.size()];
}

Engine &Picker::leastReported(Blackboard &Board, std::uint64_t Draw) {
  Engine *Best = nullptr;
  std::uint32_t Least = std::numeric_limits<std::uint32_t>::max();
  // Starts at a random place, so that ties do not all go to the first.
  for (std::size_t I = 0; I < Engines_.size(); ++I) {
    Engine *E = Engines_[(Draw + I) % Engines_.size()];
    std::uint32_t Load = 0;
    Board.endpoints().update(E->id(), [&](const EndpointRecord &R) {
      Load = R.Report.Running + R.Report.Waiting;
    });
    if (Load >= Least)
      continue;
    Least = Load;
    Best = E;
  }
  return *Best;
}

Engine &Picker::allKnowing(const Arrival &Request) {
  Engine *Best = nullptr;
  double BestScore = std::numeric_limits<double>::max();
  for (Engine *E : Engines_) {
    auto Cached = static_cast<double>(E->cache().cached(Request.Blocks));
    double Load = E->running() + E->waiting();
    bool Free = E->running() < Engine::Slots;
    double Score = Free ? -Cached : 1000 + Load;
    if (Score >= BestScore)
      continue;
    BestScore = Score;
    Best = E;
  }
  return *Best;
}

} // namespace celerybeam::bench
