// Callers pause while they read an answer, for less than the operator's idle
// time. Do they get the rest? Usage: pausedreader RECORD

#include <iostream>

#include "fleet.h"
#include "record.h"

namespace {

using namespace celerybeam::review;

constexpr std::size_t Callers = 6;
constexpr std::size_t LongAnswer = 500000;
constexpr std::size_t FirstPart = 65536;
constexpr std::size_t ShortAnswer = 800;
constexpr unsigned IdleTimeoutMs = 15000;
constexpr unsigned TimeLeftMs = 12000;
constexpr Millis Pause(9500);
constexpr Millis Patience(5000);
/// LOST allows as many.
constexpr unsigned MostLost = 3;

class Test {
public:
  explicit Test(const std::string &RecordPath) : Record_(RecordPath) {}

  int run() {
    Deployment::Options O;
    O.IdleTimeoutMs = IdleTimeoutMs;
    O.TimeoutMs = TimeLeftMs;
    Deployment World(O, "pausedreader");
    if (!World.start())
      return NotRun;
    Record_.line(hasTrouble() ? "with pauses" : "without pauses");
    std::vector<std::thread> Threads;
    for (std::size_t I = 0; I < Callers; ++I)
      Threads.emplace_back([&, I] { call(World, "q-" + std::to_string(I)); });
    for (std::thread &Each : Threads)
      Each.join();
    bool Running = World.allRun();
    Record_.line("lost " + std::to_string(Lost_) + ", answered " +
                 std::to_string(Answered_));
    std::cout << "lost " << Lost_ << ", answered " << Answered_ << "\n";
    if (!Running)
      return NotRun;
    return Lost_ > MostLost ? Broken : Held;
  }

private:
  void call(Deployment &World, const std::string &Id) {
    auto Channel = Connection::to(World.gateway(0).callerAddress());
    if (!Channel)
      return;
    Channel->write(requestText(Id + "-short", ShortAnswer, TimeLeftMs));
    auto First = readMessage(*Channel, Patience);
    Record_.line(Id + "-short " +
                 (First ? "answered " + First->secondWord() : "lost"));
    Record_.line("sent " + Id + "-long on the same channel");
    Channel->write(requestText(Id + "-long", LongAnswer, TimeLeftMs));
    auto Head = readHead(*Channel, Patience);
    std::size_t Read = Head ? Channel->readSome(FirstPart, Patience).size() : 0;
    Record_.line(Id + "-long " +
                 (Head ? "head " + Head->secondWord() : "no head") + ", read " +
                 std::to_string(Read) + " bytes");
    if (hasTrouble())
      std::this_thread::sleep_for(Pause);
    while (Head && Read < LongAnswer) {
      std::size_t More = Channel->readSome(FirstPart, Patience).size();
      if (More == 0)
        break;
      Read += More;
    }
    unsigned Runs = World.runsOf(Id + "-long");
    bool Whole = Head && Read == LongAnswer;
    Record_.line(Id + "-long ran " + std::to_string(Runs) + " times, read " +
                 std::to_string(Read) + " of " + std::to_string(LongAnswer) +
                 " bytes" + (Whole ? "" : ": " + Channel->ending()));
    if (Whole)
      ++Answered_;
    else if (Runs > 0)
      ++Lost_;
  }

  Record Record_;
  std::atomic<unsigned> Lost_ = 0;
  std::atomic<unsigned> Answered_ = 0;
};

} // namespace

int main(int Count, char **Words) {
  if (Count != 2)
    return NotRun;
  try {
    return Test(Words[1]).run();
  } catch (const std::exception &Wrong) {
    std::cerr << Wrong.what() << "\n";
    return NotRun;
  }
}
