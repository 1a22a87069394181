// Some callers read their long answers slowly. Do others, who read at full
// speed, get theirs? Usage: slowreaders RECORD

#include <iostream>

#include "fleet.h"
#include "record.h"

namespace {

using namespace celerybeam::review;

constexpr std::size_t SlowCallers = 6;
constexpr std::size_t FastCallers = 10;
constexpr std::size_t LongAnswer = 3900000;
constexpr std::size_t ShortAnswer = 800;
constexpr unsigned TimeLeftMs = 12000;
/// A small window, as on the links of the users' machines.
constexpr int ReceiveBytes = 8192;
constexpr Millis Patience(12000);
/// LOST allows as many.
constexpr unsigned MostLost = 3;

/// Reads an answer at 16 KB a second, until told to stop.
void readSlowly(Connection &From, const std::atomic<bool> &Stops) {
  constexpr std::size_t Bytes = 8192;
  while (!Stops && !From.readSome(Bytes, Patience).empty())
    std::this_thread::sleep_for(Millis(500));
}

class Test {
public:
  explicit Test(const std::string &RecordPath) : Record_(RecordPath) {}

  int run() {
    Deployment::Options O;
    O.MemoryMb = 112;
    Deployment World(O, "slowreaders");
    if (!World.start())
      return NotRun;
    Record_.line(hasTrouble() ? "with slow readers" : "without slow readers");
    std::atomic<bool> Stops = false;
    std::vector<std::thread> Threads;
    for (std::size_t I = 0; I < SlowCallers; ++I) {
      Threads.emplace_back([&, I] { callSlowly(World, I, Stops); });
      std::this_thread::sleep_for(Millis(200));
    }
    std::this_thread::sleep_for(Millis(500));
    for (std::size_t I = 0; I < FastCallers; ++I)
      call(World, "fast-" + std::to_string(I));
    Stops = true;
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
  void callSlowly(Deployment &World, std::size_t Number,
                  const std::atomic<bool> &Stops) {
    std::string Id = "slow-" + std::to_string(Number);
    auto Channel =
        Connection::to(World.gateway(0).callerAddress(), ReceiveBytes);
    if (!Channel)
      return;
    Record_.line("sent " + Id);
    Channel->write(requestText(Id, LongAnswer, TimeLeftMs));
    if (hasTrouble())
      return readSlowly(*Channel, Stops);
    auto Got = readMessage(*Channel, Patience);
    Record_.line(Id + (Got ? " answered " + Got->secondWord() : " lost"));
  }

  /// A short request, and a long one on the kept channel.
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
    auto Got = readMessage(*Channel, Patience);
    unsigned Runs = World.runsOf(Id + "-long");
    Record_.line(Id + "-long ran " + std::to_string(Runs) + " times, " +
                 (Got ? "answered " + Got->secondWord() + " with " +
                            std::to_string(Got->Body.size()) + " bytes"
                      : "no whole answer: " + Channel->ending()));
    if (Got)
      ++Answered_;
    else if (Runs > 0)
      ++Lost_;
  }

  Record Record_;
  unsigned Lost_ = 0;
  unsigned Answered_ = 0;
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
